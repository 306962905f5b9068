//! Prompts that are larger than the memory of any engine.

use std::time::Duration;

use merlinrudder_core::engine_placement::decision::PlacementDecision;
use merlinrudder_core::fleet::{Fleet, NoChoice};
use merlinrudder_core::time::Moment;

use crate::fleets::{fleet, mark_prefilled, place, placement_request, profile, service, short};

const NOW: Moment = Moment::from_millis(10_000);
const ENGINES: u16 = 16;

/// Places a prompt that has waited for long; returns whether it was sent to engines without the memory for it.
fn is_sent_in_vain(fleet: &mut Fleet, number: u64, tokens: u64) -> bool {
    let mut request = placement_request(tokens, 3000, 1000);
    request.waited = Duration::from_secs(3);
    request.time_left = Duration::from_secs(7);
    let chosen = fleet.choose_engines(NOW, &service(), &profile(), &request, &[]);
    if matches!(chosen, Err(NoChoice::AwaitRoom | NoChoice::NoRoom)) {
        return false;
    }
    let (placement, decision) = place(fleet, NOW, number, &request);
    decision == PlacementDecision::Place
        && placement.helper_tokens == 0
        && tokens > profile().kv_capacity
}

/// Guards against attempts that an engine must refuse, each of which spends a retry of the fleet.
#[test]
fn a_prompt_larger_than_any_engine_is_not_sent_to_one_alone_while_memory_is_reserved() {
    let mut fleet = fleet(ENGINES);
    let numbers = (0..12_u64).filter(|number| is_sent_in_vain(&mut fleet, *number, 470_000));
    assert_eq!(numbers.collect::<Vec<_>>(), [0; 0]);
}

/// Guards against the same attempts where a split would cost other callers more than the prompt is worth.
#[test]
fn a_prompt_larger_than_any_engine_is_not_sent_to_one_alone_while_engines_decode() {
    let mut in_vain = Vec::new();
    for shorts in (0..=160).step_by(20) {
        let mut fleet = fleet(ENGINES);
        for number in 0..shorts {
            place(&mut fleet, NOW, number, &short());
            mark_prefilled(&mut fleet, number);
        }
        if is_sent_in_vain(&mut fleet, 1_000, 470_000) {
            in_vain.push(shorts);
        }
    }
    assert_eq!(in_vain, [0; 0], "numbers of answers that are written");
}
