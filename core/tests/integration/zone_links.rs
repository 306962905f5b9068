//! Links to VMs that are lost with an availability zone, and others that are lost without one.

use std::time::Duration;

use merlinrudder_core::engine_placement::decision::PlacementDecision;
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::time::Moment;
use merlinrudder_core::zone_links::ZoneLinks;

use crate::fleets::{place, placement_request, rates, server};

fn vm(zone: &str, number: usize) -> VmId {
    VmId::from(format!("{zone}-{number}"))
}

/// Returns the links to `count` VMs in each of the zones `a`, `b` and `c`.
fn linked(count: usize) -> ZoneLinks {
    let mut links = ZoneLinks::default();
    for zone in ["a", "b", "c"] {
        for number in 0..count {
            links.opened(vm(zone, number), ZoneName::from(zone));
        }
    }
    links
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn is_cut_off(links: &ZoneLinks, millis: u64, zone: &str) -> bool {
    links.is_cut_off(at(millis), &ZoneName::from(zone))
}

#[test]
fn a_zone_is_cut_off_once_all_its_links_are_lost_together() {
    for count in [3, 23, 39] {
        let mut links = linked(count);
        for number in 0..count {
            assert!(!is_cut_off(&links, 1000, "c"), "{number} of {count}");
            let cut = links.lost(at(1000 + number as u64 * 10), &vm("c", number));
            assert_eq!(cut.is_some(), number + 1 == count, "{number} of {count}");
        }
        assert!(is_cut_off(&links, 1500, "c"));
        assert!(!is_cut_off(&links, 1500, "b"));
        links.opened(vm("c", 1), ZoneName::from("c"));
        assert!(!is_cut_off(&links, 1500, "c"));
    }
}

#[test]
fn vms_that_stop_one_after_the_other_cut_nothing_off() {
    let mut links = linked(3);
    for number in 0..3 {
        let now = at(1000 + number as u64 * 2500);
        assert_eq!(links.lost(now, &vm("c", number)), None);
    }
    assert!(!is_cut_off(&links, 6000, "c"));
}

#[test]
fn a_single_vm_of_a_zone_says_nothing_of_the_zone() {
    let mut links = linked(1);
    assert_eq!(links.lost(at(1000), &vm("c", 0)), None);
    assert!(!is_cut_off(&links, 1000, "c"));
}

#[test]
fn an_answer_from_a_zone_shows_that_only_its_vms_are_lost() {
    let mut links = linked(2);
    for number in 0..2 {
        links.lost(at(1000), &vm("c", number));
    }
    links.record_answer(&ZoneName::from("c"));
    assert!(!is_cut_off(&links, 1000, "c"));
}

#[test]
fn a_zone_is_tried_again_and_left_out_again() {
    let mut links = linked(2);
    for number in 0..2 {
        links.lost(at(1000), &vm("c", number));
    }
    assert!(is_cut_off(&links, 5999, "c"));
    assert!(!is_cut_off(&links, 6000, "c"));
    links.record_unreachable(at(6200), &ZoneName::from("c"));
    assert!(is_cut_off(&links, 6300, "c"));
}

#[test]
fn a_vm_without_any_link_judges_no_zone() {
    let mut links = linked(2);
    for zone in ["a", "b", "c"] {
        for number in 0..2 {
            links.lost(at(1000), &vm(zone, number));
        }
    }
    for zone in ["a", "b", "c"] {
        assert!(!is_cut_off(&links, 1000, zone), "{zone}");
    }
}

/// Guards against long prompts that fail again and again at engines behind a cut.
#[test]
fn engines_of_a_cut_off_zone_get_no_part_of_a_prompt() {
    let mut fleet = Fleet::new(ZoneName::from("a"), rates());
    for number in 0..4 {
        for (offset, zone) in (0..).step_by(10).zip(["a", "b", "c"]) {
            fleet.merge(Moment::default(), server(zone, offset + number));
            let links = &mut fleet.zone_links;
            links.opened(vm(zone, number.into()), ZoneName::from(zone));
        }
    }
    for number in 0..4 {
        fleet.zone_links.lost(at(1000), &vm("c", number));
    }
    let huge = placement_request(500_000, 3000, 1000);
    let (placement, decision) = place(&mut fleet, at(1100), 1, &huge);
    assert_eq!(decision, PlacementDecision::Place);
    for engine in placement.helpers.iter().chain([&placement.lead]) {
        assert!(!engine.as_str().starts_with('c'), "{placement:?}");
    }
    let answering = server("c", 20);
    fleet.record_outcome(at(1200), &answering.id, ServerOutcome::Succeeded);
    let later = at(1200) + Duration::from_millis(1);
    let (placement, _) = place(&mut fleet, later, 2, &huge);
    let engines = placement.helpers.iter().chain([&placement.lead]);
    let behind = engines.filter(|engine| engine.as_str().starts_with('c'));
    assert!(behind.count() > 0, "{placement:?}");
}
