//! Engine placement for mixed loads of long and short prompts.

use std::time::Duration;

use merlinrudder_core::directory::ServerRecord;
use merlinrudder_core::engine_placement::PlacementRequest;
use merlinrudder_core::engine_placement::decision::PlacementDecision;
use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::fleet::{Fleet, NoChoice};
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::{ServerId, VmId, ZoneName};
use merlinrudder_core::rate_limit::limits::{Observation, Rate};
use merlinrudder_core::time::Moment;

use crate::fleets::{
    fleet, long, mark_prefilled, place, placement_request, profile, rates, server, service, short,
};

#[test]
fn a_long_prompt_avoids_engines_that_decode_short_answers() {
    let mut fleet = fleet(4);
    let mut busy = Vec::new();
    for number in 0..6 {
        let now = Moment::from_millis(number * 200);
        let (placement, _) = place(&mut fleet, now, number, &short());
        mark_prefilled(&mut fleet, number);
        busy.push(placement.lead);
    }
    let now = Moment::from_millis(2000);
    let (placement, decision) = place(&mut fleet, now, 100, &long());
    assert_eq!(decision, PlacementDecision::Place);
    let used: Vec<_> = placement.helpers.iter().chain([&placement.lead]).collect();
    for engine in used {
        assert!(!busy.contains(engine), "{engine} decodes short answers");
    }
    assert!(
        placement.external_cost.total() < 0.1,
        "external cost {:?}",
        placement.external_cost
    );
}

#[test]
fn short_prompts_share_engines_up_to_their_slots() {
    let mut fleet = fleet(6);
    let mut used = std::collections::BTreeMap::new();
    for number in 0..40 {
        let now = Moment::from_millis(number * 100);
        let (placement, _) = place(&mut fleet, now, number, &short());
        mark_prefilled(&mut fleet, number);
        *used.entry(placement.lead).or_insert(0) += 1;
    }
    let free = 6 - used.len();
    assert!(free >= 2, "only {free} engines are free for long prompts");
    let slots = profile().slots;
    assert!(
        used.values().all(|shorts| *shorts <= slots),
        "more short prompts than slots: {used:?}"
    );
}

#[test]
fn a_short_prompt_is_not_queued_behind_a_long_prefill() {
    let mut fleet = fleet(2);
    let (first, _) = place(&mut fleet, Moment::default(), 1, &long());
    assert!(first.helpers.is_empty() || first.helpers.len() == 1);
    // If both engines prefill, the wait is known. If one is free, the short prompt goes there.
    if first.helpers.is_empty() {
        let (second, _) = place(&mut fleet, Moment::from_millis(20), 2, &short());
        assert_ne!(second.lead, first.lead);
        assert!(second.predicted_ttft < Duration::from_millis(300));
    }
}

#[test]
fn a_prompt_larger_than_one_kv_cache_reserves_memory_on_helpers() {
    let mut fleet = fleet(8);
    let request = placement_request(400_000, 3000, 1000);
    let (placement, decision) = place(&mut fleet, Moment::default(), 1, &request);
    assert_eq!(decision, PlacementDecision::Place);
    let on_helpers = placement.helper_tokens * placement.helpers.len() as u64;
    assert!(placement.helper_tokens > 0 && placement.helper_tokens <= profile().kv_capacity);
    assert!(400_000 - on_helpers + request.answer_tokens <= profile().kv_capacity);
}

#[test]
fn reserved_memory_is_not_reserved_twice() {
    let mut fleet = fleet(2);
    let big = placement_request(200_000, 3000, 1000);
    let (first, _) = place(&mut fleet, Moment::default(), 1, &big);
    let late = Moment::from_millis(60_000);
    mark_prefilled(&mut fleet, 1);
    let (second, _) = place(&mut fleet, late, 2, &big);
    assert_ne!(first.lead, second.lead);
}

#[test]
fn in_a_burst_the_longest_prompts_wait_and_are_finally_decided() {
    let mut fleet = fleet(4);
    for number in 0..24 {
        let now = Moment::from_millis(number * 20);
        place(&mut fleet, now, number, &short());
        mark_prefilled(&mut fleet, number);
    }
    for number in 100..104 {
        place(&mut fleet, Moment::from_millis(500), number, &long());
    }
    let mut huge = placement_request(380_000, 3000, 1000);
    let now = Moment::from_millis(600);
    let waits = |request: &PlacementRequest| {
        let chosen = fleet.choose_engines(now, &service(), &profile(), request, &[]);
        match chosen {
            Ok((_, decision)) => matches!(decision, PlacementDecision::Wait(_)),
            Err(reason) => reason == NoChoice::AwaitRoom,
        }
    };
    assert!(waits(&huge));
    huge.waited = Duration::from_secs(9);
    huge.time_left = Duration::from_secs(1);
    assert!(
        !waits(&huge),
        "the prompt must be placed or refused before its deadline"
    );
}

#[test]
fn a_failing_engine_gets_no_work_while_others_are_healthy() {
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
fn two_unreachable_servers_exclude_their_zone() {
    let mut fleet = Fleet::new(ZoneName::from("a"), rates());
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
    let recovered = Moment::from_millis(1000 + 4000);
    assert!(
        !fleet
            .health
            .is_unreachable(recovered, &ServerId::from("b-10"))
    );
}

#[test]
fn engines_with_limits_get_no_part_of_a_split_prompt() {
    let mut fleet = fleet(4);
    let now = Moment::from_millis(2000);
    for number in 0..2 {
        limit(&mut fleet, now, &server("a", number));
        fleet.rates.request(now, &server("a", number).id);
    }
    let (placement, _) = place(&mut fleet, now, 100, &long());
    assert!(!placement.helpers.is_empty(), "{placement:?}");
    for engine in placement.helpers.iter().chain([&placement.lead]) {
        assert!(!fleet.rates.is_limited(engine), "{placement:?}");
    }
}

#[test]
fn an_engine_with_a_limit_is_chosen_only_with_a_permit() {
    let mut fleet = fleet(1);
    let (limited, now) = (server("a", 0), Moment::from_millis(5000));
    limit(&mut fleet, now, &limited);
    let choose = |fleet: &Fleet, now| fleet.choose_server(now, &service(), &[]);
    assert_eq!(choose(&fleet, now), Err(NoChoice::RateLimited));
    fleet.rates.set_vms(std::iter::empty(), Some(1));
    fleet.rates.request(now, &limited.id);
    let turn = now + Duration::from_millis(600);
    assert_eq!(choose(&fleet, now), Err(NoChoice::RateLimited));
    assert_eq!(choose(&fleet, turn), Ok(limited.id.clone()));
    fleet.rates.spend(turn, &limited.id);
    assert_eq!(choose(&fleet, turn), Err(NoChoice::RateLimited));
    fleet.merge(
        turn,
        ServerRecord {
            born: 2,
            ..limited.clone()
        },
    );
    assert_eq!(choose(&fleet, turn), Ok(limited.id));
}

/// Lets a server name a limit of two requests a second.
fn limit(fleet: &mut Fleet, now: Moment, server: &ServerRecord) {
    let observation = Observation {
        incarnation: server.incarnation(),
        rate: Rate::new(2.0),
        requested_at: now,
        heard_at: now,
    };
    fleet.rates.observe(now, observation);
}

/// Adds a prompt that another entry VM placed on a lead and helpers.
fn add_of_other_vm(fleet: &mut Fleet, number: u64, lead: u16, helpers: &[ServerId], tokens: u64) {
    let placed = PlacedPrompt {
        lead: server("a", lead).id,
        helpers: helpers.to_vec(),
        helper_tokens: if helpers.is_empty() { 0 } else { 100 },
        prompt_tokens: tokens,
        answer_tokens: 1000,
        received_at: Moment::from_millis(1000),
        ttft_objective: Duration::from_secs(3),
        pause_objective: Duration::from_secs(1),
        weight: 1.0,
    };
    let entry = VmId::from("other");
    let key = PlacementKey { entry, number };
    fleet.add_placement(Moment::from_millis(1000), &key, &profile(), &placed);
    fleet.loads.mark_prefilled(&key);
}

/// Guards against prompts that are sent to an engine which must reject them, until they are refused.
#[test]
fn a_prompt_larger_than_an_engine_waits_while_no_engines_have_room_together() {
    let mut fleet = fleet(4);
    for number in 0..8 {
        add_of_other_vm(&mut fleet, number.into(), number % 4, &[], 100_000);
    }
    let now = Moment::from_millis(1000);
    let choose = |request: &PlacementRequest| {
        let chosen = fleet.choose_engines(now, &service(), &profile(), request, &[]);
        chosen.map(|(placement, _)| placement.helpers.len())
    };
    let larger = placement_request(300_000, 3000, 1000);
    assert_eq!(choose(&larger), Err(NoChoice::AwaitRoom));
    let late = PlacementRequest {
        waited: Duration::from_secs(8),
        time_left: Duration::from_secs(7),
        ..larger
    };
    assert_eq!(choose(&late), Err(NoChoice::NoRoom), "too late");
    let too_large = placement_request(2_000_000, 3000, 1000);
    assert_eq!(choose(&too_large), Err(NoChoice::NoRoom), "never fits");
}

/// Guards against parts that are sent to engines which help as many prompts as they have slots.
#[test]
fn an_engine_that_helps_as_many_prompts_as_it_has_slots_gets_no_further_part() {
    let mut fleet = fleet(12);
    let full: Vec<_> = (0..6).map(|number| server("a", number).id).collect();
    for number in 0..u64::from(profile().slots) {
        add_of_other_vm(&mut fleet, number, 11, &full, 2_000);
    }
    let later = Moment::from_millis(5000);
    let request = placement_request(190_000, 3000, 1000);
    let (placement, _) = place(&mut fleet, later, 100, &request);
    assert!(!placement.helpers.is_empty());
    let rejected = placement.helpers.iter().filter(|id| full.contains(id));
    assert_eq!(rejected.count(), 0, "{placement:?}");
}

/// Guards against prompts that are refused for good while engines are left out for a moment only.
#[test]
fn a_prompt_waits_for_engines_that_are_left_out_for_a_moment() {
    let mut fleet = fleet(3);
    let now = Moment::from_millis(1000);
    for number in 0..2 {
        let engine = server("a", number).id;
        fleet.record_outcome(now, &engine, ServerOutcome::Full);
    }
    let larger = placement_request(300_000, 3000, 1000);
    let chosen = fleet.choose_engines(now, &service(), &profile(), &larger, &[]);
    assert_eq!(chosen.err(), Some(NoChoice::AwaitRoom));
}

/// Guards against a prompt that waits for a split that is never tried.
#[test]
fn a_prompt_that_fits_no_number_of_parts_is_refused_at_once() {
    let fleet = fleet(7);
    let now = Moment::from_millis(1000);
    let larger = placement_request(1_400_000, 3000, 1000);
    let chosen = fleet.choose_engines(now, &service(), &profile(), &larger, &[]);
    assert_eq!(chosen.err(), Some(NoChoice::NoRoom));
}
