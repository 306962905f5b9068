//! What the replicas of the control log tell each other, and what they keep on disk.

use std::sync::Arc;

use crate::names::VmId;

/// Term of a leader; a later leader has a higher one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Term(pub u64);

/// Position in the log; the first entry has 1.
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

/// A replica: a VM together with the random incarnation of its data folder.
///
/// A VM that lost its disk has another incarnation, so it can never vote twice in a term.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaId {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of its data folder.
    pub incarnation: u64,
}

/// What an entry carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// Nothing; a new leader commits it to learn what is committed.
    Noop,
    /// An encoded command of the control state.
    Command(Arc<[u8]>),
    /// The voters from this entry on; differs from those before by one replica.
    Voters(Vec<ReplicaId>),
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Term of the leader that made it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it carries.
    pub payload: Payload,
}

/// What a replica must never forget: its term and its vote in it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// Replica that got the vote in this term.
    pub vote: Option<ReplicaId>,
}

/// The control state up to a position of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Last position that it covers.
    pub index: Index,
    /// Term of that position.
    pub term: Term,
    /// Voters at that position.
    pub voters: Vec<ReplicaId>,
    /// Encoded control state.
    pub data: Arc<[u8]>,
}

/// What a vote request is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoteKind {
    /// Only asks whether a vote would be given.
    PreVote,
    /// Asks for a vote because no leader is heard.
    Election,
    /// Asks for a vote because the leader hands over.
    LeadershipTransfer,
}

/// A message between two replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Term of the sender, or for a pre-vote the term that it would start.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Asks for a vote, or whether one would be given.
    VoteRequest {
        /// What the request is for.
        kind: VoteKind,
        /// Last position of the candidate's log.
        last_index: Index,
        /// Term of that position.
        last_term: Term,
    },
    /// Answers `VoteRequest`.
    VoteReply {
        /// Whether it answers a pre-vote.
        pre_vote: bool,
        /// Whether the vote is, or would be, given.
        granted: bool,
    },
    /// Carries entries; an empty one is the leader's heartbeat.
    Append {
        /// Position before the first entry.
        prev_index: Index,
        /// Term of that position.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// Last position that the leader knows to be committed.
        commit: Index,
    },
    /// Answers `Append` and `InstallSnapshot`.
    AppendReply {
        /// Whether the log matched.
        success: bool,
        /// Last synced position that matches, or a hint where the logs may match.
        index: Index,
    },
    /// Tells at once that an `Append` came, while entries wait for the sync.
    ///
    /// It confirms no entry: it only shows the leader that the sender still follows.
    Following,
    /// Carries a snapshot to a replica that is behind the start of the log.
    InstallSnapshot(Snapshot),
    /// Asks the receiver to campaign at once.
    TimeoutNow,
}

/// What the data folder has to keep, in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// Term and vote.
    HardState(HardState),
    /// An entry; it replaces any entry at its position or later.
    Entry(Entry),
    /// A snapshot; it replaces the log up to its position.
    Snapshot(Snapshot),
}
