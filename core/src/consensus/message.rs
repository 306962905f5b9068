//! Raft messages between replicas, and the records that they persist.

use std::sync::Arc;

use crate::names::VmId;

/// Raft term; each has at most one leader, later leaders have higher terms.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Term(pub u64);

/// Position in the log; the first entry has position 1.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Index(pub u64);

impl Index {
    /// Returns the position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the position before this one, or zero before the first.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Identity of a replica: a VM and the random incarnation of its data folder.
///
/// A VM that lost its disk gets a new incarnation, so it can never vote twice in a term.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaId {
    /// VM that runs the replica.
    pub vm: VmId,
    /// Random number that was drawn when the data folder was created.
    pub incarnation: u64,
}

/// Content of a log entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// No-op; a new leader commits one to find out what is committed.
    Noop,
    /// Encoded command to the control state.
    Command(Arc<[u8]>),
    /// Voters from this entry on; they differ from the previous ones by one replica.
    Voters(Vec<ReplicaId>),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Position in the log.
    pub index: Index,
    /// Command, membership change or no-op.
    pub payload: Payload,
}

/// Term and vote, which must survive a crash.
///
/// A replica that forgot them could vote twice in a term.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that got this replica's vote in `term`, if any.
    pub vote: Option<ReplicaId>,
}

/// Control state and voters as of a log position.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Last position that the snapshot covers.
    pub index: Index,
    /// Term of the entry at `index`.
    pub term: Term,
    /// Voters in force at `index`.
    pub voters: Vec<ReplicaId>,
    /// Encoded control state; empty in the initial snapshot.
    pub data: Arc<[u8]>,
}

/// Reason of a vote request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoteKind {
    /// Asks whether the vote would be granted, without changing any term or vote.
    PreVote,
    /// Requests a vote because the election timeout expired and a pre-vote was won.
    Election,
    /// Requests a vote because the leader asked the candidate to take over.
    LeadershipTransfer,
}

/// Raft message from one replica to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Term of the sender, or the term to be started in a pre-vote.
    pub term: Term,
    /// Request or reply.
    pub body: Body,
}

/// Request or reply of a Raft message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Requests a vote or a pre-vote.
    VoteRequest {
        /// Whether it is a pre-vote, an election or a leadership transfer.
        kind: VoteKind,
        /// Last position of the candidate's log.
        last_index: Index,
        /// Term of the entry at `last_index`.
        last_term: Term,
    },
    /// Reply to `VoteRequest`.
    VoteReply {
        /// Whether it is the reply to a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted, or would be in case of a pre-vote.
        granted: bool,
    },
    /// Replicates entries; without entries it serves as heartbeat.
    Append {
        /// Position before the first entry.
        prev_index: Index,
        /// Term of the entry at `prev_index`.
        prev_term: Term,
        /// Entries at consecutive positions after `prev_index`.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: Index,
    },
    /// Reply to `Append` and `InstallSnapshot`.
    AppendReply {
        /// Whether the log matched; false also if the leader's term is old.
        success: bool,
        /// Last synced position that matches, or a hint where the logs may match.
        index: Index,
    },
    /// Confirms that an `Append` or `InstallSnapshot` arrived, while its reply waits for a sync.
    ///
    /// It acknowledges no entry and only shows the leader that the sender still follows.
    Following,
    /// Sends a snapshot to a replica that needs entries already compacted by the leader.
    InstallSnapshot(Snapshot),
    /// Asks the receiver to start an election at once, for a leadership transfer.
    TimeoutNow,
}

/// Journal record; records must be persisted in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// Term and vote; it replaces the previous ones.
    HardState(HardState),
    /// Log entry; it replaces all entries at its position and later.
    Entry(Entry),
    /// Snapshot; it replaces the log up to its position.
    Snapshot(Snapshot),
}
