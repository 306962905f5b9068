//! Messages between VMs, and the frames that carry them.

use std::sync::Arc;

use merlinrudder_core::consensus::message::ReplicaId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::announce::WireAnnouncement;
use crate::capacities::WireCapacity;
use crate::compression::{MAX_DOCUMENT_BYTES, compress, expand};
use crate::consensus::{WireRaftMessage, WireReplica, voters_from_wire, voters_to_wire};
use crate::control::{WireAnswer, WireCommand};
use crate::crashes::WireCrashReport;
use crate::dispatch::{WireFromDispatcher, WireToDispatcher};
use crate::error::DecodeError;
use crate::evacuation::WireEvacuations;
use crate::manifest_update::WireManifestUpdate;
use crate::membership::WireMembership;
use crate::peers::{WireColdServer, WirePeer, WirePlacements, WireReceivedPrompt, WireServer};
use crate::rates::WireRateMessage;
use crate::relay::WireRelay;

/// Protocol version; frames with another version are rejected.
pub const MESH_VERSION: u8 = 1;
/// Version of a frame that holds another one, compressed.
const COMPRESSED_VERSION: u8 = 2;
/// Size from which a frame is compressed, in bytes; smaller ones cost more time than they save.
const MIN_COMPRESSED_BYTES: usize = 4096;
/// Maximum frame size; a snapshot of the control state is the largest message.
pub const MAX_FRAME_BYTES: usize = 512 * 1024 * 1024;
/// Value of `PullQuarantineList::have` of a VM that gets the crash history elsewhere.
pub const HISTORY_NOT_WANTED: u64 = u64::MAX;

/// Message from one VM to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MeshMessage {
    /// Failure detection and gossip.
    Membership(WireMembership),
    /// Raft message of the control log.
    Raft {
        /// Replica that sent the message.
        from: WireReplica,
        /// Replica that the message is for; a replica with another incarnation ignores it.
        to: WireReplica,
        /// Request or reply, with its term.
        message: WireRaftMessage,
    },
    /// Introduces a replica to the other VMs with a replica of the control log.
    Hello(WireHello),
    /// Message from an entry VM to a dispatcher.
    ToDispatcher(WireToDispatcher),
    /// Message from a dispatcher to an entry VM.
    FromDispatcher(WireFromDispatcher),
    /// Forwards a backend server's announcement to the dispatchers of its zone.
    Announce(WireAnnouncement),
    /// Asks the leader to append a command to the control log.
    Propose {
        /// Request id that the reply repeats.
        id: u64,
        /// Command to append.
        command: WireCommand,
    },
    /// Reply to `Propose` or `ConfirmLeadership`.
    ProposeReply {
        /// Request id from the message that this replies to.
        id: u64,
        /// Outcome of that message.
        result: WireProposeResult,
    },
    /// Asks for a manifest that is newer than the sender's.
    PullManifest {
        /// Number of the sender's manifest; zero if it has none.
        have: u64,
    },
    /// Reply to `PullManifest`: the manifest in force at the sender.
    Manifest {
        /// Number of the manifest; zero if the sender has none.
        number: u64,
        /// Document as published; empty if it is not newer than the receiver's.
        #[serde(with = "crate::common::shared_bytes")]
        bytes: Arc<[u8]>,
        /// Whether the sender confirms that no newer manifest was accepted before.
        ///
        /// It can if it is the leader and holds its lease. A controller also confirms while it is
        /// in recent contact with the leader.
        current: bool,
    },
    /// Asks for quarantined contents that the sender does not know.
    ///
    /// With `HISTORY_NOT_WANTED` it only tells that the sender understands the answer, which then holds no
    /// reports; a VM of an earlier version answers with all of them.
    ///
    /// A VM that keeps a crash history answers with `CrashReports`, and only sends that message and
    /// `TrialStarted` to VMs which have sent either of the first two. A VM of an earlier version sends neither.
    PullQuarantineList {
        /// Version of the list that the sender knows; the number of its contents unless it is full.
        ///
        /// `HISTORY_NOT_WANTED` if the sender asks other VMs.
        have: u64,
    },
    /// SHA-256 digests of all quarantined contents, oldest first.
    QuarantineList(Vec<[u8; 32]>),
    /// First message in each direction of a link: describes the VM that sent it.
    Handshake(WirePeer),
    /// VMs known to the sender, itself included.
    Peers(Vec<WirePeer>),
    /// Records of backend servers that the sender has heard of.
    Servers(Vec<WireServer>),
    /// Placement changes at the sending entry VM.
    Placements(WirePlacements),
    /// Tells entry VMs the newest manifest that the sending control VM knows.
    NewestManifest {
        /// Number of that manifest; zero if there is none.
        number: u64,
        /// Whether the sender holds the leader's lease or recently heard from the leader.
        current: bool,
    },
    /// Asks the leader to prove its leadership; answered with `ProposeReply`.
    ConfirmLeadership {
        /// Request id that the reply repeats.
        id: u64,
    },
    /// Runs of requests that ended with their backend servers.
    CrashReports(Vec<WireCrashReport>),
    /// The sender tries a content again; other VMs wait for the result. Holds a SHA-256 digest.
    TrialStarted([u8; 32]),
    /// Limits on the request rates of backend servers.
    ///
    /// Only sent to VMs with [`WireFeatures::rates`].
    Rates(WireRateMessage),
    /// Services whose servers the sender does not reach.
    ///
    /// Only sent to VMs with [`WireFeatures::relay`].
    CutOff(Vec<String>),
    /// Tells entry VMs the evacuated zones that the sending control VM knows.
    ///
    /// Only sent to VMs with [`WireFeatures::evacuations`].
    Evacuations(WireEvacuations),
    /// How cold backend servers are whose records follow in `Servers`.
    ///
    /// Only sent to VMs with [`WireFeatures::cold`].
    ColdServers(Vec<WireColdServer>),
    /// What the sending entry VM found of the capacity of backend servers.
    ///
    /// Only sent to VMs with [`WireFeatures::capacity`].
    Capacities(Vec<WireCapacity>),
    /// Reply to `PullManifest`: how the manifest in force at the sender differs from the receiver's.
    ///
    /// Only sent to VMs with [`WireFeatures::manifest_updates`].
    ManifestUpdate(WireManifestUpdate),
    /// Long prompt that the sender received from a caller who was not refused before.
    ///
    /// Only sent to VMs with [`WireFeatures::received_prompts`].
    PromptReceived(WireReceivedPrompt),
    /// Asks an entry VM for the control VMs with which it has a link; answered with `Peers`.
    ///
    /// Only sent to VMs with [`WireFeatures::control_lists`].
    PullControlVms,
}

/// Abilities of a VM that earlier versions lack.
///
/// They follow `Handshake` in its frame, where an earlier version ignores them. New fields are appended, and read as
/// absent if the frame ends before them.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each field is one independent ability"
)]
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct WireFeatures {
    /// Whether the VM understands `Rates`.
    pub rates: bool,
    /// Where it makes attempts for VMs that are cut off; `None` if it does not.
    pub relay: Option<WireRelay>,
    /// Whether it understands `Evacuations` and the log command for them.
    pub evacuations: bool,
    /// Whether it understands `ColdServers`.
    pub cold: bool,
    /// Whether it understands `Capacities`.
    pub capacity: bool,
    /// Whether it understands `ManifestUpdate`.
    pub manifest_updates: bool,
    /// Whether it understands frames from [`compress_frame`].
    pub compressed_frames: bool,
    /// Whether it understands `PromptReceived`.
    pub received_prompts: bool,
    /// Whether it is an entry VM that answers `PullControlVms`.
    pub control_lists: bool,
    /// Whether it can apply the log command for numbered orders to evacuate.
    pub evacuation_orders: bool,
    /// Whether it was started to form a new cluster of control VMs.
    pub initial_vm: bool,
}

impl WireFeatures {
    /// Decodes the features of a VM of this version or an earlier one.
    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (rates, mut rest) = postcard::take_from_bytes(bytes)?;
        let mut features = Self {
            rates,
            ..Self::default()
        };
        features.relay = take_appended(&mut rest)?;
        features.evacuations = take_appended(&mut rest)?;
        features.cold = take_appended(&mut rest)?;
        features.capacity = take_appended(&mut rest)?;
        features.manifest_updates = take_appended(&mut rest)?;
        features.compressed_frames = take_appended(&mut rest)?;
        features.received_prompts = take_appended(&mut rest)?;
        features.control_lists = take_appended(&mut rest)?;
        features.evacuation_orders = take_appended(&mut rest)?;
        features.initial_vm = take_appended(&mut rest)?;
        Ok(features)
    }
}

/// Decodes the next appended field; its default if the bytes end before it.
fn take_appended<T: Default + DeserializeOwned>(rest: &mut &[u8]) -> Result<T, DecodeError> {
    if rest.is_empty() {
        return Ok(T::default());
    }
    let (value, after) = postcard::take_from_bytes(rest)?;
    *rest = after;
    Ok(value)
}

/// Introduction of a replica of the control log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireHello {
    /// Replica that introduces itself.
    replica: WireReplica,
    /// Voters that the replica knows; empty if its data folder is empty.
    voters: Vec<WireReplica>,
    /// Whether the receiver must reply with its own introduction.
    pub wants_reply: bool,
}

/// Outcome of `Propose` or `ConfirmLeadership`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WireProposeResult {
    /// The log entry was committed, with this result.
    Committed(WireAnswer),
    /// The VM that was asked is not the leader.
    NotLeader {
        /// VM that it believes to be the leader; `None` if it knows of none.
        leader: Option<String>,
    },
}

impl WireHello {
    /// Creates the introduction of `replica`, which knows these voters.
    #[must_use]
    pub fn new(replica: ReplicaId, voters: Vec<ReplicaId>, wants_reply: bool) -> Self {
        Self {
            replica: replica.into(),
            voters: voters_to_wire(voters),
            wants_reply,
        }
    }

    /// Returns the replica that introduces itself.
    #[must_use]
    pub fn replica(&self) -> ReplicaId {
        self.replica.clone().into()
    }

    /// Returns the voters that the replica knows; empty if its data folder is empty.
    #[must_use]
    pub fn voters(&self) -> Vec<ReplicaId> {
        voters_from_wire(self.voters.clone())
    }
}

/// Encodes a wire type with postcard, without a frame.
///
/// # Panics
/// Panics if the value cannot be encoded, which does not occur with the types of this crate.
#[must_use]
pub fn encode<T: Serialize>(wire: &T) -> Vec<u8> {
    postcard::to_stdvec(wire).expect("wire types can always be encoded")
}

/// Decodes a wire type that `encode` has written.
///
/// # Errors
/// Fails if the bytes are not a value of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(postcard::from_bytes(bytes)?)
}

/// Encodes a frame: one version byte, then the message in postcard.
#[must_use]
pub fn encode_frame(message: &MeshMessage) -> Vec<u8> {
    let mut frame = vec![MESH_VERSION];
    frame.extend(encode(message));
    frame
}

/// Compresses a frame for VMs that understand it; `None` if that is not worth while.
#[must_use]
pub fn compress_frame(frame: &[u8]) -> Option<Vec<u8>> {
    if !(MIN_COMPRESSED_BYTES..=MAX_DOCUMENT_BYTES).contains(&frame.len()) {
        return None;
    }
    let length = u32::try_from(frame.len()).ok()?;
    let mut compressed = vec![COMPRESSED_VERSION];
    compressed.extend(length.to_le_bytes());
    compressed.extend(compress(frame, &[]));
    (compressed.len() < frame.len()).then_some(compressed)
}

/// Restores the frame that a compressed one holds.
fn expand_frame(bytes: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let (length, compressed) = bytes
        .split_first_chunk()
        .ok_or_else(|| DecodeError::new("a compressed frame without a length"))?;
    let length = u32::from_le_bytes(*length);
    expand(
        compressed,
        &[],
        usize::try_from(length).unwrap_or(usize::MAX),
    )
}

/// Encodes the first frame of a link.
#[must_use]
pub fn encode_handshake(peer: &WirePeer, features: &WireFeatures) -> Vec<u8> {
    let mut frame = encode_frame(&MeshMessage::Handshake(peer.clone()));
    frame.extend(encode(features));
    frame
}

/// Decodes the first frame of a link; a VM of an earlier version has no features.
///
/// # Errors
/// Fails as `decode_frame` does, and if the message is not `Handshake`.
pub fn decode_handshake(frame: &[u8]) -> Result<(WirePeer, WireFeatures), DecodeError> {
    match postcard::take_from_bytes(message_bytes(frame)?)? {
        (MeshMessage::Handshake(peer), []) => Ok((peer, WireFeatures::default())),
        (MeshMessage::Handshake(peer), rest) => Ok((peer, WireFeatures::decode(rest)?)),
        _ => Err(DecodeError::new("the first message is not Handshake")),
    }
}

/// Decodes the message in a frame, which may be compressed.
///
/// # Errors
/// Fails if the version is unknown or the bytes are not a message.
pub fn decode_frame(frame: &[u8]) -> Result<MeshMessage, DecodeError> {
    if let [COMPRESSED_VERSION, compressed @ ..] = frame {
        let frame = expand_frame(compressed)?;
        return Ok(postcard::from_bytes(message_bytes(&frame)?)?);
    }
    Ok(postcard::from_bytes(message_bytes(frame)?)?)
}

/// Returns the bytes of a frame without its version.
fn message_bytes(frame: &[u8]) -> Result<&[u8], DecodeError> {
    let (version, bytes) = frame
        .split_first()
        .ok_or_else(|| DecodeError::new("empty frame"))?;
    if *version != MESH_VERSION {
        return Err(DecodeError::new(format!(
            "unsupported frame version {version}, expected {MESH_VERSION}"
        )));
    }
    Ok(bytes)
}
