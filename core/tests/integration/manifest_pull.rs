//! Selection of the VM from which a new manifest is fetched.

use std::time::Duration;

use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_pull::ManifestPull;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

const HAVE: ManifestNumber = ManifestNumber(1);
const NEW: ManifestNumber = ManifestNumber(2);

fn vm(number: u64) -> VmId {
    VmId::from(format!("control-{number}"))
}

/// Advertises the new manifest from six control VMs, of which the first two are in the own zone.
fn advertise_all(pull: &mut ManifestPull, now: Moment) {
    for number in 0..6 {
        pull.advertised(now, &vm(number), NEW, number < 2);
    }
}

/// Guards against requesting a manifest from every control VM that advertises it.
///
/// With 64 entry VMs, six control VMs and manifests of 245 KB, this sent 1.4 GB between zones.
#[test]
fn one_copy_is_requested_from_the_own_zone() {
    let mut pull = ManifestPull::default();
    let mut asked = Vec::new();
    for millis in 0..500 {
        let now = Moment::from_millis(millis);
        advertise_all(&mut pull, now);
        asked.extend(pull.next_source(now, HAVE));
    }
    assert_eq!(asked, [vm(0)]);
    pull.received();
    assert_eq!(pull.next_source(Moment::from_millis(500), NEW), None);
}

#[test]
fn each_vm_is_asked_in_turn_if_none_answers() {
    let mut pull = ManifestPull::default();
    let mut asked = Vec::new();
    for millis in 0..5_000 {
        let now = Moment::from_millis(millis);
        advertise_all(&mut pull, now);
        asked.extend(pull.next_source(now, HAVE));
    }
    let order: Vec<_> = (0..6).map(vm).collect();
    assert!(asked.starts_with(&order), "{asked:?}");
}

#[test]
fn another_zone_is_asked_after_a_delay_if_the_own_zone_has_nothing() {
    let mut pull = ManifestPull::default();
    pull.advertised(Moment::default(), &vm(4), NEW, false);
    assert_eq!(pull.next_source(Moment::default(), HAVE), None);
    let later = Moment::from_millis(500);
    pull.advertised(later, &vm(4), NEW, false);
    assert_eq!(pull.next_source(later, HAVE), Some(vm(4)));
}

#[test]
fn a_disconnected_vm_is_not_waited_for() {
    let mut pull = ManifestPull::default();
    advertise_all(&mut pull, Moment::default());
    assert_eq!(pull.next_source(Moment::default(), HAVE), Some(vm(0)));
    pull.disconnected(&vm(0));
    assert_eq!(pull.next_source(Moment::from_millis(1), HAVE), Some(vm(1)));
}

/// Guards against callers that are refused for 0.4 s because the control VM of the own zone is late.
#[test]
fn a_vm_without_a_manifest_asks_another_zone_soon() {
    let none = ManifestNumber(0);
    let mut pull = ManifestPull::default();
    pull.advertised(Moment::default(), &vm(4), NEW, false);
    assert_eq!(pull.next_source(Moment::default(), none), None);
    let later = Moment::from_millis(100);
    assert_eq!(pull.next_source(later, none), Some(vm(4)));
}

/// Guards against a zone without control VMs that gets no manifest while a storm lasts.
#[test]
fn another_zone_is_asked_during_a_storm_closer_than_its_delay() {
    let mut pull = ManifestPull::default();
    let mut asked = None;
    for number in 2..42 {
        let now = Moment::from_millis(number * 100);
        pull.advertised(now, &vm(4), ManifestNumber(number), false);
        asked = asked.or(pull.next_source(now, HAVE).map(|_| now));
    }
    let bound = Moment::from_millis(200) + Duration::from_millis(2_500 / 3);
    assert!(asked.is_some_and(|asked| asked <= bound), "{asked:?}");
}
