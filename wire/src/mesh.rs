//! Messages between the VMs, and their frames.

use std::sync::Arc;

use merlinrudder_core::consensus::message::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::announce::WireAnnouncement;
use crate::consensus::{WireRaftMessage, WireReplica, core_voters, wire_voters};
use crate::control::{WireAnswer, WireCommand};
use crate::dispatch::{WireFromDispatcher, WireToDispatcher};
use crate::error::DecodeError;
use crate::membership::WireMembership;
use crate::peers::{WirePeer, WirePlacements, WireServer};

/// Version of the frames; VMs of another version are not understood.
pub const MESH_VERSION: u8 = 1;
/// Largest frame, in bytes; a snapshot of the control state is the largest message.
pub const MAX_FRAME_BYTES: usize = 512 * 1024 * 1024;

/// A message between two VMs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MeshMessage {
    /// Who is alive.
    Membership(WireMembership),
    /// The control log.
    Raft {
        /// Replica that sends.
        from: WireReplica,
        /// Replica that is meant.
        to: WireReplica,
        /// The message.
        message: WireRaftMessage,
    },
    /// A replica introduces itself to the listed replicas.
    Hello(WireHello),
    /// An entry VM to a dispatcher.
    ToDispatcher(WireToDispatcher),
    /// A dispatcher to an entry VM.
    FromDispatcher(WireFromDispatcher),
    /// An announcement on its way to the dispatchers of its zone.
    Announce(WireAnnouncement),
    /// A command for the control log.
    Propose {
        /// Number that the answer repeats.
        id: u64,
        /// The command.
        command: WireCommand,
    },
    /// Answer to a proposal.
    ProposeReply {
        /// Number of the proposal.
        id: u64,
        /// How it went.
        result: WireProposeResult,
    },
    /// Asks for the manifest in force.
    PullManifest {
        /// Number that the sender has.
        have: u64,
    },
    /// A manifest in force.
    Manifest {
        /// Its number; zero where the sender has none.
        number: u64,
        /// Its bytes.
        bytes: Arc<[u8]>,
        /// Whether a settled leader says that none newer was accepted before.
        current: bool,
    },
    /// A VM asks a control VM for verdicts after those it has.
    PullQuarantineList {
        /// How many verdicts the sender has.
        have: u64,
    },
    /// All verdicts in force.
    QuarantineList(Vec<[u8; 32]>),
    /// The first message of a link: who opened or accepted it.
    Handshake(WirePeer),
    /// VMs that the sender knows.
    Peers(Vec<WirePeer>),
    /// Backend servers that the sender heard of.
    Servers(Vec<WireServer>),
    /// What an entry VM placed.
    Placements(WirePlacements),
    /// A control VM tells which manifest is the newest that it knows.
    NewestManifest {
        /// Its number; zero where there is none.
        number: u64,
        /// Whether the sender is in touch with the leader.
        current: bool,
    },
    /// Asks the leader to confirm that it leads; answered like a proposal.
    ConfirmLeadership {
        /// Number that the answer repeats.
        id: u64,
    },
}

/// A replica's introduction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireHello {
    /// Who it is.
    replica: WireReplica,
    /// Voters that it knows; empty where its folder is.
    voters: Vec<WireReplica>,
    /// Whether an answer is wanted.
    pub wants_reply: bool,
}

/// How a proposal went.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WireProposeResult {
    /// It was committed, with this answer.
    Committed(WireAnswer),
    /// The receiver does not lead; `leader` does, as far as it knows.
    NotLeader {
        /// VM that leads.
        leader: Option<String>,
    },
}

impl WireHello {
    /// Makes an introduction.
    #[must_use]
    pub fn new(replica: ReplicaId, voters: Vec<ReplicaId>, wants_reply: bool) -> Self {
        Self {
            replica: replica.into(),
            voters: wire_voters(voters),
            wants_reply,
        }
    }

    /// Returns who introduces itself.
    #[must_use]
    pub fn replica(&self) -> ReplicaId {
        self.replica.clone().into()
    }

    /// Returns the voters that it knows.
    #[must_use]
    pub fn voters(&self) -> Vec<ReplicaId> {
        core_voters(self.voters.clone())
    }
}

/// Encodes a wire type.
///
/// # Panics
/// Panics where the type cannot be encoded, which no wire type of this package allows.
#[must_use]
pub fn encode<T: Serialize>(wire: &T) -> Vec<u8> {
    postcard::to_stdvec(wire).expect("wire types hold nothing that cannot be encoded")
}

/// Encodes a frame: the version and the message.
#[must_use]
pub fn encode_frame(message: &MeshMessage) -> Vec<u8> {
    let mut frame = vec![MESH_VERSION];
    frame.extend(encode(message));
    frame
}

/// Decodes a frame.
///
/// # Errors
/// Fails where the version is another one or the bytes are not a message.
pub fn decode_frame(frame: &[u8]) -> Result<MeshMessage, DecodeError> {
    let (version, bytes) = frame
        .split_first()
        .ok_or_else(|| DecodeError::new("the frame is empty"))?;
    if *version != MESH_VERSION {
        return Err(DecodeError::new(format!(
            "version {version} in place of {MESH_VERSION}"
        )));
    }
    Ok(postcard::from_bytes(bytes)?)
}
