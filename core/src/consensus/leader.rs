//! What only a leader does: replication, commit, learners and change of voters.

use std::time::Duration;

use super::message::{Body, Entry, Index, Message, Payload, Record, ReplicaId, Term};
use super::{
    Consensus, ELECTION_MIN, HEARTBEAT_PERIOD, Output, ProgressTable, Role, VOTER_LOST, quorum,
};
use crate::time::Moment;

/// Shortest time between two snapshots sent to one replica.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(2);

/// How far one replica is, as the leader knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Next position to send; above `matched`.
    next: Index,
    /// Last position known to be synced there.
    matched: Index,
    heard: Moment,
    snapshot_sent: Option<Moment>,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// Every voter but the leader, and every learner.
    progress: ProgressTable,
    heartbeat_due: Moment,
    /// Position of the entry that the leader began its term with.
    first: Index,
}

impl Consensus {
    /// Whether this replica leads and has committed an entry of its term.
    #[must_use]
    pub fn is_settled_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if self.commit >= leader.first)
    }

    /// Whether this replica leads now and knows all that was accepted before.
    ///
    /// While it does, no other replica can have been elected.
    #[must_use]
    pub fn has_lease(&self, now: Moment) -> bool {
        self.is_settled_leader() && self.has_quorum(now)
    }

    /// Takes in a replica that is not a voter yet; it is replicated to and becomes one later.
    pub fn add_learner(&mut self, now: Moment, replica: ReplicaId) {
        if replica == self.own {
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

    /// Hands the lead to the voter that is furthest, so that a planned stop costs no election.
    pub fn transfer_leadership(&mut self) -> bool {
        let term = self.hard.term;
        let voters = self.log.voters().to_vec();
        let last = self.log.last_index();
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let caught_up = leader
            .progress
            .iter()
            .find(|(replica, progress)| voters.contains(replica) && progress.matched == last);
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
        let peers = self.peers();
        let progress = peers
            .into_iter()
            .map(|peer| (peer, Progress::new(next, now)))
            .collect();
        self.undecided = 0;
        self.leader = Some(self.own.clone());
        self.leader_contact = Some(now);
        self.role = Role::Leader(Leader {
            progress,
            heartbeat_due: now,
            first: next,
        });
        self.append_own(Payload::Noop);
        self.replicate_all(now);
        self.advance_commit();
    }

    pub(super) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index().next();
        let entry = Entry {
            term: self.hard.term,
            index,
            payload,
        };
        self.log.put(entry.clone());
        self.outputs.push(Output::Persist(Record::Entry(entry)));
        index
    }

    pub(super) fn leader_tick(&mut self, now: Moment) {
        if !self.has_quorum(now) {
            self.become_follower(now, None);
            return;
        }
        self.leader_contact = Some(now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now >= leader.heartbeat_due {
            leader.heartbeat_due = now + HEARTBEAT_PERIOD;
            self.replicate_all(now);
        }
        self.change_voters(now);
    }

    /// Whether a quorum was heard within the shortest election time.
    fn has_quorum(&self, now: Moment) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let heard = |voter: &&ReplicaId| {
            let progress = leader.progress.get(*voter);
            **voter == self.own || progress.is_some_and(|p| now.since(p.heard) < ELECTION_MIN)
        };
        let voters = self.log.voters();
        voters.iter().filter(heard).count() >= quorum(voters.len())
    }

    pub(super) fn replicate_all(&mut self, now: Moment) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let replicas: Vec<_> = leader.progress.keys().cloned().collect();
        for replica in replicas {
            self.replicate(now, &replica);
        }
    }

    fn replicate(&mut self, now: Moment, replica: &ReplicaId) {
        let term = self.hard.term;
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(replica) else {
            return;
        };
        let prev_index = progress.next.previous();
        let body = if let Some(prev_term) = self.log.term_at(prev_index) {
            let entries = self.log.batch_from(progress.next);
            progress.next = entries
                .last()
                .map_or(progress.next, |entry| entry.index.next());
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
            }
        } else {
            let recent = progress
                .snapshot_sent
                .is_some_and(|at| now.since(at) < SNAPSHOT_PERIOD);
            if recent {
                return;
            }
            progress.snapshot_sent = Some(now);
            Body::InstallSnapshot(self.log.snapshot().clone())
        };
        self.outputs
            .push(Output::Send(replica.clone(), Message { term, body }));
    }

    pub(super) fn append_reply(
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
            .filter(|_| term == self.hard.term)
        else {
            return;
        };
        progress.heard = now;
        if success {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(index.next());
            progress.snapshot_sent = None;
        } else {
            progress.next = index.next().min(progress.next).max(progress.matched.next());
        }
        let more = progress.next <= last && (!success || progress.matched.next() == progress.next);
        if more {
            self.replicate(now, from);
        }
        self.advance_commit();
    }

    /// Takes note that a replica follows this leader, whatever it has synced.
    pub(super) fn note_follower(&mut self, now: Moment, from: &ReplicaId, term: Term) {
        let current = term == self.hard.term;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(progress) = leader.progress.get_mut(from).filter(|_| current) {
            progress.heard = now;
        }
    }

    /// Commits what a quorum has synced; older terms only together with an entry of this one.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let voters = self.log.voters();
        let mut matched: Vec<_> = voters
            .iter()
            .map(|voter| {
                let other = leader.progress.get(voter).map_or(Index(0), |p| p.matched);
                if *voter == self.own {
                    self.synced
                } else {
                    other
                }
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = matched.get(quorum(voters.len()) - 1).copied() else {
            return;
        };
        if agreed > self.commit && self.log.term_at(agreed) == Some(self.hard.term) {
            self.commit_to(agreed);
        }
    }

    /// Lets a learner that caught up take the place of its old self, one change at a time.
    fn change_voters(&mut self, now: Moment) {
        if !self.is_settled_leader() || self.log.voters_index() > self.commit {
            return;
        }
        let Some(voters) = self.next_voters(now) else {
            return;
        };
        let members: Vec<_> = voters
            .iter()
            .filter(|voter| **voter != self.own)
            .cloned()
            .collect();
        self.append_own(Payload::Voters(voters));
        let next = self.log.last_index();
        if let Role::Leader(leader) = &mut self.role {
            for member in members {
                leader
                    .progress
                    .entry(member)
                    .or_insert(Progress::new(next, now));
            }
        }
        self.replicate_all(now);
    }

    fn next_voters(&self, now: Moment) -> Option<Vec<ReplicaId>> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let voters = self.log.voters();
        if let Some(old) = outlived(voters, leader).or_else(|| self.lost_voter(now, leader)) {
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
            let heard = now.since(progress.heard) < ELECTION_MIN;
            let caught_up = progress.matched == last && progress.matched > Index(0);
            !voters.contains(replica) && caught_up && heard
        });
        let (learner, _) = ready?;
        let mut next = voters.to_vec();
        next.push(learner.clone());
        Some(next)
    }
}

impl Consensus {
    /// Finds the voter that was not heard for longest, where there are enough others.
    fn lost_voter(&self, now: Moment, leader: &Leader) -> Option<ReplicaId> {
        let voters = self.log.voters();
        if voters.len() <= self.enough_voters {
            return None;
        }
        let heard = |voter: &ReplicaId| leader.progress.get(voter).map(|progress| progress.heard);
        let others = voters.iter().filter(|voter| **voter != self.own);
        let oldest = others.min_by_key(|voter| heard(voter))?;
        let lost = heard(oldest).is_some_and(|heard| now.since(heard) > VOTER_LOST);
        lost.then(|| oldest.clone())
    }
}

/// Finds a voter whose VM has another voter that was heard later.
fn outlived(voters: &[ReplicaId], leader: &Leader) -> Option<ReplicaId> {
    let heard = |voter: &ReplicaId| leader.progress.get(voter).map(|progress| progress.heard);
    voters
        .iter()
        .find(|old| {
            voters.iter().any(|new| {
                new.vm == old.vm && new != *old && heard(new) > heard(old) && heard(old).is_some()
            })
        })
        .cloned()
}

impl Progress {
    fn new(next: Index, heard: Moment) -> Self {
        Self {
            next,
            matched: Index(0),
            heard,
            snapshot_sent: None,
        }
    }
}
