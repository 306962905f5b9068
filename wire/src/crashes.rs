//! Reports of requests that ended with their backend servers.
//!
//! Between VMs points in time are sent as ages and converted to the receiver's clock. The control log
//! holds them in milliseconds of the leader's wall clock.

use std::time::Duration;

use merlinrudder_core::crash_history::{CrashReport, CrashedRun};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use serde::{Deserialize, Serialize};

use crate::common::millis;

/// Report of a crashed run, with ages instead of points in time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireCrashReport(WireCrashedRun);

impl WireCrashReport {
    /// Creates the wire form of a report.
    #[must_use]
    pub fn new(now: Moment, report: &CrashReport) -> Self {
        let mut wire = WireCrashedRun::from(report.clone());
        wire.started_ms = millis(now.since(report.run.started));
        wire.ended_ms = millis(now.since(report.run.ended));
        Self(wire)
    }

    /// Converts to the core's report, on the receiver's clock.
    #[must_use]
    pub fn into_core(self, now: Moment) -> CrashReport {
        let (started, ended) = (self.0.started_ms, self.0.ended_ms);
        let mut report = CrashReport::from(self.0);
        report.run.started = now - Duration::from_millis(started);
        report.run.ended = now - Duration::from_millis(ended);
        report
    }
}

/// A crashed run with its content and server, as the control log holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WireCrashedRun {
    /// SHA-256 digest of the request's content.
    content: [u8; 32],
    server: String,
    /// Start of the server's lifetime, in Unix milliseconds by its clock.
    born: u64,
    started_ms: u64,
    ended_ms: u64,
    /// Number of servers that the reporting VM knew.
    servers: u32,
    cleared: bool,
}

impl From<CrashReport> for WireCrashedRun {
    fn from(report: CrashReport) -> Self {
        Self {
            content: report.content.0,
            server: report.incarnation.server.to_string(),
            born: report.incarnation.born,
            started_ms: report.run.started.as_millis(),
            ended_ms: report.run.ended.as_millis(),
            servers: report.run.servers,
            cleared: report.run.cleared,
        }
    }
}

impl From<WireCrashedRun> for CrashReport {
    fn from(wire: WireCrashedRun) -> Self {
        Self {
            content: ContentDigest(wire.content),
            incarnation: Incarnation {
                server: ServerId::from(wire.server),
                born: wire.born,
            },
            run: CrashedRun {
                started: Moment::from_millis(wire.started_ms),
                ended: Moment::from_millis(wire.ended_ms),
                servers: wire.servers,
                cleared: wire.cleared,
            },
        }
    }
}
