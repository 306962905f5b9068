//! Tells a VM that is cut off from the servers of a service from servers that have failed.
//!
//! Failed connections to two servers with no answer since raise the question, and connections to
//! further servers decide it. A silence or a broken answer alone raises nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::{ServerId, ServiceName};
use crate::time::Moment;

/// Servers to which connections must fail before others are tried.
const MIN_FAILED_SERVERS: usize = 2;
/// Time for which a failed connection counts.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);
/// Interval at which a VM that is cut off tries to connect.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Servers that are tried to find out whether this VM is cut off.
const DECIDING_PROBES: usize = 6;
/// Servers that are tried at a time while this VM is cut off.
const RETURN_PROBES: usize = 2;

/// Whether this VM reaches the servers of one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// It does, as far as known.
    #[default]
    Reached,
    /// Connections have failed; further servers are being tried.
    Deciding,
    /// It does not; further servers were last tried at this time.
    CutOff { probed_at: Moment },
}

/// What this VM knows of its connections to one service.
#[derive(Debug, Default)]
struct Reach {
    state: State,
    /// Servers to which a connection failed, and when; emptied by each answer.
    failed: BTreeMap<ServerId, Moment>,
    /// Number of servers tried so far, so that all take their turn.
    turn: usize,
}

/// Whether this VM reaches the servers of each service.
#[derive(Debug, Default)]
pub struct ReachTable {
    services: BTreeMap<ServiceName, Reach>,
}

impl ReachTable {
    /// Records that a connection to a server failed, of `known` servers of its service.
    ///
    /// Returns whether connections to further servers must now decide.
    pub fn record_failure(
        &mut self,
        now: Moment,
        service: &ServiceName,
        server: &ServerId,
        known: usize,
    ) -> bool {
        let reach = self.services.entry(service.clone()).or_default();
        reach.failed.retain(|_, at| now.since(*at) < FAILURE_MEMORY);
        reach.failed.insert(server.clone(), now);
        let is_raised = reach.failed.len() >= MIN_FAILED_SERVERS.min(known.max(1));
        if reach.state != State::Reached || !is_raised {
            return false;
        }
        reach.state = State::Deciding;
        true
    }

    /// Records that a server answered on a connection that was opened lately.
    pub fn record_answer(&mut self, service: &ServiceName) {
        if let Some(reach) = self.services.get_mut(service)
            && reach.state == State::Reached
        {
            reach.failed.clear();
        }
    }

    /// Chooses the servers to connect to, of those that are ready.
    pub fn choose_probes(&mut self, service: &ServiceName, ready: &[ServerId]) -> Vec<ServerId> {
        let Some(reach) = self.services.get_mut(service) else {
            return Vec::new();
        };
        let count = match reach.state {
            State::Deciding => DECIDING_PROBES,
            State::CutOff { .. } | State::Reached => RETURN_PROBES,
        };
        let start = reach.turn % ready.len().max(1);
        reach.turn += count;
        let mut in_turn: Vec<_> = ready[start..].iter().chain(&ready[..start]).collect();
        if reach.state == State::Deciding {
            // Those to which no connection has failed decide sooner.
            in_turn.sort_by_key(|server| reach.failed.contains_key(*server));
        }
        in_turn.into_iter().take(count).cloned().collect()
    }

    /// Records whether any of the connections was established; returns whether that changes who is
    /// cut off.
    pub fn record_probes(&mut self, now: Moment, service: &ServiceName, reached: bool) -> bool {
        let reach = self.services.entry(service.clone()).or_default();
        let was_cut_off = matches!(reach.state, State::CutOff { .. });
        reach.state = if reached {
            State::Reached
        } else {
            State::CutOff { probed_at: now }
        };
        if reached {
            reach.failed.clear();
        }
        was_cut_off == reached
    }

    /// Whether this VM is cut off from a service.
    #[must_use]
    pub fn is_cut_off(&self, service: &ServiceName) -> bool {
        let state = self.services.get(service).map(|reach| reach.state);
        matches!(state, Some(State::CutOff { .. }))
    }

    /// Whether this VM may be cut off from a service, so that failures say nothing of its servers.
    #[must_use]
    pub fn may_be_cut_off(&self, service: &ServiceName) -> bool {
        let state = self.services.get(service).map(|reach| reach.state);
        state.is_some_and(|state| state != State::Reached)
    }

    /// Whether this VM may be cut off from any service.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        let mut services = self.services.values();
        services.any(|reach| reach.state != State::Reached)
    }

    /// Returns the services that this VM is cut off from.
    #[must_use]
    pub fn cut_off(&self) -> Vec<ServiceName> {
        let services = self.services.iter();
        let cut_off = services.filter(|(_, reach)| matches!(reach.state, State::CutOff { .. }));
        cut_off.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the services that this VM is cut off from and whose servers must be tried again.
    pub fn take_due_probes(&mut self, now: Moment) -> Vec<ServiceName> {
        let mut due = Vec::new();
        for (service, reach) in &mut self.services {
            if let State::CutOff { probed_at } = &mut reach.state
                && now.since(*probed_at) >= PROBE_INTERVAL
            {
                *probed_at = now;
                due.push(service.clone());
            }
        }
        due
    }
}
