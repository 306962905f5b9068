//! Decisions on long prompts that are predicted late.

use std::time::Duration;

use merlinrudder_core::engine_placement::decision::{
    PlacementDecision, Pressure, decide_placement,
};
use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::engine_placement::{ExternalCost, Placement, PlacementRequest};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::time::Moment;

use crate::fleets::{fleet, mark_prefilled, place, placement_request, profile, server, short};

/// Returns the decision on a late prompt that is weighed while a fraction of the engines prefill.
fn decide_late(prompt_tokens: u64, delays: f64, busy_fraction: f64) -> PlacementDecision {
    let placement = Placement {
        lead: ServerId::from("a-0"),
        helpers: Vec::new(),
        helper_tokens: 0,
        predicted_ttft: Duration::from_secs(4),
        nominal_ttft: Duration::from_secs(4),
        external_cost: ExternalCost {
            delays,
            pauses: 0.0,
        },
    };
    let pressure = Pressure {
        busy_fraction,
        taken_fraction: 0.3,
    };
    let request = placement_request(prompt_tokens, 3000, 1000);
    decide_placement(&profile(), &request, &placement, pressure)
}

/// Guards against a cost of engine time that exceeds the gain of a late prompt by its length alone.
#[test]
fn a_late_prompt_that_costs_others_nothing_is_placed_while_engines_prefill() {
    for prompt_tokens in [130_000, 200_000, 350_000, 600_000] {
        for busy_fraction in [0.3, 0.6, 1.0] {
            let decision = decide_late(prompt_tokens, 0.0, busy_fraction);
            let case = format!("{prompt_tokens} tokens at {busy_fraction}");
            assert_eq!(decision, PlacementDecision::Place, "{case}");
        }
    }
}

/// Adds an answer that an engine of zone a decodes.
fn add_answer(fleet: &mut Fleet, engine: u16, prompt: &PlacementRequest) {
    let key = PlacementKey {
        entry: VmId::from("entry"),
        number: u64::from(engine),
    };
    let placed = PlacedPrompt {
        lead: server("a", engine).id,
        helpers: Vec::new(),
        helper_tokens: 0,
        prompt_tokens: prompt.prompt_tokens,
        answer_tokens: prompt.answer_tokens,
        received_at: Moment::default(),
        ttft_objective: prompt.ttft_objective,
        pause_objective: prompt.pause_objective,
        weight: prompt.weight,
    };
    fleet.add_placement(Moment::default(), &key, &profile(), &placed);
    mark_prefilled(fleet, u64::from(engine));
}

/// Guards against late prompts that hold few engines for seconds, into the load that follows.
#[test]
fn a_late_prompt_takes_more_engines_than_it_needs_for_its_memory() {
    let mut fleet = fleet(6);
    for engine in 0..4 {
        add_answer(&mut fleet, engine, &short());
    }
    let late = PlacementRequest {
        waited: Duration::from_secs(4),
        ..placement_request(350_000, 3000, 1000)
    };
    let (placement, _) = place(&mut fleet, Moment::from_millis(100), 10, &late);
    assert!(placement.helpers.len() > 1, "{placement:?}");
}

/// Guards against long answers that are spread over all engines, where each prefill pauses one.
#[test]
fn a_long_prompt_leads_on_an_engine_that_decodes_another_long_answer() {
    let mut fleet = fleet(8);
    add_answer(&mut fleet, 3, &placement_request(45_000, 3000, 3000));
    let now = Moment::from_millis(100);
    let request = placement_request(130_000, 3000, 1000);
    let (placement, _) = place(&mut fleet, now, 10, &request);
    assert_eq!(placement.lead, server("a", 3).id);
}
