//! Admitted requests in progress; each of them leaves with an outcome or is logged as dropped.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use merlinrudder_core::outcome::RunState;
use merlinrudder_core::time::Moment;
use slog::{Logger, warn};

use super::state::Gateway;

/// What an admitted request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// A server to be selected, or the trial of its content to end.
    Selection,
    /// Memory at helpers.
    Reservation,
    /// The response head of a server that it may have reached.
    Head,
    /// Further events or the rest of the body.
    Body,
}

/// An admitted request whose outcome is not known yet.
#[derive(Debug)]
pub(super) struct OpenRequest {
    number: u64,
    pub(super) attempt_id: String,
    pub(super) received_at: Moment,
    phase: Cell<Phase>,
    /// Attempts that were sent and not refused; each has a `record_sent` before its `record_refused`.
    sent: Cell<u32>,
}

impl OpenRequest {
    /// Records what the request waits for next.
    ///
    /// A hedge beside a response that is forwarded changes nothing.
    pub(super) fn enter(&self, phase: Phase) {
        if self.phase.get() != Phase::Body || phase == Phase::Selection {
            self.phase.set(phase);
        }
    }

    /// Records that an attempt is about to be sent.
    pub(super) fn record_sent(&self) {
        self.sent.set(self.sent.get() + 1);
    }

    /// Records that an attempt that was sent did not run the request.
    pub(super) fn record_refused(&self) {
        self.sent.set(self.sent.get() - 1);
    }

    /// Whether a server may have run the request.
    pub(super) fn run_state(&self) -> RunState {
        if self.sent.get() == 0 {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        }
    }
}

/// All admitted requests of an entry VM whose outcome is not known yet.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    by_number: RefCell<BTreeMap<u64, Rc<OpenRequest>>>,
    last_number: Cell<u64>,
}

impl OpenRequests {
    /// Records that the outcome of a request was logged; returns whether it had none before.
    pub(super) fn end(&self, request: &OpenRequest) -> bool {
        let mut requests = self.by_number.borrow_mut();
        requests.remove(&request.number).is_some()
    }

    /// Logs each request that the end of the process cuts off.
    pub(super) fn log_all(&self, now: Moment, log: &Logger) {
        for request in self.by_number.borrow().values() {
            log_dropped(request, now, "process exit", log);
        }
    }
}

/// Registers an admitted request until it has an outcome.
///
/// Dropping it before that, as when the caller disconnects, logs the request as dropped.
#[derive(Debug)]
pub(super) struct OpenRequestGuard {
    gateway: Rc<Gateway>,
    pub(super) request: Rc<OpenRequest>,
}

impl OpenRequestGuard {
    /// Registers a request, which begins with the selection of a server.
    pub(super) fn new(gateway: &Rc<Gateway>, attempt_id: &str, received_at: Moment) -> Self {
        let requests = &gateway.open_requests;
        let number = requests.last_number.get() + 1;
        requests.last_number.set(number);
        let request = Rc::new(OpenRequest {
            number,
            attempt_id: attempt_id.to_owned(),
            received_at,
            phase: Cell::new(Phase::Selection),
            sent: Cell::new(0),
        });
        let mut by_number = requests.by_number.borrow_mut();
        by_number.insert(number, Rc::clone(&request));
        Self {
            gateway: Rc::clone(gateway),
            request,
        }
    }

    /// Records what the request waits for next.
    pub(super) fn enter(&self, phase: Phase) {
        self.request.enter(phase);
    }

    /// Records that the outcome of the request was logged.
    pub(super) fn end(&self) {
        self.gateway.open_requests.end(&self.request);
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        if gateway.open_requests.end(&self.request) {
            let cause = "caller disconnected";
            log_dropped(&self.request, gateway.now(), cause, &gateway.log);
        }
    }
}

fn log_dropped(request: &OpenRequest, now: Moment, cause: &str, log: &Logger) {
    warn!(log, "Request dropped"; "request" => &request.attempt_id, "cause" => cause,
        "phase" => ?request.phase.get(),
        "after_ms" => now.since(request.received_at).as_millis());
}
