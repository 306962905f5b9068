//! Messages by which entry VMs keep the request rates of backend servers together.
//!
//! Points in time are sent as ages, except stamps, which only the VM that made them reads.

use std::time::Duration;

use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::rate_limit::bucket::Turn;
use merlinrudder_core::rate_limit::lending::{Loan, Shard, Stamp};
use merlinrudder_core::rate_limit::limits::{Observation, Rate};
use merlinrudder_core::rate_limit::message::RateMessage;
use merlinrudder_core::time::Moment;
use serde::{Deserialize, Serialize};

use crate::common::millis;

/// Message about the limits of backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WireRateMessage {
    /// What an answer said of a server's limit.
    Limit(WireObservation),
    /// Lends or renews a share.
    Lend {
        /// Number of the shard.
        shard: u8,
        /// Newest stamp of the receiver; `None` to ask for one.
        stamp: Option<WireStamp>,
    },
    /// Confirms a loan.
    Lent {
        /// Number of the shard.
        shard: u8,
        /// Stamp that the next renewal repeats.
        stamp: WireStamp,
    },
    /// Asks for a permit.
    Ask(WireObservation),
    /// Answer to `Ask`.
    Turn {
        /// Id of the server.
        server: String,
        /// Start of its lifetime, in Unix milliseconds by its clock.
        born: u64,
        /// Whether one request may be sent.
        granted: bool,
        /// Time until it may be sent, or until asking again makes sense.
        wait_ms: u64,
    },
}

/// What one answer of a server said of its limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireObservation {
    server: String,
    /// Start of the server's lifetime, in Unix milliseconds by its clock.
    born: u64,
    /// Requests a second; `None` if the answer named no limit.
    rate: Option<f64>,
    /// Time since the request was sent.
    requested_ms: u64,
    /// Time since the answer arrived.
    heard_ms: u64,
}

/// Point on the clock of the process that made it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireStamp {
    epoch: u64,
    made_at_ms: u64,
}

impl WireRateMessage {
    /// Creates the wire form of a message.
    #[must_use]
    pub fn new(now: Moment, message: &RateMessage) -> Self {
        match message {
            RateMessage::Limit(observation) => Self::Limit(WireObservation::new(now, observation)),
            RateMessage::Lend(loan) => Self::Lend {
                shard: loan.shard.number(),
                stamp: loan.stamp.map(WireStamp::from),
            },
            RateMessage::Lent(stamp) => Self::Lent {
                shard: stamp.shard.number(),
                stamp: WireStamp::from(*stamp),
            },
            RateMessage::Ask(observation) => Self::Ask(WireObservation::new(now, observation)),
            RateMessage::Turn { incarnation, turn } => {
                let (granted, wait) = match turn {
                    Turn::GrantedAfter(wait) => (true, wait),
                    Turn::RefusedFor(wait) => (false, wait),
                };
                Self::Turn {
                    server: incarnation.server.to_string(),
                    born: incarnation.born,
                    granted,
                    wait_ms: millis(*wait),
                }
            }
        }
    }

    /// Converts to the core's message, on the receiver's clock.
    #[must_use]
    pub fn into_core(self, now: Moment) -> RateMessage {
        match self {
            Self::Limit(wire) => RateMessage::Limit(wire.into_core(now)),
            Self::Lend { shard, stamp } => {
                let shard = Shard::from_number(shard);
                let stamp = stamp.map(|stamp| stamp.into_core(shard));
                RateMessage::Lend(Loan { shard, stamp })
            }
            Self::Lent { shard, stamp } => {
                RateMessage::Lent(stamp.into_core(Shard::from_number(shard)))
            }
            Self::Ask(wire) => RateMessage::Ask(wire.into_core(now)),
            Self::Turn {
                server,
                born,
                granted,
                wait_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                let server = ServerId::from(server);
                RateMessage::Turn {
                    incarnation: Incarnation { server, born },
                    turn: if granted {
                        Turn::GrantedAfter(wait)
                    } else {
                        Turn::RefusedFor(wait)
                    },
                }
            }
        }
    }
}

impl WireObservation {
    fn new(now: Moment, observation: &Observation) -> Self {
        Self {
            server: observation.incarnation.server.to_string(),
            born: observation.incarnation.born,
            rate: observation.rate.map(f64::from),
            requested_ms: millis(now.since(observation.requested_at)),
            heard_ms: millis(now.since(observation.heard_at)),
        }
    }

    /// A rate that is no number counts as 0, as the server asked for less than it got.
    fn into_core(self, now: Moment) -> Observation {
        let rate = self.rate.map(|rate| Rate::new(rate).unwrap_or_default());
        Observation {
            incarnation: Incarnation {
                server: ServerId::from(self.server),
                born: self.born,
            },
            rate,
            requested_at: now - Duration::from_millis(self.requested_ms),
            heard_at: now - Duration::from_millis(self.heard_ms),
        }
    }
}

impl WireStamp {
    fn into_core(self, shard: Shard) -> Stamp {
        Stamp {
            shard,
            epoch: self.epoch,
            made_at: Moment::from_millis(self.made_at_ms),
        }
    }
}

impl From<Stamp> for WireStamp {
    fn from(stamp: Stamp) -> Self {
        Self {
            epoch: stamp.epoch,
            made_at_ms: stamp.made_at.as_millis(),
        }
    }
}
