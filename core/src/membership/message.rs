//! Messages of the failure detector and the gossip that they piggyback.

use crate::manifest::ManifestNumber;
use crate::names::VmId;

/// Health of a VM, as seen by the failure detector.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Answers probes and takes new work.
    Alive,
    /// Answers probes but is shutting down; takes no new work.
    Leaving,
    /// Did not acknowledge a probe and has not refuted the suspicion yet.
    Suspect,
    /// Did not refute a suspicion in time, or was never in contact.
    Dead,
}

impl Health {
    /// Returns the precedence among updates of one incarnation; the highest wins.
    #[must_use]
    pub const fn rank(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Leaving => 1,
            Self::Suspect => 2,
            Self::Dead => 3,
        }
    }

    /// Returns the lowercase name used in status reports and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
        }
    }
}

/// Gossip update: the health of one VM at one incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    /// VM that the update is about.
    pub vm: VmId,
    /// Incarnation of that VM; an update with a higher one replaces this update.
    pub incarnation: u64,
    /// Health of that VM.
    pub health: Health,
}

/// Request or reply of a membership message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipBody {
    /// Asks the receiver for an `Ack`.
    Ping {
        /// Sequence number that the `Ack` repeats.
        sequence: u64,
    },
    /// Reply to a `Ping`, or to a `PingRequest` whose target replied.
    Ack {
        /// Sequence number of the `Ping` or `PingRequest`.
        sequence: u64,
    },
    /// Indirect probe: asks the receiver to ping another VM and relay its `Ack`.
    PingRequest {
        /// VM to ping.
        target: VmId,
        /// Sequence number that the relayed `Ack` repeats.
        sequence: u64,
    },
}

/// Membership message from one VM to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipMessage {
    /// Ping, acknowledgement or ping request.
    pub body: MembershipBody,
    /// Piggybacked gossip updates, the sender's own state among them.
    pub updates: Vec<MemberUpdate>,
    /// Number of the manifest in force at the sender.
    pub manifest: ManifestNumber,
}
