//! Records of backend servers, and how much longer they are cold.

use std::net::SocketAddr;
use std::time::Duration;

use merlinrudder_core::cold::reports::ColdReport;
use merlinrudder_core::directory::{ServerRecord, ServerStage};
use merlinrudder_core::names::{ServerId, ServiceName, ZoneName};
use merlinrudder_core::time::Moment;
use serde::{Deserialize, Serialize};

use crate::common::millis;

/// Record of a backend server and its age.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireServer {
    id: String,
    /// Start of the incarnation, in Unix milliseconds by the server's clock.
    born: u64,
    sequence: u64,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    stage: WireStage,
    /// Time since the record was last known to be true, in milliseconds.
    age_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum WireStage {
    Ready,
    Draining,
    Gone,
}

impl WireServer {
    /// Creates the wire form of a record last known to be true at `heard_at`.
    #[must_use]
    pub fn new(now: Moment, heard_at: Moment, record: &ServerRecord) -> Self {
        Self {
            id: record.id.to_string(),
            born: record.born,
            sequence: record.sequence,
            service: record.service.to_string(),
            address: record.address,
            zone: record.zone.to_string(),
            slots: record.slots,
            stage: match record.stage {
                ServerStage::Ready => WireStage::Ready,
                ServerStage::Draining => WireStage::Draining,
                ServerStage::Gone => WireStage::Gone,
            },
            age_ms: millis(now.since(heard_at)),
        }
    }

    /// Returns when the record was last known to be true, on the receiver's clock.
    #[must_use]
    pub fn heard_at(&self, now: Moment) -> Moment {
        now - Duration::from_millis(self.age_ms)
    }
}

impl From<WireServer> for ServerRecord {
    fn from(wire: WireServer) -> Self {
        Self {
            id: ServerId::from(wire.id),
            born: wire.born,
            sequence: wire.sequence,
            service: ServiceName::from(wire.service),
            address: wire.address,
            zone: ZoneName::from(wire.zone),
            slots: wire.slots,
            stage: match wire.stage {
                WireStage::Ready => ServerStage::Ready,
                WireStage::Draining => ServerStage::Draining,
                WireStage::Gone => ServerStage::Gone,
            },
        }
    }
}

/// How much longer a backend server is cold, as its newest heartbeat says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireColdServer {
    id: String,
    /// Start of the incarnation, in Unix milliseconds by the server's clock.
    born: u64,
    /// Sequence number of the heartbeat.
    sequence: u64,
    /// Time left when the message is sent, in milliseconds; 0 if the server is warm.
    left_ms: u64,
}

impl From<ColdReport> for WireColdServer {
    fn from(report: ColdReport) -> Self {
        Self {
            id: report.server.to_string(),
            born: report.born,
            sequence: report.sequence,
            left_ms: millis(report.left),
        }
    }
}

impl From<WireColdServer> for ColdReport {
    fn from(wire: WireColdServer) -> Self {
        Self {
            server: ServerId::from(wire.id),
            born: wire.born,
            sequence: wire.sequence,
            left: Duration::from_millis(wire.left_ms),
        }
    }
}
