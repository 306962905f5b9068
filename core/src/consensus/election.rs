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
        let Body::VoteRequest { kind, .. } = message.body else {
            return false;
        };
        let heard = self
            .leader_contact
            .is_some_and(|heard| now.since(heard) < ELECTION_MIN);
        heard && message.term > self.hard.term && kind != VoteKind::LeadershipTransfer
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
        let Role::Candidate {
            pre_vote: false,
            votes,
        } = &self.role
        else {
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
        let pre_vote = kind == VoteKind::PreVote;
        if !pre_vote {
            self.note_election();
        }
        self.reset_election(now);
        if !self.is_voter() {
            return;
        }
        self.leader = None;
        let term = Term(self.hard.term.0 + 1);
        if !pre_vote {
            self.campaigned = now;
            self.hard = HardState {
                term,
                vote: Some(self.own.clone()),
            };
            self.persist_hard();
        }
        self.role = Role::Candidate {
            pre_vote,
            votes: BTreeSet::new(),
        };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let body = Body::VoteRequest {
            kind,
            last_index,
            last_term,
        };
        for peer in self.peers() {
            let message = Message {
                term,
                body: body.clone(),
            };
            self.send_vote(peer, message, pre_vote);
        }
        let own = self.own.clone();
        // The own vote counts once it is synced: the reply to oneself takes the synced path too.
        let reply = Message {
            term,
            body: Body::VoteReply {
                pre_vote,
                granted: true,
            },
        };
        self.send_vote(own, reply, pre_vote);
    }

    /// Sends a message about a vote once the vote is synced; a pre-vote promises nothing to keep.
    fn send_vote(&mut self, to: ReplicaId, message: Message, pre_vote: bool) {
        let output = if pre_vote {
            Output::Send(to, message)
        } else {
            Output::SendAfterSync(to, message)
        };
        self.outputs.push(output);
    }

    pub(super) fn answer_vote(
        &mut self,
        now: Moment,
        from: &ReplicaId,
        term: Term,
        pre_vote: bool,
        last_index: Index,
        last_term: Term,
    ) {
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let granted = if pre_vote {
            term > self.hard.term && up_to_date
        } else {
            term == self.hard.term && up_to_date && self.may_vote_for(from)
        };
        if granted && !pre_vote {
            self.hard.vote = Some(from.clone());
            self.note_election();
            self.persist_hard();
            self.reset_election(now);
        }
        // A refusal carries the own term, so that a candidate that is behind learns it.
        let term = if granted { term } else { self.hard.term };
        let message = Message {
            term,
            body: Body::VoteReply { pre_vote, granted },
        };
        self.send_vote(from.clone(), message, pre_vote);
    }

    fn may_vote_for(&self, candidate: &ReplicaId) -> bool {
        self.hard.vote.as_ref().is_none_or(|vote| vote == candidate)
    }

    pub(super) fn count_vote(
        &mut self,
        now: Moment,
        from: &ReplicaId,
        term: Term,
        pre_vote: bool,
        granted: bool,
    ) {
        let asked = if pre_vote {
            Term(self.hard.term.0 + 1)
        } else {
            self.hard.term
        };
        let voters = self.log.voters();
        let Role::Candidate {
            pre_vote: asking,
            votes,
        } = &mut self.role
        else {
            return;
        };
        if !granted || *asking != pre_vote || term != asked || !voters.contains(from) {
            return;
        }
        votes.insert(from.clone());
        let counted = voters.iter().filter(|voter| votes.contains(voter)).count();
        if counted < quorum(voters.len()) {
            if !pre_vote && *from == self.own {
                self.wait_for_voters(now);
            }
            return;
        }
        if pre_vote {
            self.campaign(now, VoteKind::Election);
        } else {
            self.become_leader(now);
        }
    }
}
