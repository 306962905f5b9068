//! Raft messages and journal records of the control log.

use std::sync::Arc;

use merlinrudder_core::consensus::message::{
    Body, Entry, HardState, Index, Message, Payload, Record, ReplicaId, Snapshot, Term, VoteKind,
};
use merlinrudder_core::names::VmId;
use serde::{Deserialize, Serialize};

use crate::error::DecodeError;

/// Identity of a replica: its VM and the incarnation of its data folder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireReplica {
    vm: String,
    incarnation: u64,
}

/// Raft message between two replicas, with its term.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireRaftMessage {
    term: u64,
    body: WireMessageBody,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum WireMessageBody {
    VoteRequest {
        kind: WireVoteKind,
        last_index: u64,
        last_term: u64,
    },
    VoteReply {
        pre_vote: bool,
        granted: bool,
    },
    Append {
        prev_index: u64,
        prev_term: u64,
        entries: Vec<WireEntry>,
        commit: u64,
    },
    AppendReply {
        success: bool,
        index: u64,
    },
    InstallSnapshot(WireSnapshot),
    TimeoutNow,
    Following,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
enum WireVoteKind {
    PreVote,
    Election,
    LeadershipTransfer,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireEntry {
    term: u64,
    index: u64,
    payload: WirePayload,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum WirePayload {
    Noop,
    Command(#[serde(with = "crate::common::shared_bytes")] Arc<[u8]>),
    Voters(Vec<WireReplica>),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireSnapshot {
    index: u64,
    term: u64,
    voters: Vec<WireReplica>,
    #[serde(with = "crate::common::shared_bytes")]
    data: Arc<[u8]>,
}

/// Journal record: a term and vote, a log entry or a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireRecord(RecordBody);

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum RecordBody {
    HardState {
        term: u64,
        vote: Option<WireReplica>,
    },
    Entry(WireEntry),
    Snapshot(WireSnapshot),
}

/// Encodes a record for the journal in the data folder, with postcard.
#[must_use]
pub fn encode_record(record: Record) -> Vec<u8> {
    crate::mesh::encode(&WireRecord::from(record))
}

/// Decodes a record from the journal in the data folder.
///
/// # Errors
/// Fails if the bytes are not a journal record of this version.
pub fn decode_record(bytes: &[u8]) -> Result<Record, DecodeError> {
    let wire: WireRecord = postcard::from_bytes(bytes)?;
    Ok(wire.into())
}

impl From<ReplicaId> for WireReplica {
    fn from(replica: ReplicaId) -> Self {
        Self {
            vm: replica.vm.to_string(),
            incarnation: replica.incarnation,
        }
    }
}

impl From<WireReplica> for ReplicaId {
    fn from(wire: WireReplica) -> Self {
        Self {
            vm: VmId::from(wire.vm),
            incarnation: wire.incarnation,
        }
    }
}

impl From<Message> for WireRaftMessage {
    fn from(message: Message) -> Self {
        let body = match message.body {
            Body::VoteRequest {
                kind,
                last_index,
                last_term,
            } => WireMessageBody::VoteRequest {
                kind: match kind {
                    VoteKind::PreVote => WireVoteKind::PreVote,
                    VoteKind::Election => WireVoteKind::Election,
                    VoteKind::LeadershipTransfer => WireVoteKind::LeadershipTransfer,
                },
                last_index: last_index.0,
                last_term: last_term.0,
            },
            Body::VoteReply { pre_vote, granted } => {
                WireMessageBody::VoteReply { pre_vote, granted }
            }
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
            } => WireMessageBody::Append {
                prev_index: prev_index.0,
                prev_term: prev_term.0,
                entries: entries.into_iter().map(WireEntry::from).collect(),
                commit: commit.0,
            },
            Body::AppendReply { success, index } => WireMessageBody::AppendReply {
                success,
                index: index.0,
            },
            Body::InstallSnapshot(snapshot) => WireMessageBody::InstallSnapshot(snapshot.into()),
            Body::TimeoutNow => WireMessageBody::TimeoutNow,
            Body::Following => WireMessageBody::Following,
        };
        Self {
            term: message.term.0,
            body,
        }
    }
}

impl From<WireRaftMessage> for Message {
    fn from(wire: WireRaftMessage) -> Self {
        let body = match wire.body {
            WireMessageBody::VoteRequest {
                kind,
                last_index,
                last_term,
            } => Body::VoteRequest {
                kind: match kind {
                    WireVoteKind::PreVote => VoteKind::PreVote,
                    WireVoteKind::Election => VoteKind::Election,
                    WireVoteKind::LeadershipTransfer => VoteKind::LeadershipTransfer,
                },
                last_index: Index(last_index),
                last_term: Term(last_term),
            },
            WireMessageBody::VoteReply { pre_vote, granted } => {
                Body::VoteReply { pre_vote, granted }
            }
            WireMessageBody::Append {
                prev_index,
                prev_term,
                entries,
                commit,
            } => Body::Append {
                prev_index: Index(prev_index),
                prev_term: Term(prev_term),
                entries: entries.into_iter().map(Entry::from).collect(),
                commit: Index(commit),
            },
            WireMessageBody::AppendReply { success, index } => Body::AppendReply {
                success,
                index: Index(index),
            },
            WireMessageBody::InstallSnapshot(snapshot) => Body::InstallSnapshot(snapshot.into()),
            WireMessageBody::TimeoutNow => Body::TimeoutNow,
            WireMessageBody::Following => Body::Following,
        };
        Self {
            term: Term(wire.term),
            body,
        }
    }
}

impl From<Entry> for WireEntry {
    fn from(entry: Entry) -> Self {
        let payload = match entry.payload {
            Payload::Noop => WirePayload::Noop,
            Payload::Command(bytes) => WirePayload::Command(bytes),
            Payload::Voters(voters) => WirePayload::Voters(voters_to_wire(voters)),
        };
        Self {
            term: entry.term.0,
            index: entry.index.0,
            payload,
        }
    }
}

impl From<WireEntry> for Entry {
    fn from(wire: WireEntry) -> Self {
        let payload = match wire.payload {
            WirePayload::Noop => Payload::Noop,
            WirePayload::Command(bytes) => Payload::Command(bytes),
            WirePayload::Voters(voters) => Payload::Voters(voters_from_wire(voters)),
        };
        Self {
            term: Term(wire.term),
            index: Index(wire.index),
            payload,
        }
    }
}

impl From<Snapshot> for WireSnapshot {
    fn from(snapshot: Snapshot) -> Self {
        Self {
            index: snapshot.index.0,
            term: snapshot.term.0,
            voters: voters_to_wire(snapshot.voters),
            data: snapshot.data,
        }
    }
}

impl From<WireSnapshot> for Snapshot {
    fn from(wire: WireSnapshot) -> Self {
        Self {
            index: Index(wire.index),
            term: Term(wire.term),
            voters: voters_from_wire(wire.voters),
            data: wire.data,
        }
    }
}

impl From<Record> for WireRecord {
    fn from(record: Record) -> Self {
        Self(match record {
            Record::HardState(hard) => RecordBody::HardState {
                term: hard.term.0,
                vote: hard.vote.map(WireReplica::from),
            },
            Record::Entry(entry) => RecordBody::Entry(entry.into()),
            Record::Snapshot(snapshot) => RecordBody::Snapshot(snapshot.into()),
        })
    }
}

impl From<WireRecord> for Record {
    fn from(wire: WireRecord) -> Self {
        match wire.0 {
            RecordBody::HardState { term, vote } => Self::HardState(HardState {
                term: Term(term),
                vote: vote.map(ReplicaId::from),
            }),
            RecordBody::Entry(entry) => Self::Entry(entry.into()),
            RecordBody::Snapshot(snapshot) => Self::Snapshot(snapshot.into()),
        }
    }
}

/// Converts each replica id to its wire form.
pub(crate) fn voters_to_wire(voters: Vec<ReplicaId>) -> Vec<WireReplica> {
    voters.into_iter().map(WireReplica::from).collect()
}

/// Converts each replica id from its wire form.
pub(crate) fn voters_from_wire(voters: Vec<WireReplica>) -> Vec<ReplicaId> {
    voters.into_iter().map(ReplicaId::from).collect()
}
