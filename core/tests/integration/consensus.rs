//! Rules of the consensus state machine, each on a single replica.

use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::consensus::log::Log;
use merlinrudder_core::consensus::message::{
    Body, HardState, Index, Message, Payload, ReplicaId, Term, VoteKind,
};
use merlinrudder_core::consensus::{
    Consensus, ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, HEARTBEAT_PERIOD, LOST_VOTER_TIMEOUT,
    Output,
};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

const START: Moment = Moment::from_millis(1_000);

fn replica(number: u64) -> ReplicaId {
    ReplicaId {
        vm: VmId::from(format!("vm-{number}")),
        incarnation: number,
    }
}

fn open_replica(number: u64, voters: u64) -> Consensus {
    let mut consensus = Consensus::open(
        START,
        replica(number),
        HardState::default(),
        Log::default(),
        number,
    );
    consensus.bootstrap((1..=voters).map(replica).collect());
    consensus.take_outputs();
    consensus
}

/// Elects the replica with its own vote and replica 2's; returns the time.
fn elect(consensus: &mut Consensus) -> Moment {
    let now = START + ELECTION_TIMEOUT_MAX;
    consensus.tick(now);
    for pre_vote in [true, false] {
        let term = Term(1);
        let own = consensus.id().clone();
        let reply = |granted| Message {
            term,
            body: Body::VoteReply { pre_vote, granted },
        };
        consensus.receive(now, &own, reply(true));
        consensus.receive(now, &replica(2), reply(true));
    }
    assert!(consensus.is_leader());
    consensus.take_outputs();
    now
}

#[test]
fn an_entry_is_committed_only_once_a_quorum_has_synced_it() {
    let mut consensus = open_replica(1, 3);
    let now = elect(&mut consensus);
    let command = Payload::Command(Arc::from([7]));
    let (term, index) = consensus.propose(now, command).expect("the replica leads");
    consensus.mark_synced(index, term);
    assert_eq!(
        consensus.commit_index(),
        Index(0),
        "one of three replicas is no quorum"
    );
    let body = Body::AppendReply {
        success: true,
        index,
    };
    consensus.receive(now, &replica(2), Message { term, body });
    assert_eq!(consensus.commit_index(), index);
}

/// Guards against a confirmed manifest that no VM gets until another leader is elected.
#[test]
fn followers_are_told_of_a_commit_before_those_who_wait_are_answered() {
    let mut consensus = open_replica(1, 3);
    let now = elect(&mut consensus);
    let command = Payload::Command(Arc::from([7]));
    let (term, index) = consensus.propose(now, command).expect("the replica leads");
    consensus.mark_synced(index, term);
    let success = true;
    let body = Body::AppendReply { success, index };
    consensus.receive(now, &replica(2), Message { term, body });
    consensus.announce_commit(now);
    let outputs = consensus.take_outputs();
    let told = |output: &&Output| match output {
        Output::Send(_, message) => {
            matches!(message.body, Body::Append { commit, .. } if commit == index)
        }
        _ => false,
    };
    assert_eq!(outputs.iter().filter(told).count(), 2, "{outputs:?}");
    consensus.announce_commit(now);
    assert_eq!(consensus.take_outputs(), []);
}

#[test]
fn a_leader_without_a_quorum_steps_down_and_has_no_lease() {
    let mut consensus = open_replica(1, 3);
    let now = elect(&mut consensus);
    let later = now + ELECTION_TIMEOUT_MIN;
    assert!(!consensus.has_lease(later));
    consensus.tick(later);
    assert!(!consensus.is_leader());
}

#[test]
fn a_replica_that_hears_a_leader_ignores_a_candidate_with_a_higher_term() {
    let mut consensus = open_replica(1, 3);
    let append = Body::Append {
        prev_index: Index(0),
        prev_term: Term(0),
        entries: Vec::new(),
        commit: Index(0),
    };
    consensus.receive(
        START,
        &replica(2),
        Message {
            term: Term(1),
            body: append,
        },
    );
    consensus.take_outputs();
    let vote = Body::VoteRequest {
        kind: VoteKind::Election,
        last_index: Index(9),
        last_term: Term(9),
    };
    consensus.receive(
        START,
        &replica(3),
        Message {
            term: Term(9),
            body: vote,
        },
    );
    assert_eq!(consensus.term(), Term(1));
    assert!(consensus.take_outputs().is_empty());
}

#[test]
fn a_vote_is_sent_only_after_it_is_persisted() {
    let mut consensus = open_replica(1, 3);
    let vote = Body::VoteRequest {
        kind: VoteKind::Election,
        last_index: Index(0),
        last_term: Term(0),
    };
    consensus.receive(
        START,
        &replica(2),
        Message {
            term: Term(3),
            body: vote,
        },
    );
    let outputs = consensus.take_outputs();
    let persisted = outputs.iter().position(|output| {
        matches!(output, Output::Persist(record) if format!("{record:?}").contains("vm-2"))
    });
    let sent = outputs
        .iter()
        .position(|output| matches!(output, Output::SendAfterSync(..)));
    assert!(persisted < sent && persisted.is_some(), "{outputs:?}");
}

/// Returns the voters that remain of four after the last one stopped replying.
fn voters_left(min_voters: usize) -> Vec<ReplicaId> {
    let mut consensus = open_replica(1, 4);
    consensus.allow_voter_removal(min_voters);
    let mut now = START + ELECTION_TIMEOUT_MAX;
    consensus.tick(now);
    for pre_vote in [true, false] {
        for voter in [1, 2, 3] {
            let granted = true;
            let body = Body::VoteReply { pre_vote, granted };
            let term = Term(1);
            consensus.receive(now, &replica(voter), Message { term, body });
        }
    }
    assert!(consensus.is_leader());
    while now < START + ELECTION_TIMEOUT_MAX + LOST_VOTER_TIMEOUT * 2 {
        now = now + HEARTBEAT_PERIOD;
        consensus.tick(now);
        let index = consensus.log().last_index();
        let term = consensus.term();
        consensus.mark_synced(index, term);
        for voter in [2, 3] {
            let success = true;
            let body = Body::AppendReply { success, index };
            consensus.receive(now, &replica(voter), Message { term, body });
        }
        consensus.take_outputs();
    }
    consensus.voters().to_vec()
}

#[test]
fn an_unreachable_voter_is_removed_if_enough_others_remain() {
    let left = voters_left(3);
    assert_eq!(left, (1..=3).map(replica).collect::<Vec<_>>());
}

#[test]
fn an_unreachable_voter_stays_if_all_are_needed() {
    assert_eq!(voters_left(4).len(), 4);
    assert_eq!(voters_left(usize::MAX).len(), 4);
}

/// Guards against entry VMs that wait a heartbeat period for the manifest of a new leader.
#[test]
fn followers_are_told_of_a_commit_at_the_next_tick() {
    let mut consensus = open_replica(1, 3);
    let now = elect(&mut consensus);
    let term = consensus.term();
    let index = Index(1);
    consensus.tick(now);
    consensus.take_outputs();
    consensus.mark_synced(index, term);
    let body = Body::AppendReply {
        success: true,
        index,
    };
    consensus.receive(now, &replica(2), Message { term, body });
    assert_eq!(consensus.commit_index(), index);
    consensus.take_outputs();
    consensus.tick(now + Duration::from_millis(10));
    let announces = |output: &Output| {
        let Output::Send(_, message) = output else {
            return false;
        };
        matches!(message.body, Body::Append { commit, .. } if commit == index)
    };
    assert_eq!(
        consensus
            .take_outputs()
            .iter()
            .filter(|o| announces(o))
            .count(),
        2
    );
}

/// Guards against followers that never replace a leader which died.
///
/// A new cluster's first leader was elected, and replicated its first entry, before the others had
/// heard who the voters are. They followed it, but as nobody knew a voter, nobody campaigned later.
#[test]
fn followers_of_the_first_leader_can_replace_it() {
    let mut leader = open_replica(1, 3);
    let now = START + ELECTION_TIMEOUT_MAX;
    leader.tick(now);
    let mut follower = Consensus::open(now, replica(2), HardState::default(), Log::default(), 2);
    exchange(now, &mut leader, &mut follower);
    assert!(leader.is_leader());
    assert_eq!(follower.leader(), Some(leader.id()));
    follower.take_outputs();
    follower.tick(now + ELECTION_TIMEOUT_MAX);
    let asks = |output: &Output| matches!(output, Output::Send(to, _) if *to == replica(3));
    assert!(follower.take_outputs().iter().any(asks), "it campaigns");
}

/// Delivers the messages of two replicas to themselves and to each other until there are none.
fn exchange(now: Moment, one: &mut Consensus, other: &mut Consensus) {
    loop {
        let mut messages = Vec::new();
        for replica in [&mut *one, &mut *other] {
            let from = replica.id().clone();
            let sent = replica
                .take_outputs()
                .into_iter()
                .filter_map(|output| match output {
                    Output::Send(to, message) | Output::SendAfterSync(to, message) => {
                        Some((from.clone(), to, message))
                    }
                    _ => None,
                });
            messages.extend(sent);
        }
        if messages.is_empty() {
            return;
        }
        for (from, to, message) in messages {
            for replica in [&mut *one, &mut *other] {
                if *replica.id() == to {
                    replica.receive(now, &from, message.clone());
                }
            }
        }
    }
}

/// Guards against a replica that starts and deposes a leader which the others hear.
#[test]
fn a_replica_that_starts_does_not_depose_a_leader_that_another_hears() {
    let mut leader = open_replica(1, 3);
    let now = START + ELECTION_TIMEOUT_MAX;
    leader.tick(now);
    let mut follower = open_replica(2, 3);
    exchange(now, &mut leader, &mut follower);
    let journal = Log::new(follower.log().snapshot().clone(), Vec::new());
    let mut started = Consensus::open(now, replica(3), HardState::default(), journal, 3);
    let term = leader.term();
    for millis in (0..500).step_by(10) {
        started.tick(now + Duration::from_millis(millis));
        exchange(
            now + Duration::from_millis(millis),
            &mut started,
            &mut follower,
        );
    }
    assert_eq!(
        (started.term(), follower.term()),
        (term, term),
        "no new term"
    );
    assert!(!started.is_leader());
}
