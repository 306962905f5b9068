//! Servers that leave, or that want no requests for a time, by what they answered.

use std::time::Duration;

use merlinrudder_core::directory::{Merged, ServerRecord, ServerStage};
use merlinrudder_core::fleet::{Fleet, NoChoice};
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::hold_off::{HoldOffs, MAX_HOLD_OFF};
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;

use crate::fleets::{fleet, long, place, profile, server, service, short};

const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1000)
}

fn hold(fleet: &mut Fleet, now: Moment, number: u16, time: Duration) {
    let incarnation = server("a", number).incarnation();
    assert!(fleet.hold_back(now, &incarnation, time));
}

fn choose(fleet: &Fleet, now: Moment, tried: &[ServerId]) -> Result<ServerId, NoChoice> {
    fleet.choose_server(now, &service(), tried)
}

/// Guards against the fallback that uses every ready server when no healthy one is left.
#[test]
fn a_server_that_is_held_back_is_chosen_by_no_fallback() {
    let mut fleet = fleet(2);
    hold(&mut fleet, at(1), 0, SECOND * 10);
    for _ in 0..4 {
        fleet.record_outcome(at(1), &server("a", 1).id, ServerOutcome::Unreachable);
    }
    fleet.receives_heartbeats = true;
    let (now, sound) = (at(9), server("a", 1).id);
    assert!(fleet.health.is_suspended(at(1), &sound));
    for now in [at(1), now] {
        assert_eq!(choose(&fleet, now, &[]), Ok(sound.clone()));
        let chosen = fleet.choose_engines(now, &service(), &profile(), &short(), &[]);
        assert_eq!(chosen.expect("an engine").0.lead, sound);
    }
    let tried = [sound];
    assert_eq!(choose(&fleet, now, &tried), Err(NoChoice::NoServer));
    assert!(choose(&fleet, at(11), &tried).is_ok(), "its time is over");
}

/// Guards against helpers among the servers that are held back.
#[test]
fn a_server_that_is_held_back_prefills_no_part() {
    let mut fleet = fleet(6);
    for number in 0..3 {
        hold(&mut fleet, at(1), number, SECOND * 10);
    }
    let (placement, _) = place(&mut fleet, at(2), 1, &long());
    let engines: Vec<_> = placement.helpers.iter().chain([&placement.lead]).collect();
    assert!(engines.len() > 1, "{placement:?}");
    for number in 0..3 {
        assert!(!engines.contains(&&server("a", number).id), "{placement:?}");
    }
}

#[test]
fn while_all_servers_are_held_back_the_shortest_time_left_is_told() {
    let mut fleet = fleet(3);
    for (number, seconds) in [(0, 9), (1, 4), (2, 6)] {
        hold(&mut fleet, at(1), number, SECOND * seconds);
    }
    let left = Err(NoChoice::HeldBack(SECOND * 2));
    assert_eq!(choose(&fleet, at(3), &[]), left);
    assert_eq!(choose(&fleet, at(3), &[server("a", 1).id]), left);
    let engines = fleet.choose_engines(at(3), &service(), &profile(), &long(), &[]);
    assert_eq!(engines.map(|_| ()), Err(NoChoice::HeldBack(SECOND * 2)));
    assert_eq!(choose(&fleet, at(5), &[]), Ok(server("a", 1).id));
    assert_eq!(fleet.all_held_back(at(5), &service()), None);
}

#[test]
fn a_service_without_servers_has_none_that_are_held_back() {
    let fleet = fleet(0);
    assert_eq!(fleet.all_held_back(at(1), &service()), None);
    assert_eq!(choose(&fleet, at(1), &[]), Err(NoChoice::NoServer));
}

#[test]
fn of_several_times_the_last_one_to_end_holds_and_an_hour_is_the_longest() {
    let (mut held, one) = (HoldOffs::default(), server("a", 0).incarnation());
    assert!(held.hold(at(1), &one, SECOND * 10));
    assert!(!held.hold(at(2), &one, SECOND * 3));
    assert!(!held.hold(at(2), &one, Duration::ZERO));
    assert_eq!(held.time_left(at(2), &one.server), Some(SECOND * 9));
    assert_eq!(held.time_left(at(11), &one.server), None);
    assert!(held.hold(at(20), &one, Duration::MAX));
    assert_eq!(held.time_left(at(20), &one.server), Some(MAX_HOLD_OFF));
    assert_eq!(
        (held.count(at(20)), held.count(at(20) + MAX_HOLD_OFF)),
        (1, 0)
    );
}

#[test]
fn a_new_lifetime_of_a_server_is_not_held_back() {
    let mut fleet = fleet(1);
    let first = server("a", 0);
    hold(&mut fleet, at(1), 0, SECOND * 30);
    let second = ServerRecord {
        born: 2,
        ..first.clone()
    };
    fleet.merge(at(2), second.clone());
    assert_eq!(choose(&fleet, at(2), &[]), Ok(first.id.clone()));
    assert!(
        !fleet.hold_back(at(2), &first.incarnation(), SECOND),
        "a late answer"
    );
    assert_eq!(choose(&fleet, at(2), &[]), Ok(first.id));
}

/// Guards against heartbeats that still say ready and bring a leaving server back.
#[test]
fn a_server_that_leaves_by_an_answer_stays_draining_until_its_next_lifetime() {
    let mut fleet = fleet(1);
    let record = server("a", 0);
    let lives = record.incarnation();
    assert_eq!(fleet.directory.drain(at(1), &lives), Merged::Changed);
    assert_eq!(fleet.directory.drain(at(1), &lives), Merged::Stale);
    fleet.merge(
        at(2),
        ServerRecord {
            sequence: 9,
            ..record.clone()
        },
    );
    assert_eq!(choose(&fleet, at(2), &[]), Err(NoChoice::NoServer));
    let stage = fleet.directory.get(&record.id).map(|known| known.stage);
    assert_eq!(stage, Some(ServerStage::Draining));
    fleet.merge(
        at(3),
        ServerRecord {
            born: 2,
            ..record.clone()
        },
    );
    assert_eq!(
        fleet.directory.drain(at(3), &lives),
        Merged::Stale,
        "a late answer"
    );
    assert_eq!(choose(&fleet, at(3), &[]), Ok(record.id));
}
