//! What VMs tell each other about who is alive.

use crate::manifest::ManifestNumber;
use crate::names::VmId;

/// How a VM is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It answers and takes work.
    Alive,
    /// It answers but stops; it takes no new work.
    Leaving,
    /// It did not answer.
    Suspect,
    /// It did not answer for long, or was never heard.
    Dead,
}

impl Health {
    /// Among rumours of one incarnation the higher rank wins.
    #[must_use]
    pub const fn rank(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Leaving => 1,
            Self::Suspect => 2,
            Self::Dead => 3,
        }
    }

    /// Returns the word that status pages show.
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

/// News about one VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation that the news is about.
    pub incarnation: u64,
    /// How it is.
    pub health: Health,
}

/// What a message asks or answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipBody {
    /// Asks whether the receiver is alive.
    Ping {
        /// Number that the answer repeats.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        sequence: u64,
    },
    /// Asks the receiver to ping another VM.
    PingRequest {
        /// The other VM.
        target: VmId,
        /// Number that the answer repeats.
        sequence: u64,
    },
}

/// A message between two VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipMessage {
    /// What it asks or answers.
    pub body: MembershipBody,
    /// News that it carries along.
    pub updates: Vec<MemberUpdate>,
    /// Manifest in force at the sender.
    pub manifest: ManifestNumber,
}
