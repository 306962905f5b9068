//! Token buckets from which a coordinator grants permits.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::engine_model::as_float;
use crate::names::{ServerId, VmId};
use crate::rendezvous::stable_hash;
use crate::time::Moment;

/// Permits that may be saved up.
const MAX_SAVED: f64 = 1.0;
/// Longest wait for which a permit is granted ahead of its time.
const MAX_TURN_WAIT: Duration = Duration::from_secs(1);
/// Shortest time for which a VM is refused.
const MIN_REFUSAL: Duration = Duration::from_millis(100);
/// Longest time for which a VM is refused.
const MAX_REFUSAL: Duration = Duration::from_secs(5);
/// Time for which a VM counts as an asker after it asked.
const ASKER_MEMORY: Duration = Duration::from_secs(5);
/// Requests for permits that may reach a coordinator for each permit that it has.
const ASKS_PER_PERMIT: f64 = 3.0;
/// Steps into which the random part of a refusal is divided.
const JITTER_STEPS: u64 = 1024;

/// A coordinator's answer to a VM that wants to send a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// One request may be sent after this time.
    GrantedAfter(Duration),
    /// None may be sent; asking again makes sense after this time.
    RefusedFor(Duration),
}

#[derive(Debug, Default)]
struct Bucket {
    /// Permits left at `updated`; negative where permits were granted ahead.
    permits: f64,
    updated: Moment,
    /// VMs that asked lately, and when.
    askers: BTreeMap<VmId, Moment>,
}

/// Buckets of all servers that a VM coordinates.
///
/// A bucket begins empty, so that a change of the coordinator grants nothing twice.
#[derive(Debug, Default)]
pub(super) struct Buckets {
    servers: BTreeMap<ServerId, Bucket>,
}

impl Buckets {
    /// Adds the permits that came in at `rate` a second since the last call.
    pub(super) fn refill(&mut self, now: Moment, server: &ServerId, rate: f64) {
        if let Some(bucket) = self.servers.get_mut(server) {
            bucket.refill(now, rate);
        }
    }

    /// Takes a permit for `asker`, or refuses it.
    pub(super) fn take(&mut self, now: Moment, server: &ServerId, rate: f64, asker: &VmId) -> Turn {
        let bucket = self
            .servers
            .entry(server.clone())
            .or_insert_with(|| Bucket {
                updated: now,
                ..Bucket::default()
            });
        bucket.refill(now, rate);
        bucket.askers.insert(asker.clone(), now);
        let wait = Duration::from_secs_f64(((1.0 - bucket.permits) / rate).clamp(0.0, 1e6));
        if wait <= MAX_TURN_WAIT {
            bucket.permits -= 1.0;
            return Turn::GrantedAfter(wait);
        }
        Turn::RefusedFor(bucket.refusal(now, rate, asker))
    }

    pub(super) fn forget(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }
}

impl Bucket {
    fn refill(&mut self, now: Moment, rate: f64) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.permits = (self.permits + elapsed * rate).min(MAX_SAVED);
        self.updated = now;
    }

    /// Returns how long an asker is refused; the more VMs ask, the longer.
    fn refusal(&mut self, now: Moment, rate: f64, asker: &VmId) -> Duration {
        self.askers
            .retain(|_, asked_at| now.since(*asked_at) < ASKER_MEMORY);
        let turns = as_float(self.askers.len() as u64) / (rate * ASKS_PER_PERMIT);
        let seed = now.as_millis().to_le_bytes();
        let jitter = stable_hash(&[asker.as_str().as_bytes(), &seed]) % JITTER_STEPS;
        let jitter = 0.5 + as_float(jitter) / as_float(JITTER_STEPS);
        let wait = Duration::from_secs_f64((turns * jitter).min(MAX_REFUSAL.as_secs_f64()));
        wait.max(MIN_REFUSAL)
    }
}
