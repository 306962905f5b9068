//! Estimates of the capacity of backend servers, which entry VMs send to each other.
//!
//! Points in time are sent as ages.

use std::time::Duration;

use merlinrudder_core::capacity::{Estimate, Report};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use serde::{Deserialize, Serialize};

use crate::common::millis;

/// What the sending entry VM found of one lifetime of a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireCapacity {
    server: String,
    /// Start of the server's lifetime, in Unix milliseconds by its clock.
    born: u64,
    /// Time seen over time expected.
    pace: f64,
    /// How certain it is, from 0 to 1.
    weight: f64,
    /// Requests at the server when the sample was sent to it.
    busy: u32,
    /// Age of the sample.
    age_ms: u64,
}

impl WireCapacity {
    /// Creates the wire form of an estimate.
    #[must_use]
    pub fn new(now: Moment, report: &Report) -> Self {
        Self {
            server: report.server.server.to_string(),
            born: report.server.born,
            pace: report.estimate.pace,
            weight: report.estimate.weight,
            busy: report.estimate.busy,
            age_ms: millis(now.since(report.estimate.at)),
        }
    }

    /// Converts to the core's estimate, on the receiver's clock.
    ///
    /// Values without meaning are left to the core, which drops or bounds them.
    #[must_use]
    pub fn into_core(self, now: Moment) -> Report {
        Report {
            server: Incarnation {
                server: ServerId::from(self.server),
                born: self.born,
            },
            estimate: Estimate {
                pace: self.pace,
                weight: self.weight,
                busy: self.busy,
                at: now - Duration::from_millis(self.age_ms),
            },
        }
    }
}
