//! Batches of placement changes for the entry VMs of each zone.

use std::collections::BTreeSet;

use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::placement_batches::{
    ChangeKind, DueBatch, FAR_DELAY, MAX_SMALL_FLEET, NEAR_DELAY, PlacementBatches,
};
use merlinrudder_core::time::Moment;

const START: Moment = Moment::from_millis(1000);

fn zone(name: &str) -> ZoneName {
    ZoneName::from(name)
}

/// Returns the batches of a VM in zone `a` with links to `count` VMs in each of two zones.
fn linked(count: usize) -> PlacementBatches<ChangeKind> {
    let mut batches = PlacementBatches::new(zone("a"));
    for name in ["a", "b"] {
        for number in 0..count {
            let vm = VmId::from(format!("{name}-{number}"));
            batches.opened(vm, zone(name));
        }
    }
    batches
}

fn push(batches: &mut PlacementBatches<ChangeKind>, now: Moment, change: ChangeKind, named: &str) {
    batches.push(now, &change, &BTreeSet::from([zone(named)]));
}

fn take(batches: &mut PlacementBatches<ChangeKind>, now: Moment) -> Vec<DueBatch<ChangeKind>> {
    batches.take_due(now, |change| *change)
}

/// Returns the zones of the VMs that receive batches, and the changes.
fn received(due: &[DueBatch<ChangeKind>]) -> Vec<(&str, Vec<ChangeKind>)> {
    let received = due.iter().map(|batch| {
        let zone = batch.vms[0].as_str().split('-').next();
        (zone.expect("a zone"), batch.changes.clone())
    });
    received.collect()
}

/// Guards against the delay of changes in fleets whose traffic is small.
#[test]
fn all_zones_of_a_small_fleet_get_a_change_soon() {
    let mut batches = linked((MAX_SMALL_FLEET - 1) / 2);
    push(&mut batches, START, ChangeKind::Made(1), "a");
    assert_eq!(batches.next_due(), Some(START + NEAR_DELAY));
    assert_eq!(take(&mut batches, START + NEAR_DELAY).len(), 2);
    assert_eq!(batches.next_due(), None);
}

/// Guards against a message to each VM of the fleet for each change.
#[test]
fn another_zone_of_a_large_fleet_waits_unless_its_engines_are_named() {
    let mut batches = linked(MAX_SMALL_FLEET);
    push(&mut batches, START, ChangeKind::Made(1), "a");
    let near = take(&mut batches, START + NEAR_DELAY);
    assert_eq!(received(&near), [("a", vec![ChangeKind::Made(1)])]);
    assert_eq!(near[0].vms.len(), MAX_SMALL_FLEET);
    assert_eq!(batches.next_due(), Some(START + FAR_DELAY));
    let later = START + NEAR_DELAY;
    push(&mut batches, later, ChangeKind::Made(2), "b");
    let due = take(&mut batches, later + NEAR_DELAY);
    let both = vec![ChangeKind::Made(1), ChangeKind::Made(2)];
    let expected = [("a", vec![ChangeKind::Made(2)]), ("b", both)];
    assert_eq!(received(&due), expected, "in their order");
}

/// Guards against a zone whose changes are put off by each further one.
#[test]
fn a_change_never_waits_longer_than_the_far_delay() {
    let mut batches = linked(MAX_SMALL_FLEET);
    for number in 0..10 {
        let now = START + NEAR_DELAY / 2 * number;
        push(&mut batches, now, ChangeKind::Made(u64::from(number)), "a");
        drop(take(&mut batches, now));
    }
    let due = take(&mut batches, START + FAR_DELAY);
    assert!(received(&due).iter().any(|(zone, _)| *zone == "b"));
}

/// Guards against traffic for placements that nobody needs to know any more.
#[test]
fn a_placement_made_and_ended_within_a_batch_is_dropped() {
    let mut batches = linked(1);
    for change in [
        ChangeKind::Ended(1),
        ChangeKind::Made(2),
        ChangeKind::Made(3),
        ChangeKind::Updated(2),
        ChangeKind::Other,
        ChangeKind::Ended(2),
    ] {
        push(&mut batches, START, change, "a");
    }
    let due = take(&mut batches, START + NEAR_DELAY);
    let kept = vec![ChangeKind::Ended(1), ChangeKind::Made(3), ChangeKind::Other];
    assert_eq!(received(&due), [("a", kept.clone()), ("b", kept)]);
    push(&mut batches, START, ChangeKind::Made(4), "a");
    push(&mut batches, START, ChangeKind::Ended(4), "a");
    assert!(take(&mut batches, START + NEAR_DELAY).is_empty());
}

/// Guards against changes that are kept for VMs without a link.
#[test]
fn a_zone_without_linked_vms_gets_nothing() {
    let mut batches = linked(1);
    push(&mut batches, START, ChangeKind::Made(1), "a");
    batches.lost(&VmId::from("b-0"));
    let due = take(&mut batches, START + NEAR_DELAY);
    assert_eq!(received(&due), [("a", vec![ChangeKind::Made(1)])]);
    batches.opened(VmId::from("b-1"), zone("b"));
    assert_eq!(batches.next_due(), None);
}

/// Guards against a placement that stays known to a VM whose link opened while it was active.
#[test]
fn the_end_of_a_placement_reaches_a_vm_that_was_told_of_it_meanwhile() {
    let mut batches = linked(1);
    push(&mut batches, START, ChangeKind::Made(1), "a");
    batches.opened(VmId::from("b-1"), zone("b"));
    push(&mut batches, START, ChangeKind::Ended(1), "a");
    let due = take(&mut batches, START + NEAR_DELAY);
    let kept = vec![ChangeKind::Made(1), ChangeKind::Ended(1)];
    assert_eq!(received(&due), [("b", kept)]);
}
