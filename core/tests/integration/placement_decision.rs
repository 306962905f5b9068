//! Decisions on long prompts that are predicted late.

use std::time::Duration;

use merlinrudder_core::engine_placement::decision::{
    PlacementDecision, Pressure, decide_placement,
};
use merlinrudder_core::engine_placement::{ExternalCost, Placement};
use merlinrudder_core::names::ServerId;

use crate::fleets::{placement_request, profile};

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
