//! Placements of entry VMs whose links were lost.

use merlinrudder_core::engine_placement::loads::{EngineLoad, PlacedPrompt, PlacementKey};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::link_policy::LinkLoss;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

use crate::fleets::{fleet, profile, server, short};

/// Time by which the answers of all placements have ended, in milliseconds.
const ALL_ENDED_MS: u64 = 30_000;

fn key(number: u64) -> PlacementKey {
    let entry = VmId::from("other");
    PlacementKey { entry, number }
}

/// Adds a short prompt that another VM placed at time 0.
fn add(fleet: &mut Fleet, now: Moment, number: u64) {
    let request = short();
    let placed = PlacedPrompt {
        lead: server("a", 0).id,
        helpers: Vec::new(),
        helper_tokens: 0,
        prompt_tokens: request.prompt_tokens,
        answer_tokens: request.answer_tokens,
        received_at: Moment::default(),
        ttft_objective: request.ttft_objective,
        pause_objective: request.pause_objective,
        weight: request.weight,
    };
    fleet.add_placement(now, &key(number), &profile(), &placed);
}

fn leads(fleet: &Fleet) -> usize {
    let load = fleet.loads.load(&server("a", 0).id);
    load.map_or(0, EngineLoad::lead_count)
}

/// Returns a fleet with three placements of another VM, whose link is then lost.
fn fleet_with_lost_vm(loss: LinkLoss) -> Fleet {
    let mut fleet = fleet(2);
    for number in 1..=3 {
        add(&mut fleet, Moment::default(), number);
    }
    fleet.entry_lost(Moment::from_millis(1000), &key(1).entry, loss);
    fleet
}

/// Guards against engines that are taken for idle while they work for a VM without power.
#[test]
fn engines_of_a_vm_that_fell_silent_count_as_busy_until_its_answers_end() {
    let mut fleet = fleet_with_lost_vm(LinkLoss::Silent);
    fleet.loads.remove_lapsed(Moment::from_millis(1001));
    assert_eq!(leads(&fleet), 3);
    fleet.loads.remove_lapsed(Moment::from_millis(ALL_ENDED_MS));
    assert_eq!(leads(&fleet), 0);
}

/// Guards against load that is counted after the engines were told to stop.
#[test]
fn engines_of_a_vm_that_closed_its_connections_count_as_free_at_once() {
    let fleet = fleet_with_lost_vm(LinkLoss::Closed);
    assert_eq!(leads(&fleet), 0);
}

/// Guards against placements of a VM that came back which end by the time of its silence.
#[test]
fn a_vm_that_is_heard_again_keeps_the_placements_that_it_lists() {
    let mut fleet = fleet_with_lost_vm(LinkLoss::Silent);
    let now = Moment::from_millis(1500);
    let listed = [2].into_iter().collect();
    fleet.loads.keep_only(now, &key(1).entry, &listed);
    add(&mut fleet, now, 2);
    assert_eq!(leads(&fleet), 1);
    fleet.loads.remove_lapsed(Moment::from_millis(ALL_ENDED_MS));
    assert_eq!(leads(&fleet), 1);
}
