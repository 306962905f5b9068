//! Streams: whole events are passed on as they come, each once and in order.

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
use super::body::{AnswerBody, CutOff, PartSender};
use super::exchange::{Opened, keep_connection, passed_on};
use super::plain;
use super::request::CallerRequest;
use super::sharing;
use super::state::Gateway;
use crate::metrics;

/// Events that wait for a caller that reads slowly.
const WAITING_EVENTS: usize = 16;
/// Shortest silence between two events after which an engine counts as hung.
const MIN_STALL: Duration = Duration::from_millis(1600);

/// Reason of a stream that broke because its engine said nothing.
const SILENT: &str = "silent";

/// Serves a stream: returns its head, and goes on with its events in a task of its own.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: CallerRequest) -> Response<AnswerBody> {
    let mut attempts = Attempts::new();
    let opened = match attempts.open(gateway, &call, None).await {
        Ok(opened) => opened,
        Err(refusal) => return plain::give_up(gateway, &call, &refusal),
    };
    let (sender, parts) = mpsc::channel(WAITING_EVENTS);
    let answer = passed_on(&opened.head, AnswerBody::Parts(parts));
    let passing = Passing {
        gateway: Rc::clone(gateway),
        last: call.last_event,
        placed: PlacedOn::new(&call, &opened),
        call,
        attempts,
        sender,
        events: 0,
        first: None,
        longest: Duration::ZERO,
        resumed: 0,
    };
    spawn_local(passing.run(opened));
    answer
}

/// Where a stream was placed last, for its log line.
struct PlacedOn {
    /// Engine that writes.
    server: ServerId,
    /// Number of engines that help it.
    helpers: usize,
    /// Time from the request to the placement.
    waited: Duration,
    /// Predicted time from the placement to the first event.
    predicted: Option<Duration>,
}

impl PlacedOn {
    fn new(call: &CallerRequest, opened: &Opened) -> Self {
        let chosen = &opened.chosen;
        Self {
            server: chosen.server.clone(),
            helpers: chosen.helpers.len(),
            waited: chosen.at.since(call.began),
            predicted: chosen.predicted,
        }
    }
}

/// How passing on the events of one engine ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ended {
    /// The stream is complete.
    Complete,
    /// The engine broke off, spoiled the stream or fell silent.
    Broken(&'static str),
    /// The caller went away.
    CallerGone,
    /// The time is over.
    Overdue,
}

/// A stream on its way to the caller.
struct Passing {
    gateway: Rc<Gateway>,
    call: CallerRequest,
    attempts: Attempts,
    sender: PartSender,
    /// Number of the last event that the caller has.
    last: Option<u64>,
    events: u32,
    /// Time from the request to its first event.
    first: Option<Duration>,
    /// Longest time between two events.
    longest: Duration,
    resumed: u32,
    placed: PlacedOn,
}

impl Passing {
    async fn run(mut self, opened: Opened) {
        let sender = self.sender.clone();
        // The caller's leaving must end the work at the engine at once, also while that is silent.
        tokio::select! {
            biased;
            () = sender.closed() => self.log_end(Ended::CallerGone),
            ended = self.pass_all(opened) => {
                if ended != Ended::Complete {
                    // The connection is cut, so that the answer does not look complete.
                    let _gone = self.sender.send(Err(CutOff)).await;
                }
                self.log_end(ended);
            }
        }
    }

    /// Passes on events, from further engines where the first one breaks off.
    async fn pass_all(&mut self, mut opened: Opened) -> Ended {
        loop {
            let server = opened.chosen.server.clone();
            let ended = self.pass_one(opened).await;
            let result = match ended {
                // A long read holds up all answers of an engine; that is no fault.
                Ended::Broken(SILENT) => None,
                Ended::Broken(_) => Some(ServerOutcome::Failed),
                _ => Some(ServerOutcome::Succeeded),
            };
            if let Some(result) = result {
                sharing::note_served(&self.gateway, &server, result);
            }
            let Ended::Broken(reason) = ended else {
                return ended;
            };
            info!(self.gateway.log, "Stream broke"; "request" => self.call.id_text(),
                "server" => %server, "reason" => reason, "events" => self.events);
            self.attempts.tried.push(server);
            if !self.attempts.may_repeat(&self.gateway, &self.call) {
                return ended;
            }
            metrics::count_retry(RetryReason::StreamResumed);
            self.resumed += 1;
            let next = self.attempts.open(&self.gateway, &self.call, self.last);
            match next.await {
                Ok(next) if next.head.status.is_success() => {
                    self.placed = PlacedOn::new(&self.call, &next);
                    opened = next;
                }
                _ => return ended,
            }
        }
    }

    /// Passes on the events of one engine.
    async fn pass_one(&mut self, opened: Opened) -> Ended {
        let Opened {
            chosen,
            head,
            mut body,
            connection,
            _reservation,
        } = opened;
        let mut splitter = EventSplitter::default();
        let mut heard = self.gateway.now();
        loop {
            let bytes = match self.next_bytes(&mut body).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if splitter.is_partial() => return Ended::Broken("ended in an event"),
                Ok(None) => {
                    keep_connection(&self.gateway, connection, &head.headers);
                    return Ended::Complete;
                }
                Err(ended) => return ended,
            };
            for event in splitter.push(&bytes) {
                if let Some(placement) = &chosen.placement
                    && self.first.is_none()
                {
                    placement.first_event();
                }
                let now = self.gateway.now();
                if self.first.is_some() {
                    self.longest = self.longest.max(now.since(heard));
                }
                heard = now;
                if let Err(ended) = self.pass_event(event).await {
                    return ended;
                }
            }
        }
    }

    async fn pass_event(&mut self, event: Event) -> Result<(), Ended> {
        let follows = match (self.last, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        };
        if !follows {
            return Err(Ended::Broken("an event does not follow the last"));
        }
        self.last = event.id.or(self.last);
        self.events += 1;
        if self.first.is_none() {
            let first = self.gateway.now().since(self.call.began);
            self.first = Some(first);
            metrics::note_first_token(self.call.service.as_str(), first);
        }
        let part = Ok(Bytes::from(event.bytes));
        let sent = self.sender.send(part).await;
        sent.map_err(|_closed| Ended::CallerGone)
    }

    /// Waits for bytes; the engine's answer ends with `None`.
    async fn next_bytes(&self, body: &mut Incoming) -> Result<Option<Bytes>, Ended> {
        let left = self.call.left(self.gateway.now());
        if left.is_zero() {
            return Err(Ended::Overdue);
        }
        let wait = left.min(self.stall_time());
        match timeout(wait, body.frame()).await {
            Err(_elapsed) if wait == left => Err(Ended::Overdue),
            Err(_elapsed) => Err(Ended::Broken(SILENT)),
            Ok(None) => Ok(None),
            Ok(Some(Err(_error))) => Err(Ended::Broken("cut")),
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }

    fn stall_time(&self) -> Duration {
        match self.call.route.kind {
            CallKind::Stream {
                resumable: true,
                pause,
            } if self.first.is_some() && self.attempts.repeats(&self.call) => {
                MIN_STALL.max(pause * 3)
            }
            _ => Duration::MAX,
        }
    }

    fn log_end(&self, ended: Ended) {
        let outcome = match ended {
            Ended::Complete => "complete",
            Ended::Broken(_) => "broken",
            Ended::CallerGone => "caller_gone",
            Ended::Overdue => "overdue",
        };
        metrics::count_outcome(self.call.service.as_str(), outcome);
        info!(self.gateway.log, "Stream ended"; "request" => self.call.id_text(),
            "route" => &*self.call.route.name, "outcome" => outcome, "events" => self.events,
            "prompt" => self.call.tokens.map(|tokens| tokens.prompt),
            "server" => %self.placed.server, "helpers" => self.placed.helpers,
            "placed_ms" => self.placed.waited.as_millis(),
            "predicted_ms" => self.placed.predicted.map(|predicted| predicted.as_millis()),
            "first_ms" => self.first.map(|first| first.as_millis()),
            "longest_ms" => self.longest.as_millis(), "resumed" => self.resumed,
            "took_ms" => self.gateway.now().since(self.call.began).as_millis(),
            "manifest" => self.call.manifest);
    }
}
