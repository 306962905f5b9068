//! Elections: who campaigns, who gets a vote, and who must not disturb.

use std::collections::BTreeSet;
use std::time::Duration;

use super::message::{Body, HardState, Index, Message, ReplicaId, Term, VoteKind};
use super::{
    CANDIDACY_MAX, Consensus, ELECTION_MAX, ELECTION_MIN, MAX_UNDECIDED, Output, Role, quorum,
};
use crate::time::{Moment, duration_millis};

impl Consensus {
    /// Whether a message must not disturb this replica.
    ///
    /// While a leader is heard, a vote request of a replica that came back from a cut is ignored.
    pub(super) fn ignores(&self, now: Moment, message: &Message) -> bool {
        let Body::Vote { kind, .. } = message.body else {
            return false;
        };
        let heard = self
            .leader_heard
            .is_some_and(|heard| now.since(heard) < ELECTION_MIN);
        heard && message.term > self.hard.term && kind != VoteKind::Handover
    }

    /// Takes note of an election that this replica asked for or voted in.
    ///
    /// While none gives a leader, the election times spread until a slow disk fits between them. A cut
    /// does not spread them, since no pre-vote is won in it.
    fn note_election(&mut self) {
        self.undecided = (self.undecided + 1).min(MAX_UNDECIDED);
    }

    pub(super) fn reset_election(&mut self, now: Moment) {
        let spread = duration_millis(ELECTION_MAX.saturating_sub(ELECTION_MIN)) << self.undecided;
        let extra = Duration::from_millis(self.rng.u64(..=spread));
        self.election_due = now + ELECTION_MIN + extra;
    }

    /// Whether this replica is a candidate whose own vote is not synced yet.
    ///
    /// Campaigning anew would start the same sync again, so a slow disk would never finish one.
    pub(super) fn awaits_own_vote(&self, now: Moment) -> bool {
        let Role::Candidate { pre: false, votes } = &self.role else {
            return false;
        };
        !votes.contains(&self.own) && now.since(self.campaigned) < CANDIDACY_MAX
    }

    /// Gives the voters the time for a sync that the own disk took for one.
    fn wait_for_voters(&mut self, now: Moment) {
        let sync = now.since(self.campaigned).min(CANDIDACY_MAX);
        self.reset_election(now);
        self.election_due = self.election_due + sync;
    }

    /// Starts an election, or first asks whether one could be won.
    pub(super) fn campaign(&mut self, now: Moment, kind: VoteKind) {
        let pre = kind == VoteKind::Pre;
        if !pre {
            self.note_election();
        }
        self.reset_election(now);
        if !self.is_voter() {
            return;
        }
        self.leader = None;
        let term = Term(self.hard.term.0 + 1);
        if !pre {
            self.campaigned = now;
            self.hard = HardState {
                term,
                vote: Some(self.own.clone()),
            };
            self.persist_hard();
        }
        self.role = Role::Candidate {
            pre,
            votes: BTreeSet::new(),
        };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let body = Body::Vote {
            kind,
            last_index,
            last_term,
        };
        for peer in self.peers() {
            let message = Message {
                term,
                body: body.clone(),
            };
            self.send_vote(peer, message, pre);
        }
        let own = self.own.clone();
        // The own vote counts once it is synced: the reply to oneself takes the synced path too.
        let reply = Message {
            term,
            body: Body::VoteReply { pre, granted: true },
        };
        self.send_vote(own, reply, pre);
    }

    /// Sends a message about a vote once the vote is synced; a pre-vote promises nothing to keep.
    fn send_vote(&mut self, to: ReplicaId, message: Message, pre: bool) {
        let output = if pre {
            Output::Send(to, message)
        } else {
            Output::SendSynced(to, message)
        };
        self.outputs.push(output);
    }

    pub(super) fn answer_vote(
        &mut self,
        now: Moment,
        from: &ReplicaId,
        term: Term,
        pre: bool,
        last_index: Index,
        last_term: Term,
    ) {
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let granted = if pre {
            term > self.hard.term && up_to_date
        } else {
            term == self.hard.term && up_to_date && self.may_vote_for(from)
        };
        if granted && !pre {
            self.hard.vote = Some(from.clone());
            self.note_election();
            self.persist_hard();
            self.reset_election(now);
        }
        // A refusal carries the own term, so that a candidate that is behind learns it.
        let term = if granted { term } else { self.hard.term };
        let message = Message {
            term,
            body: Body::VoteReply { pre, granted },
        };
        self.send_vote(from.clone(), message, pre);
    }

    fn may_vote_for(&self, candidate: &ReplicaId) -> bool {
        self.hard.vote.as_ref().is_none_or(|vote| vote == candidate)
    }

    pub(super) fn count_vote(
        &mut self,
        now: Moment,
        from: &ReplicaId,
        term: Term,
        pre: bool,
        granted: bool,
    ) {
        let asked = if pre {
            Term(self.hard.term.0 + 1)
        } else {
            self.hard.term
        };
        let voters = self.log.voters();
        let Role::Candidate { pre: asking, votes } = &mut self.role else {
            return;
        };
        if !granted || *asking != pre || term != asked || !voters.contains(from) {
            return;
        }
        votes.insert(from.clone());
        let counted = voters.iter().filter(|voter| votes.contains(voter)).count();
        if counted < quorum(voters.len()) {
            if !pre && *from == self.own {
                self.wait_for_voters(now);
            }
            return;
        }
        if pre {
            self.campaign(now, VoteKind::Election);
        } else {
            self.become_leader(now);
        }
    }
}
