//! Share of the placements that prompts of each length get.

use std::time::Duration;

use merlinrudder_core::engine_placement::decision::{PlacementDecision, decide_placement};
use merlinrudder_core::engine_placement::shares::{LengthDecision, LengthShares, is_final_refusal};
use merlinrudder_core::engine_placement::{
    ExternalCost, Placement, PlacementRequest, prompt_value,
};
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;

use crate::fleets::{long, placement_request, profile, service};

const MIDDLE_TOKENS: u64 = 150_000;
const LONG_TOKENS: u64 = 450_000;

fn record(shares: &mut LengthShares, now: Moment, tokens: u64, decision: LengthDecision, n: u32) {
    for _ in 0..n {
        shares.record(now, &service(), &profile(), tokens, decision);
    }
}

fn is_short(shares: &LengthShares, now: Moment, tokens: u64) -> bool {
    shares.is_short_of_service(now, &service(), tokens)
}

/// Guards against refusals of one length that add up to nothing.
#[test]
fn a_length_that_is_refused_more_often_than_others_is_helped() {
    let now = Moment::from_millis(10);
    let mut shares = LengthShares::default();
    record(&mut shares, now, MIDDLE_TOKENS, LengthDecision::Placed, 40);
    record(&mut shares, now, LONG_TOKENS, LengthDecision::Placed, 6);
    assert!(!is_short(&shares, now, LONG_TOKENS));
    record(&mut shares, now, LONG_TOKENS, LengthDecision::Refused, 8);
    assert!(is_short(&shares, now, LONG_TOKENS));
    assert!(!is_short(&shares, now, MIDDLE_TOKENS));
    record(&mut shares, now, LONG_TOKENS, LengthDecision::Placed, 20);
    assert!(!is_short(&shares, now, LONG_TOKENS));
}

/// Guards against help for all lengths when all are refused alike.
#[test]
fn lengths_that_are_refused_alike_get_no_help() {
    let now = Moment::from_millis(10);
    let mut shares = LengthShares::default();
    for tokens in [MIDDLE_TOKENS, LONG_TOKENS] {
        record(&mut shares, now, tokens, LengthDecision::Placed, 20);
        record(&mut shares, now, tokens, LengthDecision::Refused, 20);
    }
    assert!(!is_short(&shares, now, MIDDLE_TOKENS));
    assert!(!is_short(&shares, now, LONG_TOKENS));
}

/// Guards against a burst of refusals that decides for hours.
#[test]
fn refusals_count_less_with_time() {
    let then = Moment::from_millis(10);
    let later = Moment::from_millis(600_000);
    let mut shares = LengthShares::default();
    record(&mut shares, then, LONG_TOKENS, LengthDecision::Refused, 50);
    record(
        &mut shares,
        later,
        MIDDLE_TOKENS,
        LengthDecision::Placed,
        40,
    );
    record(&mut shares, later, LONG_TOKENS, LengthDecision::Placed, 8);
    assert!(!is_short(&shares, later, LONG_TOKENS));
}

/// Guards against callers that are counted as refused although they come back.
#[test]
fn only_the_refusal_of_a_caller_that_came_back_is_final() {
    assert!(!is_final_refusal(Duration::from_millis(20)));
    assert!(is_final_refusal(Duration::from_millis(2500)));
}

/// Guards against a share that the rule records and does not keep.
#[test]
fn a_late_prompt_of_a_length_short_of_its_share_is_placed_where_others_would_lose_more() {
    let placement = Placement {
        lead: ServerId::from("a-0"),
        helpers: Vec::new(),
        helper_tokens: 0,
        predicted_ttft: Duration::from_secs(5),
        nominal_ttft: Duration::from_secs(5),
        external_cost: ExternalCost {
            delays: 0.0,
            pauses: prompt_value(LONG_TOKENS) / 2.0,
        },
    };
    let decide = |is_underserved| {
        let request = PlacementRequest {
            waited: Duration::from_secs(3),
            is_underserved,
            ..placement_request(LONG_TOKENS, 3000, 1000)
        };
        decide_placement(&profile(), &request, &placement, 0.7)
    };
    assert!(matches!(decide(false), PlacementDecision::Refuse(_)));
    assert_eq!(decide(true), PlacementDecision::Place);
    assert!(!long().is_underserved);
}
