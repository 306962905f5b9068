//! Membership messages on the wire.

use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::membership::message::{Health, MembershipMessage, Note, Rumor};
use merlinrudder_core::names::VmId;
use serde::{Deserialize, Serialize};

/// A membership message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireMembership {
    note: WireNote,
    rumors: Vec<WireRumor>,
    manifest: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum WireNote {
    Ping(u64),
    Ack(u64),
    ProbeFor(String, u64),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireRumor {
    vm: String,
    incarnation: u64,
    health: WireHealth,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
enum WireHealth {
    Alive,
    Leaving,
    Suspect,
    Dead,
}

impl From<MembershipMessage> for WireMembership {
    fn from(message: MembershipMessage) -> Self {
        let note = match message.note {
            Note::Ping { sequence } => WireNote::Ping(sequence),
            Note::Ack { sequence } => WireNote::Ack(sequence),
            Note::ProbeFor { target, sequence } => WireNote::ProbeFor(target.to_string(), sequence),
        };
        let rumors = message.rumors.into_iter().map(WireRumor::from).collect();
        Self {
            note,
            rumors,
            manifest: message.manifest.0,
        }
    }
}

impl From<WireMembership> for MembershipMessage {
    fn from(wire: WireMembership) -> Self {
        let note = match wire.note {
            WireNote::Ping(sequence) => Note::Ping { sequence },
            WireNote::Ack(sequence) => Note::Ack { sequence },
            WireNote::ProbeFor(target, sequence) => Note::ProbeFor {
                target: VmId::from(target),
                sequence,
            },
        };
        let rumors = wire.rumors.into_iter().map(Rumor::from).collect();
        Self {
            note,
            rumors,
            manifest: ManifestNumber(wire.manifest),
        }
    }
}

impl From<Rumor> for WireRumor {
    fn from(rumor: Rumor) -> Self {
        let health = match rumor.health {
            Health::Alive => WireHealth::Alive,
            Health::Leaving => WireHealth::Leaving,
            Health::Suspect => WireHealth::Suspect,
            Health::Dead => WireHealth::Dead,
        };
        Self {
            vm: rumor.vm.to_string(),
            incarnation: rumor.incarnation,
            health,
        }
    }
}

impl From<WireRumor> for Rumor {
    fn from(wire: WireRumor) -> Self {
        let health = match wire.health {
            WireHealth::Alive => Health::Alive,
            WireHealth::Leaving => Health::Leaving,
            WireHealth::Suspect => Health::Suspect,
            WireHealth::Dead => Health::Dead,
        };
        Self {
            vm: VmId::from(wire.vm),
            incarnation: wire.incarnation,
            health,
        }
    }
}
