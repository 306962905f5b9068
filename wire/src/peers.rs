//! Descriptions of VMs, backend servers and placements that VMs exchange.
//!
//! Points in time are sent as ages and converted to the receiver's clock.

use std::net::SocketAddr;
use std::time::Duration;

use merlinrudder_core::cold::reports::ColdReport;
use merlinrudder_core::directory::{ServerRecord, ServerStage};
use merlinrudder_core::engine_placement::loads::PlacedPrompt;
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::time::Moment;
use serde::{Deserialize, Serialize};

use crate::common::millis;

/// Description of a VM, as the VM sends it when a link opens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePeer {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address on which the VM accepts links from other VMs.
    pub address: SocketAddr,
    /// Whether it is a control VM, which runs a replica of the control log.
    pub control: bool,
}

impl WirePeer {
    /// Returns the name of the VM as an id.
    #[must_use]
    pub fn vm_id(&self) -> VmId {
        VmId::from(self.vm.as_str())
    }
}

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

/// Changes of an entry VM's placements on engines.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePlacements {
    /// Whether all active placements are listed, so that any others have ended.
    pub is_snapshot: bool,
    /// Changes in the order in which they occurred.
    pub changes: Vec<WirePlacementChange>,
}

/// Change of one placement, or failure of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WirePlacementChange {
    /// A prompt was placed.
    Made(WirePlacement),
    /// The first event of the answer arrived; holds the placement's number.
    FirstEvent(u64),
    /// The placement ended; holds its number.
    Ended(u64),
    /// A backend server failed a request; holds the server's id.
    ServerFailed(String),
}

/// Placement of a prompt on a lead engine and its helpers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePlacement {
    /// Sequence number of the placement at the entry VM.
    pub number: u64,
    service: String,
    lead: String,
    helpers: Vec<String>,
    /// KV cache tokens reserved per helper; 0 if the lead holds the whole prompt.
    helper_tokens: u64,
    prompt_tokens: u64,
    answer_tokens: u64,
    /// Time since the caller sent the request.
    waited_ms: u64,
    /// Objective for the time to first token, counted from the caller's request.
    ttft_ms: u64,
    /// Objective for the longest pause between two events of the answer.
    pause_ms: u64,
}

impl WirePlacement {
    /// Creates the wire form of placement `number` at this entry VM.
    #[must_use]
    pub fn new(now: Moment, number: u64, service: &ServiceName, placed: &PlacedPrompt) -> Self {
        Self {
            number,
            service: service.to_string(),
            lead: placed.lead.to_string(),
            helpers: placed.helpers.iter().map(ToString::to_string).collect(),
            helper_tokens: placed.helper_tokens,
            prompt_tokens: placed.prompt_tokens,
            answer_tokens: placed.answer_tokens,
            waited_ms: millis(now.since(placed.received_at)),
            ttft_ms: millis(placed.ttft_objective),
            pause_ms: millis(placed.pause_objective),
        }
    }

    /// Converts to the service and the core's placement, on the receiver's clock.
    ///
    /// The weight of the prompt is not sent, and is 1.
    #[must_use]
    pub fn into_core(self, now: Moment) -> (ServiceName, PlacedPrompt) {
        let placed = PlacedPrompt {
            lead: ServerId::from(self.lead),
            helpers: self.helpers.into_iter().map(ServerId::from).collect(),
            helper_tokens: self.helper_tokens,
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            received_at: now - Duration::from_millis(self.waited_ms),
            ttft_objective: Duration::from_millis(self.ttft_ms),
            pause_objective: Duration::from_millis(self.pause_ms),
            weight: 1.0,
        };
        (ServiceName::from(self.service), placed)
    }
}
