//! Admitted requests in progress; each of them leaves with an outcome or is logged as dropped.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

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
struct OpenRequest {
    attempt_id: String,
    received_at: Moment,
    phase: Phase,
}

/// All admitted requests of an entry VM whose outcome is not known yet.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    by_number: RefCell<BTreeMap<u64, OpenRequest>>,
    last_number: Cell<u64>,
}

impl OpenRequests {
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
    number: u64,
}

impl OpenRequestGuard {
    /// Registers a request, which begins with the selection of a server.
    pub(super) fn new(gateway: &Rc<Gateway>, attempt_id: &str, received_at: Moment) -> Self {
        let requests = &gateway.open_requests;
        let number = requests.last_number.get() + 1;
        requests.last_number.set(number);
        let request = OpenRequest {
            attempt_id: attempt_id.to_owned(),
            received_at,
            phase: Phase::Selection,
        };
        requests.by_number.borrow_mut().insert(number, request);
        Self {
            gateway: Rc::clone(gateway),
            number,
        }
    }

    /// Records what the request waits for next.
    pub(super) fn enter(&self, phase: Phase) {
        let mut requests = self.gateway.open_requests.by_number.borrow_mut();
        if let Some(request) = requests.get_mut(&self.number) {
            request.phase = phase;
        }
    }

    /// Records that the outcome of the request was logged.
    pub(super) fn end(&self) {
        let mut requests = self.gateway.open_requests.by_number.borrow_mut();
        requests.remove(&self.number);
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let mut requests = gateway.open_requests.by_number.borrow_mut();
        if let Some(request) = requests.remove(&self.number) {
            log_dropped(&request, gateway.now(), "caller disconnected", &gateway.log);
        }
    }
}

fn log_dropped(request: &OpenRequest, now: Moment, cause: &str, log: &Logger) {
    warn!(log, "Request dropped"; "request" => &request.attempt_id, "cause" => cause,
        "phase" => ?request.phase,
        "after_ms" => now.since(request.received_at).as_millis());
}
