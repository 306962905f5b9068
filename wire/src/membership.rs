//! Messages of the failure detector, with piggybacked gossip.

use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::membership::message::{
    Health, MemberUpdate, MembershipBody, MembershipMessage,
};
use merlinrudder_core::names::VmId;
use serde::{Deserialize, Serialize};

/// Ping, acknowledgement or ping request, with gossip updates of VM health.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireMembership {
    body: WireMembershipBody,
    updates: Vec<WireMemberUpdate>,
    /// Number of the manifest in force at the sender.
    manifest: u64,
}

/// Variants of `MembershipBody`; a number is the sequence number of a probe.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum WireMembershipBody {
    Ping(u64),
    Ack(u64),
    PingRequest(String, u64),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireMemberUpdate {
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
        let body = match message.body {
            MembershipBody::Ping { sequence } => WireMembershipBody::Ping(sequence),
            MembershipBody::Ack { sequence } => WireMembershipBody::Ack(sequence),
            MembershipBody::PingRequest { target, sequence } => {
                WireMembershipBody::PingRequest(target.to_string(), sequence)
            }
        };
        let updates = message
            .updates
            .into_iter()
            .map(WireMemberUpdate::from)
            .collect();
        Self {
            body,
            updates,
            manifest: message.manifest.0,
        }
    }
}

impl From<WireMembership> for MembershipMessage {
    fn from(wire: WireMembership) -> Self {
        let body = match wire.body {
            WireMembershipBody::Ping(sequence) => MembershipBody::Ping { sequence },
            WireMembershipBody::Ack(sequence) => MembershipBody::Ack { sequence },
            WireMembershipBody::PingRequest(target, sequence) => MembershipBody::PingRequest {
                target: VmId::from(target),
                sequence,
            },
        };
        let updates = wire.updates.into_iter().map(MemberUpdate::from).collect();
        Self {
            body,
            updates,
            manifest: ManifestNumber(wire.manifest),
        }
    }
}

impl From<MemberUpdate> for WireMemberUpdate {
    fn from(update: MemberUpdate) -> Self {
        let health = match update.health {
            Health::Alive => WireHealth::Alive,
            Health::Leaving => WireHealth::Leaving,
            Health::Suspect => WireHealth::Suspect,
            Health::Dead => WireHealth::Dead,
        };
        Self {
            vm: update.vm.to_string(),
            incarnation: update.incarnation,
            health,
        }
    }
}

impl From<WireMemberUpdate> for MemberUpdate {
    fn from(wire: WireMemberUpdate) -> Self {
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
