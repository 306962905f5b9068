//! Streaming responses: forwards whole events as they arrive, each once and in order.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use merlinrudder_core::deployment::CallKind;
use merlinrudder_core::events::Event;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::outcome::{RetryReason, RunState};
use merlinrudder_core::time::Moment;
use slog::info;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::answer_head::{forwarded_response, is_framed, return_to_pool};
use super::attempts::Attempts;
use super::body::{Chunk, ChunkSender, MAX_PIECE_BYTES, ResponseBody};
use super::buffer_budget::BufferShare;
use super::buffered::{self, Finished};
use super::crash_verdict;
use super::crash_watch;
use super::exchange::UpstreamResponse;
use super::hedge::AttemptContext;
use super::open_requests::Phase;
use super::placement_sync;
use super::request::CallerRequest;
use super::server_probe;
use super::state::{Gateway, StopStage};
use super::stream_source::{CUT, SourceEnd, StreamEnd, StreamSource};
use super::target::Target;
use crate::metrics;

/// Events, or pieces of them, buffered for a caller that reads slowly.
const EVENT_BUFFER_CAPACITY: usize = 4;
/// Lower limit of the stall timeout, after which silence between two events is hedged.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1600);

/// Returns the head of a stream and spawns a task that forwards its events.
///
/// A response of an engine that is no success is forwarded as that of a plain call.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: CallerRequest) -> Response<ResponseBody> {
    let mut attempts = Attempts::new(&call);
    let mut failed = None;
    let upstream_response = loop {
        let upstream_response = match attempts.run_until_response(gateway, &call, None).await {
            Ok(upstream_response) => upstream_response,
            Err(refusal) => {
                return buffered::end_without_success(gateway, &call, &refusal, failed);
            }
        };
        if upstream_response.head.status.is_success() {
            break upstream_response;
        }
        // A failure is no stream of events.
        match buffered::finish(gateway, &call, &attempts, upstream_response).await {
            Finished::Response(response) => return response,
            Finished::Retry(answer) => failed = answer.or(failed),
        }
    };
    let (sender, chunks) = mpsc::channel(EVENT_BUFFER_CAPACITY);
    let body = ResponseBody::Streaming(chunks);
    let target = &upstream_response.selected.target;
    let response = forwarded_response(target, &upstream_response.head, body);
    let forwarder = StreamForwarder {
        gateway: Rc::clone(gateway),
        last_event: call.last_event,
        last_placement: PlacementInfo::new(&call, &upstream_response),
        call: Rc::new(call),
        attempts,
        sender,
        share: BufferShare::new(&gateway.buffer_budget),
        event_count: 0,
        ttft: None,
        last_received: None,
        longest_gap: Duration::ZERO,
        resumptions: 0,
    };
    spawn_local(forwarder.run(StreamSource::new(upstream_response)));
    response
}

/// Latest placement of a stream, for its log line.
struct PlacementInfo {
    /// Engine that generates the output.
    target: Target,
    /// Number of engines that prefilled further parts of the prompt.
    helper_count: usize,
    /// Time from the receipt of the request to the placement.
    placement_delay: Duration,
    /// Predicted time from the placement to the first event.
    predicted_wait: Option<Duration>,
}

impl PlacementInfo {
    fn new(call: &CallerRequest, upstream_response: &UpstreamResponse) -> Self {
        let selected = &upstream_response.selected;
        Self {
            target: selected.target.clone(),
            helper_count: selected.helpers.len(),
            placement_delay: selected.selected_at.since(call.received_at),
            predicted_wait: selected.predicted_wait,
        }
    }
}

/// Forwards one stream to its caller, across the engines that it resumes on.
struct StreamForwarder {
    gateway: Rc<Gateway>,
    call: Rc<CallerRequest>,
    attempts: Attempts,
    sender: ChunkSender,
    /// Memory of the bytes that are not passed on yet.
    share: BufferShare,
    /// Number of the last event that was forwarded, or that the caller already had.
    last_event: Option<u64>,
    /// Events forwarded, over all engines.
    event_count: u32,
    /// Time to first token: from the receipt of the request to its first event.
    ttft: Option<Duration>,
    /// When the last event was received; `None` before the first one.
    last_received: Option<Moment>,
    /// Longest time between two events, over all engines.
    longest_gap: Duration,
    /// Times that the stream went on with another engine.
    resumptions: u32,
    last_placement: PlacementInfo,
}

impl StreamForwarder {
    /// Forwards the stream to its end, and logs how it ended.
    async fn run(mut self, source: StreamSource) {
        let (sender, gateway) = (self.sender.clone(), Rc::clone(&self.gateway));
        // When the caller disconnects, the request at the engine is cancelled at once, even while
        // the engine is silent.
        tokio::select! {
            biased;
            () = sender.closed() => self.log_end(StreamEnd::CallerGone),
            () = gateway.stage_reached(StopStage::Exiting) => self.log_end(StreamEnd::Stopping),
            end = self.forward_all(source) => {
                self.log_end(end);
                if end == StreamEnd::Complete {
                    // Fails only if the caller has left.
                    drop(self.sender.send(Chunk::End).await);
                }
            }
        }
    }

    /// Forwards events, and resumes on another engine when one breaks off or is overtaken.
    async fn forward_all(&mut self, mut source: StreamSource) -> StreamEnd {
        loop {
            let end = match self.forward_from(&mut source).await {
                SourceEnd::Overtaken(next) => {
                    self.take_over(&mut source, *next);
                    continue;
                }
                SourceEnd::Ended(end) => self.check_end(&source, end).await,
            };
            self.record_source_end(&mut source, end);
            let upstream = source.upstream;
            match end {
                StreamEnd::Broken(_) => {}
                StreamEnd::Complete => {
                    return_to_pool(&self.gateway, upstream.connection, &upstream.head);
                    return end;
                }
                StreamEnd::CallerGone | StreamEnd::Overdue | StreamEnd::Stopping => return end,
            }
            self.attempts.tally.exclude(&upstream.selected.target);
            if end == StreamEnd::Broken(CUT) && upstream.selected.target.incarnation().is_some() {
                self.attempts.tally.count_lost_connection();
            }
            drop(upstream);
            source = match self.resume().await {
                Some(next) => next,
                None => return end,
            };
        }
    }

    /// Checks an end that only the closed connection marks: the engine may have ended instead.
    async fn check_end(&self, source: &StreamSource, end: StreamEnd) -> StreamEnd {
        let upstream = &source.upstream;
        let is_certain = end != StreamEnd::Complete || is_framed(&upstream.head);
        if is_certain || !server_probe::has_ended(&self.gateway, &upstream.selected).await {
            return end;
        }
        StreamEnd::Broken("the server has ended")
    }

    /// Goes on with the hedge that overtook a silent engine, whose request is cancelled.
    fn take_over(&mut self, source: &mut StreamSource, next: StreamSource) {
        info!(self.gateway.log, "Stream goes on with a hedge"; "request" => self.call.attempt_id_text(),
            "silent" => %source.upstream.selected.target, "events" => self.event_count,
            "server" => %next.upstream.selected.target);
        // A long prefill delays all responses of an engine, so silence is not a failure.
        if let Some(run) = source.upstream.run.take() {
            run.broke();
        }
        self.attempts
            .tally
            .exclude(&source.upstream.selected.target);
        self.resumed_on(&next);
        *source = next;
    }

    /// Records how the response of an engine ended, for its health and for the crash history.
    fn record_source_end(&self, source: &mut StreamSource, end: StreamEnd) {
        if let StreamEnd::Broken(reason) = end {
            self.log_interruption(source, reason);
        }
        let upstream = &mut source.upstream;
        match (end, upstream.run.take()) {
            (StreamEnd::Broken(_), Some(run)) => run.broke(),
            (StreamEnd::Complete, _) if upstream.head.status.is_success() => {
                crash_watch::record_completed(&self.gateway, &self.call);
            }
            _ => {}
        }
        let outcome = match end {
            StreamEnd::Broken(_) => ServerOutcome::Failed,
            StreamEnd::Complete => ServerOutcome::Succeeded,
            // These ends come from the caller or this VM, and show nothing of the server.
            StreamEnd::CallerGone | StreamEnd::Overdue | StreamEnd::Stopping => return,
        };
        if let Some(incarnation) = upstream.selected.target.incarnation() {
            placement_sync::record_request_outcome(&self.gateway, &incarnation.server, outcome);
        }
    }

    /// Selects another engine for a stream whose engine broke off; `None` if there is none.
    async fn resume(&mut self) -> Option<StreamSource> {
        if let Err(denial) = self.attempts.try_retry(&self.gateway, &self.call) {
            info!(self.gateway.log, "Stream not resumed"; "request" => self.call.attempt_id_text(),
                "denial" => ?denial);
            return None;
        }
        metrics::count_retry(RetryReason::StreamResumed);
        crash_verdict::await_evidence(&self.gateway, &self.call, RunState::MayHaveRun).await;
        let next = self
            .attempts
            .run_until_response(&self.gateway, &self.call, self.last_event);
        let next = match next.await {
            Ok(next) => next,
            Err(refusal) => {
                info!(self.gateway.log, "Stream not resumed"; "refusal" => refusal.reason.code(),
                    "request" => self.call.attempt_id_text());
                return None;
            }
        };
        if !next.head.status.is_success() {
            info!(self.gateway.log, "Stream not resumed"; "request" => self.call.attempt_id_text(),
                "server" => %next.selected.target, "status" => next.head.status.as_u16());
            return None;
        }
        let source = StreamSource::new(next);
        self.resumed_on(&source);
        Some(source)
    }

    /// Records that the stream goes on with another engine.
    fn resumed_on(&mut self, source: &StreamSource) {
        self.resumptions += 1;
        self.last_placement = PlacementInfo::new(&self.call, &source.upstream);
    }

    fn log_interruption(&self, source: &StreamSource, reason: &str) {
        let selected = &source.upstream.selected;
        info!(self.gateway.log, "Stream interrupted"; "request" => self.call.attempt_id_text(),
            "content" => %self.call.content.digest(), "server" => %selected.target,
            "born" => selected.target.born(), "reason" => reason, "events" => self.event_count);
    }

    /// Forwards the events of one engine until its response ends, breaks or is overtaken.
    async fn forward_from(&mut self, source: &mut StreamSource) -> SourceEnd {
        self.call.guard.enter(Phase::Body);
        loop {
            let bytes = match self.next_bytes(source).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => return SourceEnd::Ended(StreamEnd::Complete),
                Err(end) => return end,
            };
            let events = source.splitter.push(&bytes);
            let held: usize = events.iter().map(|event| event.bytes.len()).sum();
            if let Err(end) = self.make_room(source.splitter.partial_bytes() + held).await {
                return SourceEnd::Ended(end);
            }
            for event in events {
                if let Some(placement) = &source.upstream.selected.placement {
                    placement.record_event();
                }
                if let Some(sample) = source.upstream.selected.sample.take() {
                    sample.answered();
                }
                let now = self.gateway.now();
                let gap = self
                    .last_received
                    .map_or(Duration::ZERO, |last| now.since(last));
                self.longest_gap = self.longest_gap.max(gap);
                self.last_received = Some(now);
                if let Err(end) = self.forward_event(event).await {
                    return SourceEnd::Ended(end);
                }
            }
            if source.splitter.is_over_limit() {
                return SourceEnd::Ended(StreamEnd::Broken("an event is too long"));
            }
        }
    }

    /// Forwards one event; fails if it does not follow the previous one.
    async fn forward_event(&mut self, event: Event) -> Result<(), StreamEnd> {
        if !event.follows(self.last_event) {
            return Err(StreamEnd::Broken("an event does not follow the last"));
        }
        self.last_event = event.id.or(self.last_event);
        self.event_count += 1;
        if self.ttft.is_none() {
            let elapsed = self.gateway.now().since(self.call.received_at);
            self.ttft = Some(elapsed);
            metrics::observe_first_token(self.call.service.as_str(), elapsed);
        }
        if event.bytes.len() <= MAX_PIECE_BYTES {
            return self.send(Bytes::from(event.bytes)).await;
        }
        for piece in event.bytes.chunks(MAX_PIECE_BYTES) {
            self.send(Bytes::copy_from_slice(piece)).await?;
        }
        Ok(())
    }

    /// Sends bytes to the caller; waits while it reads slowly, but not beyond the deadline.
    async fn send(&self, bytes: Bytes) -> Result<(), StreamEnd> {
        let time_left = self.call.time_left(self.gateway.now());
        let sent = timeout(time_left, self.sender.send(Chunk::Data(bytes))).await;
        let sent = sent.map_err(|_elapsed| StreamEnd::Overdue)?;
        sent.map_err(|_closed| StreamEnd::CallerGone)
    }

    /// Accounts for the bytes that are held for the caller; waits while there is no room.
    async fn make_room(&mut self, bytes: usize) -> Result<(), StreamEnd> {
        // Callers that do not read take the room, which shows nothing of the engine.
        let room = self.share.resize(bytes).await;
        room.map_err(|_no_room| StreamEnd::Overdue)
    }

    /// Waits for the next bytes, and sends hedges while the engine is silent.
    ///
    /// Returns `None` at the end of the engine's response.
    async fn next_bytes(&self, source: &mut StreamSource) -> Result<Option<Bytes>, SourceEnd> {
        let time_left = self.call.time_left(self.gateway.now());
        // A timeout alone lets bytes pass that are always ready.
        if time_left.is_zero() {
            return Err(SourceEnd::Ended(StreamEnd::Overdue));
        }
        let received = timeout(time_left, self.next_bytes_hedged(source)).await;
        received.unwrap_or(Err(SourceEnd::Ended(StreamEnd::Overdue)))
    }

    async fn next_bytes_hedged(
        &self,
        source: &mut StreamSource,
    ) -> Result<Option<Bytes>, SourceEnd> {
        if let Ok(received) = timeout(self.stall_timeout(), source.next_bytes()).await {
            return received.map_err(SourceEnd::Ended);
        }
        let context = AttemptContext {
            gateway: &self.gateway,
            call: &self.call,
            tally: &self.attempts.tally,
            last_event: self.last_event,
        };
        let silent = vec![source.upstream.selected.target.clone()];
        let mut hedges = context.hedge_until_answered(silent);
        let end = tokio::select! {
            biased;
            received = source.next_bytes() => match received {
                Ok(bytes) => return Ok(bytes),
                Err(end) => end,
            },
            response = hedges.as_mut() => return Err(SourceEnd::overtaken(response)),
        };
        // The engine broke off; only hedges in progress are left of this attempt.
        source.upstream.in_progress = None;
        match context.await_hedges(hedges.as_mut()).await {
            Some(response) => {
                self.record_source_end(source, end);
                Err(SourceEnd::overtaken(response))
            }
            None => Err(SourceEnd::Ended(end)),
        }
    }

    /// Returns the silence between two events after which a hedge is sent to another engine.
    ///
    /// It is unlimited before the first event, and where no attempt could resume the stream.
    fn stall_timeout(&self) -> Duration {
        match self.call.route.kind {
            CallKind::Stream {
                resumable: true,
                pause,
            } if self.ttft.is_some() && self.attempts.tally.allows_hedge(&self.call) => {
                MIN_STALL_TIMEOUT.max(pause * 3)
            }
            _ => Duration::MAX,
        }
    }

    fn log_end(&self, end: StreamEnd) {
        let outcome = match end {
            StreamEnd::Complete => "complete",
            StreamEnd::Broken(_) => "broken",
            StreamEnd::CallerGone => "caller_gone",
            StreamEnd::Overdue => "overdue",
            StreamEnd::Stopping => "stopping",
        };
        self.call.guard.end();
        metrics::count_outcome(self.call.service.as_str(), outcome);
        info!(self.gateway.log, "Stream ended"; "request" => self.call.attempt_id_text(),
            "route" => &*self.call.route.name, "outcome" => outcome, "events" => self.event_count,
            "prompt" => self.call.token_counts.map(|tokens| tokens.prompt),
            "server" => %self.last_placement.target, "helpers" => self.last_placement.helper_count,
            "spent_ms" => self.call.spent_before().as_millis(),
            "placed_ms" => self.last_placement.placement_delay.as_millis(),
            "predicted_ms" => self.last_placement.predicted_wait.map(|wait| wait.as_millis()),
            "first_ms" => self.ttft.map(|first| first.as_millis()),
            "longest_ms" => self.longest_gap.as_millis(), "resumed" => self.resumptions,
            "took_ms" => self.gateway.now().since(self.call.received_at).as_millis(),
            "manifest" => self.call.manifest_number);
    }
}
