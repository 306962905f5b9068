//! Many VMs that need a new manifest at once, and how many copies of it are sent.

use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_pull::ManifestPull;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

const HAVE: ManifestNumber = ManifestNumber(1);
const NEW: ManifestNumber = ManifestNumber(2);

fn vm(number: u64) -> VmId {
    VmId::from(format!("control-{number}"))
}

/// Six control VMs, the first two of them in the own zone.
fn told(pull: &mut ManifestPull, now: Moment) {
    for number in 0..6 {
        pull.advertised(now, &vm(number), NEW, number < 2);
    }
}

/// Found on a grown deployment: each of 64 entry VMs asked all six control VMs for each manifest of
/// 245 KB, and 1.4 GB crossed the zones.
#[test]
fn one_copy_is_asked_for_and_from_the_own_zone() {
    let mut pull = ManifestPull::default();
    let mut asked = Vec::new();
    for millis in 0..500 {
        let now = Moment::from_millis(millis);
        told(&mut pull, now);
        asked.extend(pull.next_source(now, HAVE));
    }
    assert_eq!(asked, [vm(0)]);
    pull.received();
    assert_eq!(pull.next_source(Moment::from_millis(500), NEW), None);
}

#[test]
fn every_vm_is_asked_in_turn_where_none_answers() {
    let mut pull = ManifestPull::default();
    let mut asked = Vec::new();
    for millis in 0..5_000 {
        let now = Moment::from_millis(millis);
        told(&mut pull, now);
        asked.extend(pull.next_source(now, HAVE));
    }
    let order: Vec<_> = (0..6).map(vm).collect();
    assert!(asked.starts_with(&order), "{asked:?}");
}

#[test]
fn another_zone_is_asked_where_the_own_one_has_nothing() {
    let mut pull = ManifestPull::default();
    pull.advertised(Moment::default(), &vm(4), NEW, false);
    assert_eq!(pull.next_source(Moment::default(), HAVE), None);
    let later = Moment::from_millis(500);
    pull.advertised(later, &vm(4), NEW, false);
    assert_eq!(pull.next_source(later, HAVE), Some(vm(4)));
}

#[test]
fn a_vm_whose_link_broke_is_not_waited_for() {
    let mut pull = ManifestPull::default();
    told(&mut pull, Moment::default());
    assert_eq!(pull.next_source(Moment::default(), HAVE), Some(vm(0)));
    pull.disconnected(&vm(0));
    assert_eq!(pull.next_source(Moment::from_millis(1), HAVE), Some(vm(1)));
}
