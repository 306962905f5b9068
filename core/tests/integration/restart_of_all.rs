//! Placement right after all entry VMs have started at the same moment.
//!
//! Load: 25 entry VMs of one zone before 23 engines get the callers of before within 100 ms, 80 short
//! prompts and 6 long ones, before any of them has heard of the placements of another.

use std::collections::BTreeMap;

use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;

use super::fleets::{LONG, SHORT, fleet, place, placement_request};

const VMS: usize = 25;
const ENGINES: u16 = 23;
const SHORTS: usize = 80;
const LONGS: usize = 6;

/// Returns the short prompts and the long ones at each engine.
fn placed_by_unlinked_vms() -> BTreeMap<ServerId, (usize, usize)> {
    let mut vms: Vec<Fleet> = (0..VMS).map(|_| fleet(ENGINES)).collect();
    for vm in &mut vms {
        vm.sees_placements = false;
    }
    let mut counts: BTreeMap<ServerId, (usize, usize)> = BTreeMap::new();
    for number in 0..SHORTS + LONGS {
        let is_long = number >= SHORTS;
        let mut request = if is_long {
            placement_request(LONG, 8000, 800)
        } else {
            placement_request(SHORT, 250, 200)
        };
        request.random_seed = 7 * number as u64 + 1;
        let vm = &mut vms[number % VMS];
        let (placement, _) = place(vm, Moment::default(), number as u64, &request);
        let count = counts.entry(placement.lead).or_default();
        count.0 += usize::from(!is_long);
        count.1 += usize::from(is_long);
        for helper in placement.helpers {
            counts.entry(helper).or_default().1 += 1;
        }
    }
    counts
}

/// Guards against a crowd at the first engines: each VM takes them for idle.
#[test]
fn vms_that_do_not_hear_of_each_other_spread_their_prompts() {
    let spread = placed_by_unlinked_vms();
    let most_shorts = spread.values().map(|(shorts, _)| *shorts).max();
    // A third of the 16 slots above an even share of 3.5.
    assert!(most_shorts <= Some(9), "{spread:?}");
    let most_longs = spread.values().map(|(_, longs)| *longs).max();
    // Six prompts with up to 15 helpers each: an even share is 4.
    assert!(most_longs <= Some(6), "{spread:?}");
}
