//! The limits that servers have named, in the order in which their answers were heard.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::lending::Shard;
use crate::directory::Incarnation;
use crate::names::ServerId;
use crate::time::Moment;

/// Slack in the order of two answers that reached different VMs; the lower limit holds within it.
const ORDER_SLACK: Duration = Duration::from_millis(250);
/// Time for which the end of a limit is remembered, so that late news do not bring it back.
const LIFTED_RETENTION: Duration = Duration::from_secs(10);
/// Lowest rate at which permits are granted, in requests a second.
///
/// Without any request, nobody would find out that a limit of nearly 0 has ended.
const TRIAL_RATE: f64 = 0.2;
/// Rate from which on a limit means nothing, in requests a second.
const UNLIMITED_RATE: f64 = 1e6;

/// Requests a second, from 0 up; finite.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate from requests a second; `None` if it is negative or no finite number.
    #[must_use]
    pub fn new(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    /// Returns the rate at which permits are granted: at least that of trials.
    #[must_use]
    pub(super) fn for_grants(self) -> f64 {
        self.0.max(TRIAL_RATE)
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}

/// What one answer of a server says of its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Lifetime of the server that answered.
    pub incarnation: Incarnation,
    /// The limit that it names; `None` if it names none.
    pub rate: Option<Rate>,
    /// When the request was sent.
    pub requested_at: Moment,
    /// When the head of the answer arrived.
    pub heard_at: Moment,
}

/// Effect of an observation on what is known of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// Nothing changed.
    None,
    /// The server has a limit now, and had none before.
    Named,
    /// Its limit is another one than before.
    Rate,
    /// It has no limit any more.
    Lifted,
}

impl LimitChange {
    /// Whether the server was without a limit before or is now.
    #[must_use]
    pub const fn is_switch(self) -> bool {
        matches!(self, Self::Named | Self::Lifted)
    }
}

#[derive(Clone, Debug)]
struct KnownLimit {
    /// The newest observation that counted.
    newest: Observation,
    /// When the server began to name a limit, as far as known.
    named_at: Moment,
}

/// The newest limit of each server that has named one.
#[derive(Debug, Default)]
pub struct LimitTable {
    servers: BTreeMap<ServerId, KnownLimit>,
}

impl LimitTable {
    /// Merges an observation of this or another VM.
    ///
    /// A lower limit counts at once. A higher one counts if it was heard later than the slack, and
    /// the end of a limit also only if the request was sent after the limit had been named.
    pub fn merge(&mut self, observation: &Observation) -> LimitChange {
        let observation = &without_meaningless(observation);
        let server = &observation.incarnation.server;
        let born = observation.incarnation.born;
        let known = self.servers.get_mut(server);
        let Some(known) = known.filter(|known| known.newest.incarnation.born >= born) else {
            return self.insert(observation);
        };
        if known.newest.incarnation.born > born {
            return LimitChange::None;
        }
        match (known.newest.rate, observation.rate) {
            (None, None) => {
                known.newest.heard_at = known.newest.heard_at.max(observation.heard_at);
                LimitChange::None
            }
            (None, Some(_)) if observation.heard_at > known.newest.heard_at => {
                self.insert(observation)
            }
            (None, Some(_)) => LimitChange::None,
            (Some(_), None) => known.lift(observation),
            (Some(before), Some(after)) => known.change(before, after, observation),
        }
    }

    fn insert(&mut self, observation: &Observation) -> LimitChange {
        let server = &observation.incarnation.server;
        let known = KnownLimit {
            newest: observation.clone(),
            named_at: observation.heard_at,
        };
        if observation.rate.is_some() {
            self.servers.insert(server.clone(), known);
            return LimitChange::Named;
        }
        let earlier = self.servers.remove(server);
        let was_limited = earlier.is_some_and(|earlier| earlier.newest.rate.is_some());
        if was_limited {
            LimitChange::Lifted
        } else {
            LimitChange::None
        }
    }

    /// Returns the limit of a server; `None` if it has none.
    #[must_use]
    pub fn rate(&self, server: &ServerId) -> Option<Rate> {
        self.servers.get(server)?.newest.rate
    }

    /// Returns the newest observation of a server with a limit.
    #[must_use]
    pub fn observation(&self, server: &ServerId) -> Option<Observation> {
        let known = self.servers.get(server)?;
        known.newest.rate.is_some().then(|| known.newest.clone())
    }

    /// Returns the newest observation of each server with a limit.
    #[must_use]
    pub fn named(&self) -> Vec<Observation> {
        let newest = self.servers.values().map(|known| &known.newest);
        newest
            .filter(|newest| newest.rate.is_some())
            .cloned()
            .collect()
    }

    /// Returns the shards of all servers with limits.
    #[must_use]
    pub fn shards(&self) -> BTreeSet<Shard> {
        let named = self
            .servers
            .iter()
            .filter(|(_, known)| known.newest.rate.is_some());
        named.map(|(server, _)| Shard::of(server)).collect()
    }

    /// Whether nothing is known of any server's limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Forgets all about a server.
    pub fn forget(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Forgets limits that ended long ago.
    pub fn expire(&mut self, now: Moment) {
        self.servers.retain(|_, known| {
            known.newest.rate.is_some() || now.since(known.newest.heard_at) < LIFTED_RETENTION
        });
    }
}

impl KnownLimit {
    fn lift(&mut self, observation: &Observation) -> LimitChange {
        let is_newer = observation.heard_at > self.newest.heard_at + ORDER_SLACK;
        if !is_newer || observation.requested_at <= self.named_at {
            return LimitChange::None;
        }
        self.newest = observation.clone();
        LimitChange::Lifted
    }

    fn change(&mut self, before: Rate, after: Rate, observation: &Observation) -> LimitChange {
        let heard_at = observation.heard_at;
        let counts = if after > before {
            heard_at > self.newest.heard_at + ORDER_SLACK
        } else {
            heard_at + ORDER_SLACK >= self.newest.heard_at
        };
        if !counts {
            return LimitChange::None;
        }
        let newest_at = heard_at.max(self.newest.heard_at);
        self.newest = observation.clone();
        self.newest.heard_at = newest_at;
        if after == before {
            LimitChange::None
        } else {
            LimitChange::Rate
        }
    }
}

/// Returns the observation without a limit that no server could ever reach.
fn without_meaningless(observation: &Observation) -> Observation {
    let mut observation = observation.clone();
    observation.rate = observation
        .rate
        .filter(|rate| f64::from(*rate) < UNLIMITED_RATE);
    observation
}
