//! Streaming responses: forwards whole events as they arrive, each once and in order.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use merlinrudder_core::deployment::CallKind;
use merlinrudder_core::events::{Event, EventSplitter};
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::outcome::RetryReason;
use slog::info;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::attempts::Attempts;
use super::body::{ChunkSender, ResponseBody, TruncatedResponse};
use super::buffered;
use super::crash_watch;
use super::exchange::{UpstreamResponse, forwarded_response, return_to_pool};
use super::open_requests::Phase;
use super::placement_sync;
use super::request::CallerRequest;
use super::state::Gateway;
use crate::metrics;

/// Events buffered for a caller that reads slowly.
const EVENT_BUFFER_CAPACITY: usize = 16;
/// Lower limit of the stall timeout, which bounds the silence between two events.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1600);

/// Reason logged for a stream whose engine sent nothing within the stall timeout.
const SILENT_REASON: &str = "silent";

/// Returns the head of a stream and spawns a task that forwards its events.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: CallerRequest) -> Response<ResponseBody> {
    let mut attempts = Attempts::new();
    let upstream_response = match attempts.run_until_response(gateway, &call, None).await {
        Ok(upstream_response) => upstream_response,
        Err(refusal) => return buffered::refuse_request(gateway, &call, &refusal),
    };
    let (sender, chunks) = mpsc::channel(EVENT_BUFFER_CAPACITY);
    let response = forwarded_response(&upstream_response.head, ResponseBody::Streaming(chunks));
    let forwarder = StreamForwarder {
        gateway: Rc::clone(gateway),
        last_event: call.last_event,
        last_placement: PlacementInfo::new(&call, &upstream_response),
        call,
        attempts,
        sender,
        event_count: 0,
        ttft: None,
        longest_gap: Duration::ZERO,
        resumptions: 0,
    };
    spawn_local(forwarder.run(upstream_response));
    response
}

/// Latest placement of a stream, for its log line.
struct PlacementInfo {
    /// Engine that generates the output.
    server: ServerId,
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
            server: selected.server.clone(),
            helper_count: selected.helpers.len(),
            placement_delay: selected.selected_at.since(call.received_at),
            predicted_wait: selected.predicted_wait,
        }
    }
}

/// How forwarding the events of one engine ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    /// The engine ended the response after a whole event.
    Complete,
    /// The engine's response was cut, malformed or silent; holds the reason to log.
    Broken(&'static str),
    /// The caller closed its connection.
    CallerGone,
    /// The deadline of the request passed.
    Overdue,
}

/// Forwards one stream to its caller, across the engines that it resumes on.
struct StreamForwarder {
    gateway: Rc<Gateway>,
    call: CallerRequest,
    attempts: Attempts,
    sender: ChunkSender,
    /// Number of the last event that was forwarded, or that the caller already had.
    last_event: Option<u64>,
    /// Events forwarded, over all engines.
    event_count: u32,
    /// Time to first token: from the receipt of the request to its first event.
    ttft: Option<Duration>,
    /// Longest time between two events.
    longest_gap: Duration,
    /// Times that the stream broke and a retry was spent to resume it.
    resumptions: u32,
    last_placement: PlacementInfo,
}

impl StreamForwarder {
    /// Forwards the stream to its end, and logs how it ended.
    async fn run(mut self, upstream_response: UpstreamResponse) {
        let sender = self.sender.clone();
        // When the caller disconnects, the request at the engine is cancelled at once, even while
        // the engine is silent.
        tokio::select! {
            biased;
            () = sender.closed() => self.log_end(StreamEnd::CallerGone),
            end = self.forward_all(upstream_response) => {
                if end != StreamEnd::Complete {
                    // Cuts the connection, so that the response does not look complete.
                    let _gone = self.sender.send(Err(TruncatedResponse)).await;
                }
                self.log_end(end);
            }
        }
    }

    /// Forwards events, and resumes on another engine when one breaks off.
    async fn forward_all(&mut self, mut upstream_response: UpstreamResponse) -> StreamEnd {
        loop {
            let incarnation = upstream_response.selected.incarnation();
            let server = incarnation.server.clone();
            let run = upstream_response.run.take();
            let status = upstream_response.head.status;
            let end = self.forward_from_server(upstream_response).await;
            match (end, run) {
                (StreamEnd::Broken(_), Some(run)) => run.broke(),
                (StreamEnd::Complete, _) if !status.is_server_error() => {
                    crash_watch::record_completed(&self.gateway, &self.call);
                }
                _ => {}
            }
            let server_outcome = match end {
                // A long prefill delays all responses of an engine, so silence is not a failure.
                StreamEnd::Broken(SILENT_REASON) => None,
                StreamEnd::Broken(_) => Some(ServerOutcome::Failed),
                _ => Some(ServerOutcome::Succeeded),
            };
            if let Some(server_outcome) = server_outcome {
                placement_sync::record_request_outcome(&self.gateway, &server, server_outcome);
            }
            let StreamEnd::Broken(reason) = end else {
                return end;
            };
            info!(self.gateway.log, "Stream interrupted"; "request" => self.call.attempt_id_text(),
                "content" => %self.call.content.digest(), "server" => %server, "born" => incarnation.born,
                "reason" => reason, "events" => self.event_count);
            self.attempts.excluded.push(server);
            if let Err(denial) = self.attempts.try_retry(&self.gateway, &self.call) {
                info!(self.gateway.log, "Stream not resumed"; "request" => self.call.attempt_id_text(),
                    "denial" => ?denial);
                return end;
            }
            metrics::count_retry(RetryReason::StreamResumed);
            crash_watch::await_evidence(&self.gateway, &self.call).await;
            self.resumptions += 1;
            let next = self
                .attempts
                .run_until_response(&self.gateway, &self.call, self.last_event);
            match next.await {
                Ok(next) if next.head.status.is_success() => {
                    self.last_placement = PlacementInfo::new(&self.call, &next);
                    upstream_response = next;
                }
                Ok(next) => {
                    info!(self.gateway.log, "Stream not resumed"; "request" => self.call.attempt_id_text(),
                        "server" => %next.selected.server, "status" => next.head.status.as_u16());
                    return end;
                }
                Err(refusal) => {
                    info!(self.gateway.log, "Stream not resumed"; "request" => self.call.attempt_id_text(),
                        "refusal" => refusal.reason.code());
                    return end;
                }
            }
        }
    }

    /// Forwards the events of one engine until its response ends or breaks.
    async fn forward_from_server(&mut self, upstream_response: UpstreamResponse) -> StreamEnd {
        let UpstreamResponse {
            selected,
            head,
            mut body,
            connection,
            _reservation,
            ..
        } = upstream_response;
        self.call.guard.enter(Phase::Body);
        let mut splitter = EventSplitter::default();
        let mut last_received = self.gateway.now();
        loop {
            let bytes = match self.next_bytes(&mut body).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if splitter.is_partial() => return StreamEnd::Broken("ended in an event"),
                Ok(None) => {
                    return_to_pool(&self.gateway, connection, &head.headers);
                    return StreamEnd::Complete;
                }
                Err(end) => return end,
            };
            for event in splitter.push(&bytes) {
                if let Some(placement) = &selected.placement
                    && self.ttft.is_none()
                {
                    placement.record_first_event();
                }
                let now = self.gateway.now();
                if self.ttft.is_some() {
                    self.longest_gap = self.longest_gap.max(now.since(last_received));
                }
                last_received = now;
                if let Err(end) = self.forward_event(event).await {
                    return end;
                }
            }
        }
    }

    /// Forwards one event; fails if it is not numbered one after the previous event.
    ///
    /// Events without a number are forwarded unchecked.
    async fn forward_event(&mut self, event: Event) -> Result<(), StreamEnd> {
        let follows = match (self.last_event, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        };
        if !follows {
            return Err(StreamEnd::Broken("an event does not follow the last"));
        }
        self.last_event = event.id.or(self.last_event);
        self.event_count += 1;
        if self.ttft.is_none() {
            let elapsed = self.gateway.now().since(self.call.received_at);
            self.ttft = Some(elapsed);
            metrics::observe_first_token(self.call.service.as_str(), elapsed);
        }
        let chunk = Ok(Bytes::from(event.bytes));
        let sent = self.sender.send(chunk).await;
        sent.map_err(|_closed| StreamEnd::CallerGone)
    }

    /// Waits for the next bytes; `None` at the end of the engine's response.
    async fn next_bytes(&self, body: &mut Incoming) -> Result<Option<Bytes>, StreamEnd> {
        let time_left = self.call.time_left(self.gateway.now());
        if time_left.is_zero() {
            return Err(StreamEnd::Overdue);
        }
        let wait = time_left.min(self.stall_timeout());
        match timeout(wait, body.frame()).await {
            Err(_elapsed) if wait == time_left => Err(StreamEnd::Overdue),
            Err(_elapsed) => Err(StreamEnd::Broken(SILENT_REASON)),
            Ok(None) => Ok(None),
            Ok(Some(Err(_error))) => Err(StreamEnd::Broken("cut")),
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }

    /// Returns the longest silence between two events before the engine counts as hung.
    ///
    /// It is unlimited before the first event, and where no attempt could resume the stream.
    fn stall_timeout(&self) -> Duration {
        match self.call.route.kind {
            CallKind::Stream {
                resumable: true,
                pause,
            } if self.ttft.is_some() && self.attempts.allows_retry(&self.call) => {
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
        };
        self.call.guard.end();
        metrics::count_outcome(self.call.service.as_str(), outcome);
        info!(self.gateway.log, "Stream ended"; "request" => self.call.attempt_id_text(),
            "route" => &*self.call.route.name, "outcome" => outcome, "events" => self.event_count,
            "prompt" => self.call.token_counts.map(|tokens| tokens.prompt),
            "server" => %self.last_placement.server, "helpers" => self.last_placement.helper_count,
            "placed_ms" => self.last_placement.placement_delay.as_millis(),
            "predicted_ms" => self.last_placement.predicted_wait.map(|wait| wait.as_millis()),
            "first_ms" => self.ttft.map(|first| first.as_millis()),
            "longest_ms" => self.longest_gap.as_millis(), "resumed" => self.resumptions,
            "took_ms" => self.gateway.now().since(self.call.received_at).as_millis(),
            "manifest" => self.call.manifest_number);
    }
}
