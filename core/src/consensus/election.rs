//! Leader election: campaigns, votes, pre-votes and election timeouts.

use std::collections::BTreeSet;
use std::time::Duration;

use super::message::{Body, HardState, Index, Message, ReplicaId, Term, VoteKind};
use super::{
    Consensus, EARLY_CAMPAIGN_DELAY, EARLY_CAMPAIGN_STEP, ELECTION_TIMEOUT_MAX,
    ELECTION_TIMEOUT_MIN, MAX_LEADERLESS_ELECTIONS, Output, Role, VOTE_SYNC_TIMEOUT, quorum_size,
};
use crate::time::{Moment, duration_millis};

impl Consensus {
    /// Whether to drop a vote request because a leader is active.
    ///
    /// A replica that comes back from a partition must not depose a leader that others can reach.
    /// A vote request of a leadership transfer is never dropped.
    pub(super) fn should_ignore(&self, now: Moment, message: &Message) -> bool {
        let Body::VoteRequest { kind, .. } = message.body else {
            return false;
        };
        let leader_active = self
            .leader_contact
            .is_some_and(|contact| now.since(contact) < ELECTION_TIMEOUT_MIN);
        leader_active && message.term > self.hard_state.term && kind != VoteKind::LeadershipTransfer
    }

    /// Counts an election that this replica started or voted in.
    ///
    /// While no leader results, each one doubles the jitter of the election timeout, until a slow
    /// disk can sync a vote between two elections. A network partition has no such effect, since no
    /// pre-vote is won in it.
    fn count_election(&mut self) {
        self.leaderless_elections = (self.leaderless_elections + 1).min(MAX_LEADERLESS_ELECTIONS);
    }

    /// Restarts the election timeout with a new random jitter.
    pub(super) fn reset_election(&mut self, now: Moment) {
        let timeout = if self.campaigns_early(now) {
            self.early_timeout()
        } else {
            self.ordinary_timeout()
        };
        self.election_due = now + timeout;
    }

    fn ordinary_timeout(&mut self) -> Duration {
        let range = ELECTION_TIMEOUT_MAX.saturating_sub(ELECTION_TIMEOUT_MIN);
        ELECTION_TIMEOUT_MIN + self.draw_below(range * (1 << self.leaderless_elections))
    }

    /// Returns the timeout of a replica that starts and hears of no leader.
    ///
    /// After a loss of all power nobody leads, and callers wait. The voters campaign one after the
    /// other, so that votes seldom split, and again as soon if nobody wins. A leader that is alive is
    /// not deposed: the replicas that hear it do not grant the pre-vote.
    fn early_timeout(&mut self) -> Duration {
        let earlier = self.log.voters().iter().filter(|voter| **voter < self.id);
        let rank = u32::try_from(earlier.count()).unwrap_or(u32::MAX);
        let step = EARLY_CAMPAIGN_STEP * (1 << self.leaderless_elections);
        let jitter = self.draw_below(step / 4);
        EARLY_CAMPAIGN_DELAY + step.saturating_mul(rank) + jitter
    }

    /// Whether this replica has restarted a short time ago and has had no contact to a leader.
    fn campaigns_early(&self, now: Moment) -> bool {
        self.leader_contact.is_none() && now < self.early_until
    }

    fn draw_below(&mut self, limit: Duration) -> Duration {
        Duration::from_millis(self.rng.u64(..=duration_millis(limit)))
    }

    /// Whether this replica is a candidate whose own vote is not synced yet.
    ///
    /// Campaigning again would restart the sync with a new term, so a slow disk would never finish.
    pub(super) fn awaits_own_vote(&self, now: Moment) -> bool {
        let Role::Candidate {
            pre_vote: false,
            votes,
        } = &self.role
        else {
            return false;
        };
        !votes.contains(&self.id) && now.since(self.campaign_start) < VOTE_SYNC_TIMEOUT
    }

    /// Extends the election timeout by the time that this replica's vote took to sync.
    ///
    /// The disks of the other voters may need as long.
    fn extend_election_for_sync(&mut self, now: Moment) {
        let sync = now.since(self.campaign_start).min(VOTE_SYNC_TIMEOUT);
        self.reset_election(now);
        self.election_due = self.election_due + sync;
    }

    /// Starts an election, or a pre-vote that asks whether an election could be won.
    pub(super) fn campaign(&mut self, now: Moment, kind: VoteKind) {
        let pre_vote = kind == VoteKind::PreVote;
        if !pre_vote {
            self.count_election();
        }
        self.reset_election(now);
        if !self.is_voter() {
            return;
        }
        self.leader = None;
        let term = Term(self.hard_state.term.0 + 1);
        if !pre_vote {
            self.campaign_start = now;
            self.hard_state = HardState {
                term,
                vote: Some(self.id.clone()),
            };
            self.persist_hard_state();
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
        for voter in self.other_voters() {
            let message = Message {
                term,
                body: body.clone(),
            };
            self.send_vote(voter, message, pre_vote);
        }
        let id = self.id.clone();
        // The replica's own vote counts once it is synced, so it is sent as a message to itself.
        let reply = Message {
            term,
            body: Body::VoteReply {
                pre_vote,
                granted: true,
            },
        };
        self.send_vote(id, reply, pre_vote);
    }

    /// Sends a vote request or reply once the vote is synced.
    ///
    /// A pre-vote changes no persistent state, so it is sent at once.
    fn send_vote(&mut self, to: ReplicaId, message: Message, pre_vote: bool) {
        let output = if pre_vote {
            Output::Send(to, message)
        } else {
            Output::SendAfterSync(to, message)
        };
        self.outputs.push(output);
    }

    /// Grants a vote to a candidate with an up-to-date log, or rejects it.
    pub(super) fn handle_vote_request(
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
            term > self.hard_state.term && up_to_date
        } else {
            term == self.hard_state.term && up_to_date && self.may_vote_for(from)
        };
        if granted && !pre_vote {
            self.hard_state.vote = Some(from.clone());
            self.count_election();
            self.persist_hard_state();
            self.reset_election(now);
        }
        if granted && pre_vote && self.campaigns_early(now) {
            // The candidate is about to ask for votes, which this replica would split.
            self.election_due = self.election_due.max(now + EARLY_CAMPAIGN_STEP);
        }
        // A rejection carries this replica's term, so that an outdated candidate can catch up.
        let term = if granted { term } else { self.hard_state.term };
        let message = Message {
            term,
            body: Body::VoteReply { pre_vote, granted },
        };
        self.send_vote(from.clone(), message, pre_vote);
    }

    fn may_vote_for(&self, candidate: &ReplicaId) -> bool {
        self.hard_state
            .vote
            .as_ref()
            .is_none_or(|vote| vote == candidate)
    }

    /// Counts a granted vote; a quorum of them wins the pre-vote or the election.
    pub(super) fn handle_vote_reply(
        &mut self,
        now: Moment,
        from: &ReplicaId,
        term: Term,
        pre_vote: bool,
        granted: bool,
    ) {
        let expected_term = if pre_vote {
            Term(self.hard_state.term.0 + 1)
        } else {
            self.hard_state.term
        };
        let voters = self.log.voters();
        let Role::Candidate {
            pre_vote: current_pre_vote,
            votes,
        } = &mut self.role
        else {
            return;
        };
        if !granted
            || *current_pre_vote != pre_vote
            || term != expected_term
            || !voters.contains(from)
        {
            return;
        }
        votes.insert(from.clone());
        let counted = voters.iter().filter(|voter| votes.contains(voter)).count();
        if counted < quorum_size(voters.len()) {
            if !pre_vote && *from == self.id {
                self.extend_election_for_sync(now);
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
