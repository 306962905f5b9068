//! The replicated control log: elections, replication and change of voters.
//!
//! The rules are those of Raft, with pre-vote, check of quorum and learners.

mod election;
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

/// Time between two heartbeats of a leader.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);
/// Shortest time without a leader after which a replica campaigns.
pub const ELECTION_MIN: Duration = Duration::from_millis(600);
/// Longest time without a leader after which a replica campaigns.
pub const ELECTION_MAX: Duration = Duration::from_millis(1200);

/// Longest time that a candidate waits for its own disk, or for those of the voters.
///
/// Some times the longest stall of a disk after which it is still of use.
pub const CANDIDACY_MAX: Duration = Duration::from_secs(10);

/// Most doublings of the spread of election times: 0.6 s becomes 9.6 s.
const MAX_UNDECIDED: u32 = 4;

/// Time without a word from a voter after which a leader with enough others removes it.
pub const VOTER_LOST: Duration = Duration::from_secs(2);

/// What the caller has to carry out, in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Write to the data folder; `Consensus::synced` tells when it is synced.
    Persist(Record),
    /// Send at once.
    Send(ReplicaId, Message),
    /// Send once everything persisted before it is synced.
    SendAfterSync(ReplicaId, Message),
    /// Apply a committed entry to the control state.
    Apply(Entry),
    /// Replace the control state by that of a snapshot.
    Restore(Snapshot),
}

/// Why a proposal was not taken in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotLeader {
    /// The replica that leads, as far as known.
    pub leader: Option<ReplicaId>,
}

#[derive(Debug)]
enum Role {
    Follower,
    /// Asks whether it would be elected (`pre_vote`), or asks to be.
    Candidate {
        pre_vote: bool,
        votes: BTreeSet<ReplicaId>,
    },
    Leader(Leader),
}

/// One replica of the control log.
#[derive(Debug)]
pub struct Consensus {
    own: ReplicaId,
    hard: HardState,
    log: Log,
    role: Role,
    leader: Option<ReplicaId>,
    /// Last time that a leader of the current term was heard.
    leader_contact: Option<Moment>,
    election_due: Moment,
    /// When this replica asked for votes in its current term.
    campaigned: Moment,
    /// Elections since a leader was known; at most `MAX_UNDECIDED`.
    undecided: u32,
    /// Never falls; at most the last position of the log.
    commit: Index,
    /// Last position that was handed out to be applied; at most `commit`.
    applied: Index,
    /// Last position known to be synced here.
    synced: Index,
    /// Voters beyond which one that is not heard any more is removed.
    enough_voters: usize,
    rng: Rng,
    outputs: Vec<Output>,
}

impl Consensus {
    /// Opens a replica on what its data folder kept; `seed` spreads its election times.
    #[must_use]
    pub fn open(now: Moment, own: ReplicaId, hard: HardState, log: Log, seed: u64) -> Self {
        let start = log.snapshot().index;
        let synced = log.last_index();
        let mut consensus = Self {
            own,
            hard,
            log,
            role: Role::Follower,
            leader: None,
            leader_contact: None,
            election_due: now,
            campaigned: now,
            undecided: 0,
            commit: start,
            applied: start,
            synced,
            enough_voters: usize::MAX,
            rng: Rng::with_seed(seed),
            outputs: Vec::new(),
        };
        consensus.reset_election(now);
        consensus
    }

    /// Lets a leader remove voters that it does not hear any more, down to `enough`.
    ///
    /// Without this call the voters are only replaced by later incarnations of themselves.
    pub fn allow_voter_removal(&mut self, enough: usize) {
        self.enough_voters = enough;
    }

    /// Returns what has to be carried out since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the records of a journal that holds all that this replica knows.
    #[must_use]
    pub fn journal(&self) -> Vec<Record> {
        let mut records = vec![
            Record::Snapshot(self.log.snapshot().clone()),
            Record::HardState(self.hard.clone()),
        ];
        records.extend(self.log.entries().cloned().map(Record::Entry));
        records
    }

    /// Returns this replica's identity.
    #[must_use]
    pub fn id(&self) -> &ReplicaId {
        &self.own
    }

    /// Returns the newest term seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the replica that leads, as far as known.
    #[must_use]
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Whether this replica leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the current voters, committed or not.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        self.log.voters()
    }

    /// Whether this replica is a voter by what it knows to be committed.
    ///
    /// One that is not must introduce itself: the leader may know nothing of an entry that made it
    /// a voter and was lost with an earlier leader.
    #[must_use]
    pub fn is_committed_voter(&self) -> bool {
        self.log.voters_at(self.commit).contains(&self.own)
    }

    /// Returns the last committed position.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns when a leader was last heard; a leader hears itself while it has a quorum.
    #[must_use]
    pub fn leader_contact(&self) -> Option<Moment> {
        self.leader_contact
    }

    /// Forms a new cluster of `voters`, on a replica whose folder is empty.
    ///
    /// Every voter must have said that its folder is empty too.
    pub fn bootstrap(&mut self, voters: Vec<ReplicaId>) {
        if !self.log.voters().is_empty() || self.log.last_index() > Index(0) {
            return;
        }
        let snapshot = Snapshot {
            voters,
            ..Snapshot::default()
        };
        self.log.install(snapshot.clone());
        self.outputs
            .push(Output::Persist(Record::Snapshot(snapshot)));
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) {
        if self.is_leader() {
            self.leader_tick(now);
        } else if now >= self.election_due && !self.awaits_own_vote(now) {
            self.campaign(now, VoteKind::PreVote);
        }
    }

    /// Proposes a command; returns its position, which may still be lost with this leader.
    ///
    /// # Errors
    /// Returns who leads where this replica does not.
    pub fn propose(&mut self, now: Moment, payload: Payload) -> Result<(Term, Index), NotLeader> {
        if !self.is_leader() {
            return Err(NotLeader {
                leader: self.leader.clone(),
            });
        }
        let index = self.append_own(payload);
        self.replicate_all(now);
        self.advance_commit();
        Ok((self.hard.term, index))
    }

    /// Takes in that the data folder has synced the log up to `index` of `term`.
    pub fn mark_synced(&mut self, index: Index, term: Term) {
        // An entry replaced since then is not the one that was synced.
        if self.log.term_at(index) == Some(term) {
            self.synced = self.synced.max(index);
        }
        self.advance_commit();
    }

    /// Takes in a message of another replica.
    pub fn receive(&mut self, now: Moment, from: &ReplicaId, message: Message) {
        if self.ignores(now, &message) {
            return;
        }
        if message.term > self.hard.term && !is_pre_vote(&message.body) {
            self.follow_term(now, message.term);
        }
        match message.body {
            Body::VoteRequest {
                kind,
                last_index,
                last_term,
            } => {
                let pre_vote = kind == VoteKind::PreVote;
                self.answer_vote(now, from, message.term, pre_vote, last_index, last_term);
            }
            Body::VoteReply { pre_vote, granted } => {
                self.count_vote(now, from, message.term, pre_vote, granted);
            }
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
            } => {
                if self.hear_leader(now, from, message.term) {
                    self.append(from, prev_index, prev_term, entries, commit);
                }
            }
            Body::InstallSnapshot(snapshot) => {
                if self.hear_leader(now, from, message.term) {
                    self.install(from, snapshot);
                }
            }
            Body::AppendReply { success, index } => {
                self.append_reply(now, from, message.term, success, index);
            }
            Body::Following => self.note_follower(now, from, message.term),
            Body::TimeoutNow => {
                if message.term == self.hard.term {
                    self.campaign(now, VoteKind::LeadershipTransfer);
                }
            }
        }
    }

    /// Replaces the log up to `index` by a snapshot of the control state there.
    pub fn compact(&mut self, index: Index, data: std::sync::Arc<[u8]>) {
        let known = self.log.term_at(index);
        let Some(term) = known.filter(|_| index <= self.applied) else {
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
        self.log.voters().contains(&self.own)
    }

    fn persist_hard(&mut self) {
        self.outputs
            .push(Output::Persist(Record::HardState(self.hard.clone())));
    }

    fn follow_term(&mut self, now: Moment, term: Term) {
        self.hard = HardState { term, vote: None };
        self.persist_hard();
        self.become_follower(now, None);
    }

    fn become_follower(&mut self, now: Moment, leader: Option<ReplicaId>) {
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election(now);
    }

    fn peers(&self) -> Vec<ReplicaId> {
        self.log
            .voters()
            .iter()
            .filter(|voter| **voter != self.own)
            .cloned()
            .collect()
    }

    /// Takes note of a leader; returns false for one of an older term.
    fn hear_leader(&mut self, now: Moment, from: &ReplicaId, term: Term) -> bool {
        if term < self.hard.term {
            let index = self.log.last_index();
            self.reply_append(from, false, index);
            return false;
        }
        self.undecided = 0;
        self.become_follower(now, Some(from.clone()));
        self.leader_contact = Some(now);
        true
    }

    fn reply_append(&mut self, to: &ReplicaId, success: bool, index: Index) {
        let body = Body::AppendReply { success, index };
        let message = Message {
            term: self.hard.term,
            body,
        };
        let to = to.clone();
        // A mismatch promises nothing to keep, and a leader that waits for it would step down.
        let output = if success {
            Output::SendAfterSync(to, message)
        } else {
            Output::Send(to, message)
        };
        self.outputs.push(output);
    }

    fn append(
        &mut self,
        from: &ReplicaId,
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    ) {
        let covered = prev_index < self.log.snapshot().index;
        if !covered && self.log.term_at(prev_index) != Some(prev_term) {
            let hint = prev_index
                .previous()
                .min(self.log.last_index())
                .max(self.commit);
            self.reply_append(from, false, hint);
            return;
        }
        let matched = entries.last().map_or(prev_index, |entry| entry.index);
        for entry in entries {
            self.append_entry(entry);
        }
        if self.synced < self.log.last_index() {
            self.tell_following(from);
        }
        self.reply_append(from, true, matched.max(self.log.snapshot().index));
        self.commit_to(commit.min(matched));
    }

    /// Answers a leader at once where the reply proper waits for a disk.
    ///
    /// A leader that hears nothing during a long sync would step down, and so would its successor.
    fn tell_following(&mut self, leader: &ReplicaId) {
        let message = Message {
            term: self.hard.term,
            body: Body::Following,
        };
        self.outputs.push(Output::Send(leader.clone(), message));
    }

    fn append_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().index {
            return;
        }
        if self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        assert!(
            entry.index > self.commit,
            "a committed entry must never be replaced"
        );
        self.synced = self.synced.min(entry.index.previous());
        self.log.put(entry.clone());
        self.outputs.push(Output::Persist(Record::Entry(entry)));
    }

    fn install(&mut self, from: &ReplicaId, snapshot: Snapshot) {
        let index = snapshot.index;
        if index <= self.commit {
            self.reply_append(from, true, self.commit);
            return;
        }
        if self.log.term_at(index) == Some(snapshot.term) {
            // The entries after it match too and may have been acknowledged: they must stay.
            self.log.compact(snapshot.clone());
            self.synced = self.synced.max(index);
        } else {
            self.log.install(snapshot.clone());
            self.synced = index;
        }
        self.commit = index;
        self.applied = index;
        self.outputs
            .push(Output::Persist(Record::Snapshot(snapshot.clone())));
        self.outputs.push(Output::Restore(snapshot));
        self.tell_following(from);
        self.reply_append(from, true, index);
    }

    fn commit_to(&mut self, commit: Index) {
        let commit = commit.min(self.log.last_index());
        if commit <= self.commit {
            return;
        }
        self.commit = commit;
        while self.applied < self.commit {
            self.applied = self.applied.next();
            if let Some(entry) = self.log.get(self.applied) {
                self.outputs.push(Output::Apply(entry.clone()));
            }
        }
    }
}

/// Returns how many of `voters` make a quorum.
#[must_use]
pub const fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

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

/// State that only a leader has, by replica.
type ProgressTable = BTreeMap<ReplicaId, leader::Progress>;
