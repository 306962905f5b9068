//! Loads of long and short prompts played against the placing rules, and what callers get from it.

use std::time::Duration;

use merlinrudder_core::engine_placement::decision::PlacementDecision;
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::{ServerId, ZoneName};
use merlinrudder_core::time::Moment;

use crate::fleets::{ask, first_event, fleet, long, place, profile, server, short};

#[test]
fn a_long_read_goes_where_no_short_answer_is_written() {
    let mut fleet = fleet(4);
    let mut busy = Vec::new();
    for number in 0..6 {
        let now = Moment::from_millis(number * 200);
        let (placement, _) = place(&mut fleet, now, number, &short());
        first_event(&mut fleet, number);
        busy.push(placement.lead);
    }
    let now = Moment::from_millis(2000);
    let (placement, verdict) = place(&mut fleet, now, 100, &long());
    assert_eq!(verdict, PlacementDecision::Place);
    let touched: Vec<_> = placement.helpers.iter().chain([&placement.lead]).collect();
    for engine in touched {
        assert!(!busy.contains(engine), "{engine} writes short answers");
    }
    assert!(
        placement.external_cost < 0.1,
        "harm {}",
        placement.external_cost
    );
}

#[test]
fn shorts_share_engines_up_to_their_slots() {
    let mut fleet = fleet(6);
    let mut used = std::collections::BTreeMap::new();
    for number in 0..40 {
        let now = Moment::from_millis(number * 100);
        let (placement, _) = place(&mut fleet, now, number, &short());
        first_event(&mut fleet, number);
        *used.entry(placement.lead).or_insert(0) += 1;
    }
    let free = 6 - used.len();
    assert!(free >= 2, "{free} engines are left for long prompts");
    let slots = profile().slots;
    assert!(
        used.values().all(|shorts| *shorts <= slots),
        "crowded: {used:?}"
    );
}

#[test]
fn a_short_is_not_put_behind_a_long_read() {
    let mut fleet = fleet(2);
    let (first, _) = place(&mut fleet, Moment::default(), 1, &long());
    assert!(first.helpers.is_empty() || first.helpers.len() == 1);
    // With both engines reading, the wait is known; with one free, the short goes there.
    if first.helpers.is_empty() {
        let (second, _) = place(&mut fleet, Moment::from_millis(20), 2, &short());
        assert_ne!(second.lead, first.lead);
        assert!(second.predicted_ttft < Duration::from_millis(300));
    }
}

#[test]
fn a_prompt_over_one_memory_sets_memory_aside_that_holds_it() {
    let mut fleet = fleet(8);
    let ask = ask(400_000, 3000, 1000);
    let (placement, verdict) = place(&mut fleet, Moment::default(), 1, &ask);
    assert_eq!(verdict, PlacementDecision::Place);
    let elsewhere = placement.helper_tokens * placement.helpers.len() as u64;
    assert!(placement.helper_tokens > 0 && placement.helper_tokens <= profile().kv_capacity);
    assert!(400_000 - elsewhere + ask.answer_tokens <= profile().kv_capacity);
}

#[test]
fn memory_that_is_promised_is_not_promised_again() {
    let mut fleet = fleet(2);
    let big = ask(200_000, 3000, 1000);
    let (first, _) = place(&mut fleet, Moment::default(), 1, &big);
    let late = Moment::from_millis(60_000);
    first_event(&mut fleet, 1);
    let (second, _) = place(&mut fleet, late, 2, &big);
    assert_ne!(first.lead, second.lead);
}

#[test]
fn in_a_burst_the_longest_prompts_wait_and_give_way_at_last() {
    let mut fleet = fleet(4);
    for number in 0..24 {
        let now = Moment::from_millis(number * 20);
        place(&mut fleet, now, number, &short());
        first_event(&mut fleet, number);
    }
    for number in 100..104 {
        place(&mut fleet, Moment::from_millis(500), number, &long());
    }
    let mut huge = ask(380_000, 3000, 1000);
    let now = Moment::from_millis(600);
    let (_, verdict) = place(&mut fleet, now, 200, &huge);
    assert_eq!(verdict, PlacementDecision::Wait);
    huge.waited = Duration::from_secs(9);
    huge.time_left = Duration::from_secs(1);
    let (_, verdict) = place(&mut fleet, now, 201, &huge);
    assert_ne!(
        verdict,
        PlacementDecision::Wait,
        "an answer must come before the time is over"
    );
}

#[test]
fn a_failing_engine_gets_no_work_while_others_are_well() {
    let mut fleet = fleet(3);
    let now = Moment::from_millis(100);
    let bad = ServerId::from("a-0");
    for _ in 0..3 {
        fleet.record_outcome(now, &bad, ServerOutcome::Failed);
    }
    for number in 0..12 {
        let now = Moment::from_millis(200 + number * 10);
        let (placement, _) = place(&mut fleet, now, number, &short());
        assert_ne!(placement.lead, bad);
    }
}

#[test]
fn two_servers_out_of_reach_speak_for_a_cut_of_their_zone() {
    let mut fleet = Fleet::new(ZoneName::from("a"));
    for number in 0..4 {
        fleet.merge(Moment::default(), server("a", number));
        fleet.merge(Moment::default(), server("b", 10 + number));
    }
    let now = Moment::from_millis(1000);
    for number in [10, 11] {
        let id = ServerId::from(format!("b-{number}"));
        fleet.record_outcome(now, &id, ServerOutcome::Unreachable);
    }
    let later = Moment::from_millis(1000 + 2000);
    for number in 0..40 {
        let (placement, _) = place(&mut fleet, later, number, &short());
        assert!(placement.lead.as_str().starts_with('a'));
    }
    let healed = Moment::from_millis(1000 + 4000);
    assert!(!fleet.health.is_unreachable(healed, &ServerId::from("b-10")));
}
