//! Passive health checks: server health derived from the outcomes of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::ServerId;
use crate::time::{Moment, duration_millis};

/// Suspension of a server after a first failed connection; it doubles with each further one.
const FIRST_SUSPENSION: Duration = Duration::from_millis(300);
/// Maximum suspension of an unreachable server.
const MAX_SUSPENSION: Duration = Duration::from_secs(4);
/// Suspension of a server that had no capacity left.
const FULL_SUSPENSION: Duration = Duration::from_millis(80);
/// Time for which a failed connection counts against the server's availability zone.
const UNREACHABLE_LIFETIME: Duration = Duration::from_millis(2500);
/// Weight of the newest outcome in the moving average of failures.
const NEWEST_WEIGHT: f64 = 0.25;
/// Half-life of a failure rate without further outcomes, in milliseconds.
const HALF_LIFE_MILLIS: f64 = 4_000.0;

/// Outcome of a request at a server, as far as it concerns the server's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerOutcome {
    /// The server answered correctly.
    Succeeded,
    /// The server failed the request or did not answer.
    Failed,
    /// The server rejected the request for lack of capacity.
    Full,
    /// No connection to the server could be established.
    Unreachable,
}

/// Recent outcomes at one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerHealth {
    /// Moving average of failures at `updated`, from 0 to 1.
    failure_rate: f64,
    updated: Moment,
    /// Consecutive failed connections.
    failed_connects: u32,
    /// End of the suspension; `None` if the server was never suspended or answered since.
    suspended_until: Option<Moment>,
}

impl ServerHealth {
    fn failure_rate(&self, now: Moment) -> f64 {
        let millis = u32::try_from(duration_millis(now.since(self.updated))).unwrap_or(u32::MAX);
        self.failure_rate * 0.5_f64.powf(f64::from(millis) / HALF_LIFE_MILLIS)
    }
}

/// Health of all servers with a recorded outcome.
#[derive(Debug, Default)]
pub struct HealthTable {
    servers: BTreeMap<ServerId, ServerHealth>,
}

impl HealthTable {
    /// Records the outcome of a request.
    ///
    /// A success ends a suspension; a full or unreachable server is suspended.
    pub fn record_outcome(&mut self, now: Moment, server: &ServerId, outcome: ServerOutcome) {
        let health = self.servers.entry(server.clone()).or_default();
        let failure_rate = health.failure_rate(now);
        health.updated = now;
        let sample = match outcome {
            ServerOutcome::Succeeded | ServerOutcome::Full => 0.0,
            ServerOutcome::Failed | ServerOutcome::Unreachable => 1.0,
        };
        health.failure_rate = failure_rate + (sample - failure_rate) * NEWEST_WEIGHT;
        match outcome {
            ServerOutcome::Succeeded => {
                health.failed_connects = 0;
                health.suspended_until = None;
            }
            ServerOutcome::Failed => {}
            ServerOutcome::Full => health.suspended_until = Some(now + FULL_SUSPENSION),
            ServerOutcome::Unreachable => {
                let suspension =
                    FIRST_SUSPENSION.saturating_mul(1 << health.failed_connects.min(8));
                health.failed_connects += 1;
                health.suspended_until = Some(now + suspension.min(MAX_SUSPENSION));
            }
        }
    }

    /// Returns the recent failure rate of a server, from 0 to 1; it decays with time.
    #[must_use]
    pub fn failure_rate(&self, now: Moment, server: &ServerId) -> f64 {
        self.servers
            .get(server)
            .map_or(0.0, |health| health.failure_rate(now))
    }

    /// Returns whether a server is suspended and gets no work.
    #[must_use]
    pub fn is_suspended(&self, now: Moment, server: &ServerId) -> bool {
        let suspended_until = self
            .servers
            .get(server)
            .and_then(|health| health.suspended_until);
        suspended_until.is_some_and(|until| now < until)
    }

    /// Returns whether connections to a server failed recently, without a success since.
    #[must_use]
    pub fn is_unreachable(&self, now: Moment, server: &ServerId) -> bool {
        let health = self.servers.get(server);
        health.is_some_and(|health| {
            health.failed_connects > 0 && now.since(health.updated) < UNREACHABLE_LIFETIME
        })
    }

    /// Discards the health of a server, such as after a restart.
    pub fn forget(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }
}
