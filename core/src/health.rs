//! What an entry VM has seen of the backend servers it sent requests to.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::ServerId;
use crate::time::{Moment, duration_millis};

/// First time for which a server that cannot be reached gets no work; it doubles each time.
const FIRST_SUSPENSION: Duration = Duration::from_millis(300);
/// Longest time for which a server that cannot be reached gets no work.
const MAX_SUSPENSION: Duration = Duration::from_secs(4);
/// Time for which a server that had no room gets no work.
const FULL_SUSPENSION: Duration = Duration::from_millis(80);
/// Time for which a server that could not be reached speaks against its availability zone.
const ZONE_MEMORY: Duration = Duration::from_millis(2500);
/// Weight of the last result in a server's share of failures.
const LAST_WEIGHT: f64 = 0.25;
/// Time in which a share of failures falls by half without further results.
const HALF_LIFE_MILLIS: f64 = 4_000.0;

/// How a server served a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerOutcome {
    /// It answered as it should.
    Succeeded,
    /// It failed the request, or answered nothing.
    Failed,
    /// It had no room.
    Full,
    /// No connection could be made.
    Unreachable,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Share of the last requests that failed; 0 to 1.
    failing: f64,
    updated: Moment,
    /// Times in a row that it could not be reached.
    unreachable: u32,
    suspended: Option<Moment>,
}

impl Seen {
    fn failing(&self, now: Moment) -> f64 {
        let millis = u32::try_from(duration_millis(now.since(self.updated))).unwrap_or(u32::MAX);
        self.failing * 0.5_f64.powf(f64::from(millis) / HALF_LIFE_MILLIS)
    }
}

/// What is known of all servers.
#[derive(Debug, Default)]
pub struct HealthTable {
    servers: BTreeMap<ServerId, Seen>,
}

impl HealthTable {
    /// Takes in how a server served a request.
    pub fn note(&mut self, now: Moment, server: &ServerId, result: ServerOutcome) {
        let seen = self.servers.entry(server.clone()).or_default();
        let failing = seen.failing(now);
        seen.updated = now;
        let last = match result {
            ServerOutcome::Succeeded | ServerOutcome::Full => 0.0,
            ServerOutcome::Failed | ServerOutcome::Unreachable => 1.0,
        };
        seen.failing = failing + (last - failing) * LAST_WEIGHT;
        match result {
            ServerOutcome::Succeeded => {
                seen.unreachable = 0;
                seen.suspended = None;
            }
            ServerOutcome::Failed => {}
            ServerOutcome::Full => seen.suspended = Some(now + FULL_SUSPENSION),
            ServerOutcome::Unreachable => {
                let doubled = FIRST_SUSPENSION.saturating_mul(1 << seen.unreachable.min(8));
                seen.unreachable += 1;
                seen.suspended = Some(now + doubled.min(MAX_SUSPENSION));
            }
        }
    }

    /// Returns the share of the last requests that failed, fading with time.
    #[must_use]
    pub fn failing(&self, now: Moment, server: &ServerId) -> f64 {
        self.servers
            .get(server)
            .map_or(0.0, |seen| seen.failing(now))
    }

    /// Whether a server gets no work for the moment.
    #[must_use]
    pub fn is_suspended(&self, now: Moment, server: &ServerId) -> bool {
        let suspended = self.servers.get(server).and_then(|seen| seen.suspended);
        suspended.is_some_and(|until| now < until)
    }

    /// Whether a server could not be reached of late, and was not reached since.
    #[must_use]
    pub fn is_unreachable(&self, now: Moment, server: &ServerId) -> bool {
        let seen = self.servers.get(server);
        seen.is_some_and(|seen| seen.unreachable > 0 && now.since(seen.updated) < ZONE_MEMORY)
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }
}
