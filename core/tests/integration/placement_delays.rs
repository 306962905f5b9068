//! What prompts in prefill are expected to lose when another prompt is placed on their engines.

use std::time::Duration;

use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::engine_placement::prompt_value;
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::time::Moment;

use crate::fleets::{LONG, fleet, placement_request, profile, server, service};

const NOW: Moment = Moment::from_millis(2_000);
/// Largest fraction of its value that a prompt loses by being late.
const LATE_LOSS: f64 = 0.75;

/// Adds a prompt that has waited for a time, on a lead and helpers of zone a.
fn add(fleet: &mut Fleet, engines: &[u16], tokens: u64, objective_ms: u64, waited_ms: u64) {
    let id = |engine: &u16| server("a", *engine).id;
    let key = PlacementKey {
        entry: VmId::from("other"),
        number: tokens + u64::from(engines[0]),
    };
    let placed = PlacedPrompt {
        lead: id(&engines[0]),
        helpers: engines[1..].iter().map(id).collect(),
        helper_tokens: 0,
        prompt_tokens: tokens,
        answer_tokens: 1300,
        received_at: NOW - Duration::from_millis(waited_ms),
        ttft_objective: Duration::from_millis(objective_ms),
        pause_objective: Duration::from_secs(1),
        weight: 1.0,
    };
    fleet.add_placement(NOW, &key, &profile(), &placed);
}

/// Returns what prompts in prefill lose if a prompt is placed without the engines in `tried`.
fn delay_cost(fleet: &Fleet, tokens: u64, tried: &[ServerId]) -> f64 {
    let request = placement_request(tokens, 3000, 1000);
    let chosen = fleet.choose_engines(NOW, &service(), &profile(), &request, tried);
    let (placement, _) = chosen.expect("an engine has room");
    placement.external_cost.delays
}

/// Guards against engines that look taken though their prompt waits for another one.
#[test]
fn a_delay_on_an_engine_that_is_not_the_slowest_of_its_prompt_costs_nothing() {
    let mut fleet = fleet(2);
    add(&mut fleet, &[0, 1], LONG, 3000, 0);
    add(&mut fleet, &[0], LONG - 1, 3000, 0);
    let cost = delay_cost(&fleet, 80_000, &[server("a", 0).id]);
    assert!(cost < 0.01, "cost {cost:.2}");
}

/// Guards against long prompts on many engines that everybody delays for a fraction of the loss.
#[test]
fn a_delay_on_one_of_several_engines_costs_as_much_as_it_delays_the_prompt() {
    let mut fleet = fleet(2);
    add(&mut fleet, &[0, 1], LONG, 3000, 1000);
    let cost = delay_cost(&fleet, 100_000, &[server("a", 0).id]);
    let least = prompt_value(LONG) * 0.4;
    assert!(cost > least, "cost {cost:.2} of at least {least:.2}");
}

/// Guards against a prompt that is charged on each of the engines that it shares with another one.
#[test]
fn a_prompt_that_is_delayed_on_several_engines_loses_its_value_once() {
    let mut fleet = fleet(2);
    add(&mut fleet, &[0, 1], 40_000, 1500, 700);
    let cost = delay_cost(&fleet, 250_000, &[]);
    let most = prompt_value(40_000) * LATE_LOSS;
    assert!(cost > most / 2.0, "cost {cost:.2}");
    assert!(cost <= most, "cost {cost:.2} of at most {most:.2}");
}
