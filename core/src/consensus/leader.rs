//! Leader duties: replication, commit, learners, lease and membership changes.

use std::time::Duration;

use super::message::{Body, Entry, Index, Message, Payload, Record, ReplicaId, Term};
use super::{
    Consensus, ELECTION_TIMEOUT_MIN, HEARTBEAT_PERIOD, LOST_VOTER_TIMEOUT, Output, ProgressTable,
    Role, quorum_size,
};
use crate::time::Moment;

/// Minimum time before a snapshot is sent again to the same replica.
const SNAPSHOT_RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Replication progress of one replica, as the leader knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Next position to send; always above `match_index`.
    next_index: Index,
    /// Last position known to be synced there and to match the leader's log.
    match_index: Index,
    last_contact: Moment,
    snapshot_sent: Option<Moment>,
}

/// State that only a leader keeps.
#[derive(Debug)]
pub(super) struct Leader {
    /// Progress of every voter except the leader, and of every learner.
    progress: ProgressTable,
    heartbeat_due: Moment,
    /// Commit index that the followers were last told.
    announced_commit: Index,
    /// Position of the entry at the start of the leader's term.
    first_index: Index,
}

impl Consensus {
    /// Whether this replica leads and has committed an entry of its term.
    #[must_use]
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if self.commit_index >= leader.first_index)
    }

    /// Whether this replica holds the leader lease.
    ///
    /// While it does, no other replica can have been elected, and all entries accepted earlier are
    /// committed here.
    #[must_use]
    pub fn has_lease(&self, now: Moment) -> bool {
        self.has_committed_in_term() && self.has_quorum(now)
    }

    /// Returns the time since the last contact to each other voter; empty unless this replica leads.
    #[must_use]
    pub fn voter_contacts(&self, now: Moment) -> Vec<(ReplicaId, Duration)> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let voters = self.log.voters().iter();
        let contacts = voters.filter_map(|voter| {
            let progress = leader.progress.get(voter)?;
            Some((voter.clone(), now.since(progress.last_contact)))
        });
        contacts.collect()
    }

    /// Starts replicating to a replica, which becomes a voter once it has caught up.
    ///
    /// Does nothing on a replica that does not lead.
    pub fn add_learner(&mut self, now: Moment, replica: ReplicaId) {
        if replica == self.id {
            return;
        }
        let next = self.log.last_index().next();
        if let Role::Leader(leader) = &mut self.role {
            leader
                .progress
                .entry(replica)
                .or_insert(Progress::new(next, now));
        }
    }

    /// Asks a fully caught-up voter to take over the leadership.
    ///
    /// A planned stop then costs no election timeout. Returns false if this replica does not lead
    /// or no voter has caught up.
    pub fn transfer_leadership(&mut self) -> bool {
        let term = self.hard_state.term;
        let voters = self.log.voters().to_vec();
        let last = self.log.last_index();
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let caught_up = leader
            .progress
            .iter()
            .find(|(replica, progress)| voters.contains(replica) && progress.match_index == last);
        let Some((successor, _)) = caught_up else {
            return false;
        };
        let message = Message {
            term,
            body: Body::TimeoutNow,
        };
        self.outputs.push(Output::Send(successor.clone(), message));
        true
    }

    pub(super) fn become_leader(&mut self, now: Moment) {
        let next = self.log.last_index().next();
        let other_voters = self.other_voters();
        let progress = other_voters
            .into_iter()
            .map(|voter| (voter, Progress::new(next, now)))
            .collect();
        self.leaderless_elections = 0;
        self.leader = Some(self.id.clone());
        self.leader_contact = Some(now);
        self.role = Role::Leader(Leader {
            progress,
            heartbeat_due: now,
            announced_commit: self.commit_index,
            first_index: next,
        });
        let first = self.first_payload();
        self.append_as_leader(first);
        self.replicate_all(now);
        self.advance_commit();
    }

    /// Returns the payload of the first entry of the term, which commits the entries before it.
    ///
    /// In a new cluster it names the voters: a replica that follows may not know them yet, and could
    /// not campaign once this leader is lost.
    fn first_payload(&self) -> Payload {
        if self.log.voters_index() == Index(0) {
            Payload::Voters(self.log.voters().to_vec())
        } else {
            Payload::Noop
        }
    }

    /// Appends an entry of the current term; returns its position.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index().next();
        let entry = Entry {
            term: self.hard_state.term,
            index,
            payload,
        };
        self.log.truncate_and_append(entry.clone());
        self.outputs.push(Output::Persist(Record::Entry(entry)));
        index
    }

    /// Tells the followers at once what was committed since they were last told.
    ///
    /// Called before those who wait for an entry are answered: the followers then apply it also if
    /// this leader is lost right after the answer, instead of only after an election.
    pub fn announce_commit(&mut self, now: Moment) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.commit_index > leader.announced_commit {
            leader.announced_commit = self.commit_index;
            self.replicate_all(now);
        }
    }

    /// Steps down without a quorum; otherwise sends heartbeats and proposes membership changes.
    pub(super) fn tick_leader(&mut self, now: Moment) {
        if !self.has_quorum(now) {
            self.become_follower(now, None);
            return;
        }
        self.leader_contact = Some(now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now >= leader.heartbeat_due || self.commit_index > leader.announced_commit {
            leader.heartbeat_due = now + HEARTBEAT_PERIOD;
            leader.announced_commit = self.commit_index;
            self.replicate_all(now);
        }
        self.change_voters(now);
    }

    /// Whether a quorum was in contact within the shortest election timeout.
    fn has_quorum(&self, now: Moment) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let in_contact = |voter: &&ReplicaId| {
            let progress = leader.progress.get(*voter);
            **voter == self.id
                || progress.is_some_and(|p| now.since(p.last_contact) < ELECTION_TIMEOUT_MIN)
        };
        let voters = self.log.voters();
        voters.iter().filter(in_contact).count() >= quorum_size(voters.len())
    }

    pub(super) fn replicate_all(&mut self, now: Moment) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let replicas: Vec<_> = leader.progress.keys().cloned().collect();
        for replica in replicas {
            if self.awaits_snapshot(now, &replica) {
                self.send_empty_append(&replica);
            } else {
                self.replicate(now, &replica);
            }
        }
    }

    /// Whether a replica was sent the snapshot a short time ago and has not acknowledged it.
    fn awaits_snapshot(&self, now: Moment, replica: &ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        leader.progress.get(replica).is_some_and(|progress| {
            let prev_index = progress.next_index.previous();
            self.log.term_at(prev_index).is_none() && progress.sent_snapshot_recently(now)
        })
    }

    /// Sends an append without entries after the snapshot, as a heartbeat.
    ///
    /// A replica whose disk takes long to sync the snapshot would otherwise hear nothing, and be
    /// counted as lost. One that has not received the snapshot yet rejects the append.
    fn send_empty_append(&mut self, replica: &ReplicaId) {
        let snapshot = self.log.snapshot();
        let body = Body::Append {
            prev_index: snapshot.index,
            prev_term: snapshot.term,
            entries: Vec::new(),
            commit: snapshot.index,
        };
        let term = self.hard_state.term;
        self.outputs
            .push(Output::Send(replica.clone(), Message { term, body }));
    }

    /// Sends the next batch of entries, or the snapshot if those entries are compacted.
    fn replicate(&mut self, now: Moment, replica: &ReplicaId) {
        let term = self.hard_state.term;
        let commit = self.commit_index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(replica) else {
            return;
        };
        let prev_index = progress.next_index.previous();
        let body = if let Some(prev_term) = self.log.term_at(prev_index) {
            let entries = self.log.batch_from(progress.next_index);
            progress.next_index = entries
                .last()
                .map_or(progress.next_index, |entry| entry.index.next());
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
            }
        } else {
            if progress.sent_snapshot_recently(now) {
                return;
            }
            progress.snapshot_sent = Some(now);
            Body::InstallSnapshot(self.log.snapshot().clone())
        };
        self.outputs
            .push(Output::Send(replica.clone(), Message { term, body }));
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: Moment,
        from: &ReplicaId,
        term: Term,
        success: bool,
        index: Index,
    ) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader
            .progress
            .get_mut(from)
            .filter(|_| term == self.hard_state.term)
        else {
            return;
        };
        progress.last_contact = now;
        if success {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(index.next());
            progress.snapshot_sent = None;
        } else {
            progress.next_index = index
                .next()
                .min(progress.next_index)
                .max(progress.match_index.next());
        }
        // After a success, wait until all entries sent so far are acknowledged.
        let more = progress.next_index <= last
            && (!success || progress.match_index.next() == progress.next_index);
        if more {
            self.replicate(now, from);
        }
        self.advance_commit();
    }

    /// Records contact to a follower, without advancing its match index.
    pub(super) fn record_follower_contact(&mut self, now: Moment, from: &ReplicaId, term: Term) {
        let current = term == self.hard_state.term;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(progress) = leader.progress.get_mut(from).filter(|_| current) {
            progress.last_contact = now;
        }
    }

    /// Commits what a quorum has synced.
    ///
    /// Entries of older terms are only committed together with one of the current term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let voters = self.log.voters();
        let mut match_indexes: Vec<_> = voters
            .iter()
            .map(|voter| {
                let other = leader
                    .progress
                    .get(voter)
                    .map_or(Index(0), |p| p.match_index);
                if *voter == self.id {
                    self.synced_index
                } else {
                    other
                }
            })
            .collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_index) = match_indexes.get(quorum_size(voters.len()) - 1).copied() else {
            return;
        };
        if quorum_index > self.commit_index
            && self.log.term_at(quorum_index) == Some(self.hard_state.term)
        {
            self.commit_to(quorum_index);
        }
    }

    /// Proposes the next membership change, once the previous one is committed.
    fn change_voters(&mut self, now: Moment) {
        if !self.has_committed_in_term() || self.log.voters_index() > self.commit_index {
            return;
        }
        let Some(voters) = self.next_voters(now) else {
            return;
        };
        let other_voters: Vec<_> = voters
            .iter()
            .filter(|voter| **voter != self.id)
            .cloned()
            .collect();
        self.append_as_leader(Payload::Voters(voters));
        let next = self.log.last_index();
        if let Role::Leader(leader) = &mut self.role {
            for voter in other_voters {
                leader
                    .progress
                    .entry(voter)
                    .or_insert(Progress::new(next, now));
            }
        }
        self.replicate_all(now);
    }

    /// Returns the next set of voters, or `None` if no change is due.
    ///
    /// A superseded or lost voter is removed before a caught-up learner is added. A VM with a new
    /// disk first gets its new replica added, then its old one removed.
    fn next_voters(&self, now: Moment) -> Option<Vec<ReplicaId>> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let voters = self.log.voters();
        if let Some(old) = superseded_voter(voters, leader).or_else(|| self.lost_voter(now, leader))
        {
            return Some(
                voters
                    .iter()
                    .filter(|voter| **voter != old)
                    .cloned()
                    .collect(),
            );
        }
        let last = self.log.last_index();
        let ready = leader.progress.iter().find(|(replica, progress)| {
            let in_contact = now.since(progress.last_contact) < ELECTION_TIMEOUT_MIN;
            let caught_up = progress.match_index == last && progress.match_index > Index(0);
            !voters.contains(replica) && caught_up && in_contact
        });
        let (learner, _) = ready?;
        let mut next = voters.to_vec();
        next.push(learner.clone());
        Some(next)
    }
}

impl Consensus {
    /// Returns the voter with the oldest contact, if lost and enough others remain.
    fn lost_voter(&self, now: Moment, leader: &Leader) -> Option<ReplicaId> {
        let voters = self.log.voters();
        if voters.len() <= self.min_voters {
            return None;
        }
        let last_contact = |voter: &ReplicaId| {
            leader
                .progress
                .get(voter)
                .map(|progress| progress.last_contact)
        };
        let others = voters.iter().filter(|voter| **voter != self.id);
        let oldest = others.min_by_key(|voter| last_contact(voter))?;
        let lost =
            last_contact(oldest).is_some_and(|contact| now.since(contact) > LOST_VOTER_TIMEOUT);
        lost.then(|| oldest.clone())
    }
}

/// Returns a voter whose VM has another voter with a later contact.
fn superseded_voter(voters: &[ReplicaId], leader: &Leader) -> Option<ReplicaId> {
    let last_contact = |voter: &ReplicaId| {
        leader
            .progress
            .get(voter)
            .map(|progress| progress.last_contact)
    };
    voters
        .iter()
        .find(|old| {
            voters.iter().any(|new| {
                new.vm == old.vm
                    && new != *old
                    && last_contact(new) > last_contact(old)
                    && last_contact(old).is_some()
            })
        })
        .cloned()
}

impl Progress {
    fn new(next_index: Index, last_contact: Moment) -> Self {
        Self {
            next_index,
            match_index: Index(0),
            last_contact,
            snapshot_sent: None,
        }
    }

    /// Whether it is too early to send the snapshot again.
    fn sent_snapshot_recently(&self, now: Moment) -> bool {
        self.snapshot_sent
            .is_some_and(|at| now.since(at) < SNAPSHOT_RESEND_INTERVAL)
    }
}
