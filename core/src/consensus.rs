//! Raft consensus for the replicated control log.
//!
//! With pre-vote, check-quorum, learners and single-replica membership changes; does no I/O.

mod election;
mod follower;
mod leader;
pub mod log;
pub mod message;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;

use self::leader::Leader;
use self::log::Log;
use self::message::{
    Body, Entry, HardState, Index, Message, Payload, Record, ReplicaId, Snapshot, Term, VoteKind,
};
use crate::time::Moment;

/// Interval between the heartbeats of a leader.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);
/// Shortest election timeout: time without contact to a leader before a replica campaigns.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(600);
/// Longest election timeout, before the backoff that follows leaderless elections.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(1200);
/// Time from the start of a replica that hears of no leader until it may campaign early.
const EARLY_CAMPAIGN_DELAY: Duration = Duration::from_millis(100);
/// Time by which the early campaigns of two voters differ: the one with the lower id goes first.
///
/// It exceeds the interval at which a replica is ticked, or both could campaign in the same tick.
const EARLY_CAMPAIGN_STEP: Duration = Duration::from_millis(80);
/// Time from the start of a replica in which it may campaign early.
const EARLY_CAMPAIGN_WINDOW: Duration = Duration::from_secs(3);
/// Longest time that a candidate waits for a disk to sync a vote.
///
/// It applies to its own disk and to those of the voters, and is several times the longest stall
/// of a disk that is still usable.
pub const VOTE_SYNC_TIMEOUT: Duration = Duration::from_secs(10);
/// Cap on leaderless elections; each doubles the timeout jitter (0.6 s to 9.6 s).
const MAX_LEADERLESS_ELECTIONS: u32 = 4;
/// Time without contact to a voter before a leader with enough others removes it.
pub const LOST_VOTER_TIMEOUT: Duration = Duration::from_secs(2);

/// An action that the caller has to carry out, in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Write to the data folder, then report the sync with [`Consensus::mark_synced`].
    Persist(Record),
    /// Send at once, without waiting for the disk.
    Send(ReplicaId, Message),
    /// Send once all records persisted before this output are synced.
    SendAfterSync(ReplicaId, Message),
    /// Apply a committed entry to the control state.
    Apply(Entry),
    /// Replace the control state with that of a snapshot.
    Restore(Snapshot),
}

/// Error of a proposal made to a replica that does not lead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotLeader {
    /// Current leader, if this replica knows one.
    pub leader: Option<ReplicaId>,
}

#[derive(Debug)]
enum Role {
    Follower,
    /// Collects votes, or with `pre_vote` only asks whether it could win an election.
    Candidate {
        pre_vote: bool,
        votes: BTreeSet<ReplicaId>,
    },
    Leader(Leader),
}

/// State of one replica of the control log.
#[derive(Debug)]
pub struct Consensus {
    id: ReplicaId,
    hard_state: HardState,
    log: Log,
    role: Role,
    leader: Option<ReplicaId>,
    /// Last contact to a leader; a leader with a quorum counts itself.
    leader_contact: Option<Moment>,
    election_due: Moment,
    /// Until when the replica may campaign early; its start if it knew no voters then.
    ///
    /// In a new cluster the others may not know the voters yet either.
    early_until: Moment,
    /// When this replica last requested votes (pre-votes excluded).
    campaign_start: Moment,
    /// Elections started or voted in since the last leader; at most `MAX_LEADERLESS_ELECTIONS`.
    leaderless_elections: u32,
    /// Last committed position; never decreases, at most the last position of the log.
    commit_index: Index,
    /// Last position handed out to be applied or restored; at most `commit_index`.
    applied_index: Index,
    /// Last position known to be synced to this replica's disk.
    synced_index: Index,
    /// Lost voters are only removed while there are more voters than this.
    min_voters: usize,
    rng: Rng,
    outputs: Vec<Output>,
}

impl Consensus {
    /// Restores a replica from persisted state; `seed` drives the election timeout jitter.
    #[must_use]
    pub fn open(now: Moment, id: ReplicaId, hard_state: HardState, log: Log, seed: u64) -> Self {
        let start = log.snapshot().index;
        let synced_index = log.last_index();
        let early_until = if log.voters().is_empty() {
            now
        } else {
            now + EARLY_CAMPAIGN_WINDOW
        };
        let mut consensus = Self {
            id,
            hard_state,
            log,
            role: Role::Follower,
            leader: None,
            leader_contact: None,
            election_due: now,
            early_until,
            campaign_start: now,
            leaderless_elections: 0,
            commit_index: start,
            applied_index: start,
            synced_index,
            min_voters: usize::MAX,
            rng: Rng::with_seed(seed),
            outputs: Vec::new(),
        };
        consensus.reset_election(now);
        consensus
    }

    /// Lets this replica as leader remove lost voters while more than `min_voters` remain.
    ///
    /// Without this call a voter is only removed once a later incarnation of its VM is a voter.
    pub fn allow_voter_removal(&mut self, min_voters: usize) {
        self.min_voters = min_voters;
    }

    /// Returns the outputs produced since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the records of a compacted journal that restores this replica's state.
    #[must_use]
    pub fn journal(&self) -> Vec<Record> {
        let mut records = vec![
            Record::Snapshot(self.log.snapshot().clone()),
            Record::HardState(self.hard_state.clone()),
        ];
        records.extend(self.log.entries().cloned().map(Record::Entry));
        records
    }

    /// Returns the id of this replica.
    #[must_use]
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns the current term: the highest one that this replica has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the current leader, if this replica knows one.
    #[must_use]
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Whether this replica is the leader of its current term.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the voters of the latest membership change, even if it is not committed.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        self.log.voters()
    }

    /// Whether this replica is a voter as of the last committed position.
    ///
    /// A replica for which this is false must introduce itself to the leader: the entry that made
    /// it a voter may have been lost with an earlier leader, so the current one may not know it.
    #[must_use]
    pub fn is_committed_voter(&self) -> bool {
        self.log.voters_at(self.commit_index).contains(&self.id)
    }

    /// Returns the last position that this replica knows to be committed.
    #[must_use]
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Returns the in-memory log, including entries that are not committed.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the last contact to a leader; a leader with a quorum counts itself.
    #[must_use]
    pub fn leader_contact(&self) -> Option<Moment> {
        self.leader_contact
    }

    /// Initializes a cluster of `voters`; does nothing unless the data folder is empty.
    ///
    /// The caller must know from every voter that its data folder is empty too.
    pub fn bootstrap(&mut self, voters: Vec<ReplicaId>) {
        if !self.log.voters().is_empty() || self.log.last_index() > Index(0) {
            return;
        }
        let snapshot = Snapshot {
            voters,
            ..Snapshot::default()
        };
        self.log.reset_to_snapshot(snapshot.clone());
        self.outputs
            .push(Output::Persist(Record::Snapshot(snapshot)));
    }

    /// Processes timeouts: heartbeats, elections, loss of quorum and membership changes.
    pub fn tick(&mut self, now: Moment) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_due && !self.awaits_own_vote(now) {
            self.campaign(now, VoteKind::PreVote);
        }
    }

    /// Appends and replicates an entry as leader; returns its term and position.
    ///
    /// The entry may be lost if another leader takes over before it is committed.
    ///
    /// # Errors
    /// Fails with the known leader if this replica does not lead.
    pub fn propose(&mut self, now: Moment, payload: Payload) -> Result<(Term, Index), NotLeader> {
        if !self.is_leader() {
            return Err(NotLeader {
                leader: self.leader.clone(),
            });
        }
        let index = self.append_as_leader(payload);
        self.replicate_all(now);
        self.advance_commit();
        Ok((self.hard_state.term, index))
    }

    /// Records that this replica's disk has synced the log up to `index` of `term`.
    pub fn mark_synced(&mut self, index: Index, term: Term) {
        // The entry may have been replaced by one of another term while the sync was running.
        if self.log.term_at(index) == Some(term) {
            self.synced_index = self.synced_index.max(index);
        }
        self.advance_commit();
    }

    /// Handles a message from another replica, or this replica's own vote.
    pub fn receive(&mut self, now: Moment, from: &ReplicaId, message: Message) {
        if self.should_ignore(now, &message) {
            return;
        }
        if message.term > self.hard_state.term && !is_pre_vote(&message.body) {
            self.advance_term(now, message.term);
        }
        match message.body {
            Body::VoteRequest {
                kind,
                last_index,
                last_term,
            } => {
                let pre_vote = kind == VoteKind::PreVote;
                self.handle_vote_request(now, from, message.term, pre_vote, last_index, last_term);
            }
            Body::VoteReply { pre_vote, granted } => {
                self.handle_vote_reply(now, from, message.term, pre_vote, granted);
            }
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
            } => {
                if self.accept_leader(now, from, message.term) {
                    self.handle_append(from, prev_index, prev_term, entries, commit);
                }
            }
            Body::InstallSnapshot(snapshot) => {
                if self.accept_leader(now, from, message.term) {
                    self.handle_install(from, snapshot);
                }
            }
            Body::AppendReply { success, index } => {
                self.handle_append_reply(now, from, message.term, success, index);
            }
            Body::Following => self.record_follower_contact(now, from, message.term),
            Body::TimeoutNow => {
                if message.term == self.hard_state.term {
                    self.campaign(now, VoteKind::LeadershipTransfer);
                }
            }
        }
    }

    /// Replaces the log up to an applied `index` with a snapshot.
    ///
    /// `data` is the encoded control state at `index`.
    pub fn compact(&mut self, index: Index, data: std::sync::Arc<[u8]>) {
        let known = self.log.term_at(index);
        let Some(term) = known.filter(|_| index <= self.applied_index) else {
            return;
        };
        let voters = self.log.voters_at(index);
        let snapshot = Snapshot {
            index,
            term,
            voters,
            data,
        };
        self.log.compact(snapshot.clone());
        self.outputs
            .push(Output::Persist(Record::Snapshot(snapshot)));
    }

    fn is_voter(&self) -> bool {
        self.log.voters().contains(&self.id)
    }

    fn persist_hard_state(&mut self) {
        self.outputs
            .push(Output::Persist(Record::HardState(self.hard_state.clone())));
    }

    fn advance_term(&mut self, now: Moment, term: Term) {
        self.hard_state = HardState { term, vote: None };
        self.persist_hard_state();
        self.become_follower(now, None);
    }

    fn become_follower(&mut self, now: Moment, leader: Option<ReplicaId>) {
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election(now);
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        self.log
            .voters()
            .iter()
            .filter(|voter| **voter != self.id)
            .cloned()
            .collect()
    }

    /// Advances the commit index to `commit` and outputs the newly committed entries.
    fn commit_to(&mut self, commit: Index) {
        let commit = commit.min(self.log.last_index());
        if commit <= self.commit_index {
            return;
        }
        self.commit_index = commit;
        while self.applied_index < self.commit_index {
            self.applied_index = self.applied_index.next();
            if let Some(entry) = self.log.get(self.applied_index) {
                self.outputs.push(Output::Apply(entry.clone()));
            }
        }
    }
}

/// Returns the size of a majority of `voters` replicas.
#[must_use]
pub const fn quorum_size(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether a message carries the term that a pre-vote proposes, which must not be adopted.
///
/// A rejected pre-vote carries the voter's own term instead, and a candidate behind it adopts that.
const fn is_pre_vote(body: &Body) -> bool {
    matches!(
        body,
        Body::VoteRequest {
            kind: VoteKind::PreVote,
            ..
        } | Body::VoteReply {
            pre_vote: true,
            granted: true
        }
    )
}

/// Replication progress that a leader tracks for each replica.
type ProgressTable = BTreeMap<ReplicaId, leader::Progress>;
