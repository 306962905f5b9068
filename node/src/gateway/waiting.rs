//! Requests that wait for permits of servers with limits or for turns at cold servers.
//!
//! Callers that are refused for lack of them are told to come back one after the other.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::cold::ColdOutlook;
use merlinrudder_core::fleet::NoChoice;
use merlinrudder_core::names::{ServerId, ServiceName};
use merlinrudder_core::rate_limit::return_times::ReturnTimes;
use merlinrudder_core::time::Moment;

use super::request::CallerRequest;
use super::state::Gateway;

/// Requests that wait, and return times of the callers that were refused, by service.
#[derive(Debug, Default)]
pub(super) struct WaitQueues {
    waiting: BTreeMap<ServiceName, usize>,
    return_times: BTreeMap<ServiceName, ReturnTimes>,
}

impl WaitQueues {
    /// Returns how many requests of a service wait.
    pub(super) fn waiting(&self, service: &ServiceName) -> usize {
        self.waiting.get(service).copied().unwrap_or_default()
    }
}

/// Counts a request as waiting for a permit or a turn until this is dropped.
#[derive(Debug)]
pub(super) struct Waiter {
    gateway: Rc<Gateway>,
    service: ServiceName,
    /// When the wait began.
    pub(super) since: Moment,
}

impl Waiter {
    pub(super) fn new(gateway: &Rc<Gateway>, service: &ServiceName) -> Self {
        let mut queues = gateway.wait_queues.borrow_mut();
        *queues.waiting.entry(service.clone()).or_default() += 1;
        Self {
            gateway: Rc::clone(gateway),
            service: service.clone(),
            since: gateway.now(),
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut queues = self.gateway.wait_queues.borrow_mut();
        if let Some(waiting) = queues.waiting.get_mut(&self.service) {
            *waiting -= 1;
        }
    }
}

/// Returns what requests that came earlier wait for, if every server left requires it.
///
/// A request that comes later waits as well, so that it does not overtake them.
pub(super) fn awaited_earlier(
    gateway: &Gateway,
    call: &CallerRequest,
    excluded: &[ServerId],
) -> Option<NoChoice> {
    if gateway.wait_queues.borrow().waiting(&call.service) == 0 {
        return None;
    }
    let fleet = gateway.fleet.borrow();
    if fleet.rates.has_limits() && fleet.are_all_limited(&call.service, excluded) {
        return Some(NoChoice::RateLimited);
    }
    let all_cold =
        fleet.cold.has_rules() && fleet.are_all_cold(gateway.now(), &call.service, excluded);
    all_cold.then_some(NoChoice::Cold)
}

/// Returns when a caller may come back for which no server of a service has a permit.
pub(super) fn return_after(gateway: &Gateway, service: &ServiceName) -> Duration {
    let now = gateway.now();
    let rate = gateway.fleet.borrow().fair_rate(now, service);
    let mut queues = gateway.wait_queues.borrow_mut();
    let times = queues.return_times.entry(service.clone()).or_default();
    times.promise(now, rate)
}

/// Returns when a caller may come back for which all servers of a service are cold.
pub(super) fn return_after_turn(
    gateway: &Gateway,
    service: &ServiceName,
    outlook: &ColdOutlook,
) -> Duration {
    let mut queues = gateway.wait_queues.borrow_mut();
    let times = queues.return_times.entry(service.clone()).or_default();
    times.promise_after(gateway.now(), outlook.wait, outlook.rate)
}
