//! What VMs tell each other of VMs, backend servers and placements.

use std::net::SocketAddr;
use std::time::Duration;

use merlinrudder_core::directory::{ServerRecord, ServerStage};
use merlinrudder_core::engine_placement::loads::PlacedPrompt;
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::time::Moment;
use serde::{Deserialize, Serialize};

use crate::units::millis;

/// A VM, as it introduces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePeer {
    /// Its name.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it accepts links.
    pub address: SocketAddr,
    /// Whether it is a control VM.
    pub control: bool,
}

impl WirePeer {
    /// Returns the VM's name.
    #[must_use]
    pub fn vm_id(&self) -> VmId {
        VmId::from(self.vm.as_str())
    }
}

/// A backend server and the age of what is told of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireServer {
    id: String,
    born: u64,
    sequence: u64,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    stage: WireStage,
    age_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum WireStage {
    Ready,
    Draining,
    Gone,
}

impl WireServer {
    /// Makes the wire form of a record that was true at `heard`.
    #[must_use]
    pub fn new(now: Moment, heard: Moment, record: &ServerRecord) -> Self {
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
            age_ms: millis(now.since(heard)),
        }
    }

    /// Returns when the record was true, on the receiver's clock.
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

/// Changes of an entry VM's placements.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePlacements {
    /// Whether placements that are not named have ended.
    pub is_snapshot: bool,
    /// The changes in order.
    pub changes: Vec<WirePlacementChange>,
}

/// A change of one placement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WirePlacementChange {
    /// It was made.
    Made(WirePlacement),
    /// Its first event came.
    FirstEvent(u64),
    /// It ended.
    Ended(u64),
    /// A backend server failed a request.
    ServerFailed(String),
}

/// A placement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePlacement {
    /// Its number at the entry VM.
    pub number: u64,
    service: String,
    lead: String,
    helpers: Vec<String>,
    held: u64,
    prompt: u64,
    answer: u64,
    waited_ms: u64,
    objective_ms: u64,
    pause_ms: u64,
}

impl WirePlacement {
    /// Makes the wire form of a placement.
    #[must_use]
    pub fn new(now: Moment, number: u64, service: &ServiceName, placed: &PlacedPrompt) -> Self {
        Self {
            number,
            service: service.to_string(),
            lead: placed.lead.to_string(),
            helpers: placed.helpers.iter().map(ToString::to_string).collect(),
            held: placed.helper_tokens,
            prompt: placed.prompt_tokens,
            answer: placed.answer_tokens,
            waited_ms: millis(now.since(placed.asked)),
            objective_ms: millis(placed.ttft_objective),
            pause_ms: millis(placed.pause_objective),
        }
    }

    /// Returns the service and the placement on the receiver's clock.
    #[must_use]
    pub fn into_core(self, now: Moment) -> (ServiceName, PlacedPrompt) {
        let placed = PlacedPrompt {
            lead: ServerId::from(self.lead),
            helpers: self.helpers.into_iter().map(ServerId::from).collect(),
            helper_tokens: self.held,
            prompt_tokens: self.prompt,
            answer_tokens: self.answer,
            asked: now - Duration::from_millis(self.waited_ms),
            ttft_objective: Duration::from_millis(self.objective_ms),
            pause_objective: Duration::from_millis(self.pause_ms),
        };
        (ServiceName::from(self.service), placed)
    }
}
