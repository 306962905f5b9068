//! How often long prompts of each length are placed, and which get help.

use std::time::Duration;

use merlinrudder_core::engine_placement::decision::{
    PlacementDecision, Pressure, decide_placement,
};
use merlinrudder_core::engine_placement::length_shares::{LengthShare, LengthShares, PromptClass};
use merlinrudder_core::engine_placement::{
    ExternalCost, Placement, PlacementRequest, prompt_value,
};
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;

use crate::fleets::{placement_request, profile, service};

/// Length of the longest prompt of `received`, in tokens.
const LONGEST_TOKENS: u64 = 400_000;

fn class() -> PromptClass {
    PromptClass::new(&service(), Duration::from_secs(3))
}

/// Returns 40 prompts of 10,000 to 400,000 tokens, of which those that `is_placed` were placed.
fn received(now: Moment, is_placed: impl Fn(u64) -> bool) -> LengthShares {
    let mut shares = LengthShares::default();
    for tokens in (1..=40).map(|n| n * 10_000) {
        assert!(shares.record_received(now, &class(), tokens));
        if is_placed(tokens) {
            shares.record_placed(&class(), tokens);
        }
    }
    shares
}

fn is_short(shares: &LengthShares, now: Moment, tokens: u64) -> bool {
    let share = shares.share(now, &class(), tokens);
    share.as_ref().is_some_and(LengthShare::is_short)
}

/// Guards against refusals of one length that add up to nothing.
#[test]
fn the_longest_tenth_is_helped_when_it_is_left_out() {
    let now = Moment::from_millis(10);
    let shares = received(now, |tokens| tokens <= 360_000);
    assert!(is_short(&shares, now, 370_000));
    assert!(is_short(&shares, now, 600_000));
    assert!(!is_short(&shares, now, 300_000));
    assert!(!is_short(&shares, now, 100_000));
}

/// Guards against the fifth below the longest tenth taking its place.
#[test]
fn the_fifth_below_the_longest_tenth_is_helped_when_it_is_left_out() {
    let now = Moment::from_millis(10);
    let shares = received(now, |tokens| tokens <= 280_000 || tokens > 360_000);
    assert!(is_short(&shares, now, 300_000));
    assert!(!is_short(&shares, now, 390_000));
}

/// Guards against help for all lengths when all are refused alike.
#[test]
fn lengths_that_are_refused_alike_get_no_help() {
    let now = Moment::from_millis(10);
    let shares = received(now, |tokens| tokens / 10_000 % 2 == 0);
    for tokens in [200_000, 300_000, 390_000] {
        assert!(!is_short(&shares, now, tokens), "{tokens}");
    }
}

/// Guards against help for the dearest prompts of a group before the cheapest.
#[test]
fn the_shorter_ones_of_a_group_are_helped_first() {
    let now = Moment::from_millis(10);
    let shares = received(now, |tokens| tokens != 370_000);
    assert!(is_short(&shares, now, 365_000));
    assert!(!is_short(&shares, now, 600_000));
}

/// Guards against a caller that counts once for each of its tries.
#[test]
fn a_prompt_that_comes_back_counts_once() {
    let now = Moment::from_millis(10);
    let mut shares = received(now, |tokens| tokens <= 360_000);
    assert!(!shares.record_received(now, &class(), LONGEST_TOKENS));
    shares.record_placed(&class(), LONGEST_TOKENS);
    assert!(shares.record_received(now, &class(), LONGEST_TOKENS));
}

/// Guards against a burst of refusals that decides for hours.
#[test]
fn prompts_of_more_than_a_minute_ago_do_not_count() {
    let shares = received(Moment::from_millis(10), |tokens| tokens <= 360_000);
    let later = Moment::from_millis(61_000);
    assert!(!is_short(&shares, later, LONGEST_TOKENS));
}

/// Guards against objectives of one service that are ranked together.
#[test]
fn prompts_with_another_objective_are_compared_apart() {
    let now = Moment::from_millis(10);
    let shares = received(now, |tokens| tokens <= 360_000);
    let other = PromptClass::new(&service(), Duration::from_millis(1500));
    assert_eq!(shares.share(now, &other, LONGEST_TOKENS), None);
}

/// Guards against a share that is recorded and not kept, and against help that holds back short prompts.
#[test]
fn an_underserved_prompt_is_placed_early_unless_short_ones_fill_the_engines() {
    let placement = Placement {
        lead: ServerId::from("a-0"),
        helpers: Vec::new(),
        helper_tokens: 0,
        predicted_ttft: Duration::from_secs(5),
        nominal_ttft: Duration::from_secs(5),
        external_cost: ExternalCost {
            delays: 0.0,
            pauses: prompt_value(LONGEST_TOKENS) / 2.0,
        },
    };
    let decide = |is_underserved, taken_fraction, waited_ms| {
        let request = PlacementRequest {
            is_underserved,
            waited: Duration::from_millis(waited_ms),
            ..placement_request(LONGEST_TOKENS, 3000, 1000)
        };
        let pressure = Pressure {
            busy_fraction: 0.7,
            taken_fraction,
        };
        decide_placement(&profile(), &request, &placement, pressure)
    };
    assert_eq!(decide(true, 0.2, 0), PlacementDecision::Place);
    assert!(matches!(decide(false, 0.2, 0), PlacementDecision::Wait(_)));
    assert!(matches!(decide(true, 0.6, 0), PlacementDecision::Wait(_)));
    assert!(matches!(
        decide(true, 0.2, 1200),
        PlacementDecision::Wait(_)
    ));
}
