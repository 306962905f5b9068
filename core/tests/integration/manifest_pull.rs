//! Selection of the VM from which a new manifest is fetched.

use std::collections::BTreeSet;
use std::time::Duration;

use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_pull::{ManifestPull, PullReason, PullRequest};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

const HAVE: ManifestNumber = ManifestNumber(1);
const NEW: ManifestNumber = ManifestNumber(2);

fn vm(number: u64) -> VmId {
    VmId::from(format!("control-{number}"))
}

fn open_pull() -> ManifestPull {
    ManifestPull::new(VmId::from("entry"))
}

/// Advertises the new manifest from six control VMs, of which the first two are in the own zone.
fn advertise_all(pull: &mut ManifestPull) {
    for number in 0..6 {
        pull.advertised(&vm(number), NEW, number < 2);
    }
}

fn is_own_zone(request: &PullRequest) -> bool {
    request.reason == PullReason::OwnZone && [vm(0), vm(1)].contains(&request.vm)
}

/// Guards against requesting a manifest from every control VM that advertises it.
///
/// With 64 entry VMs, six control VMs and manifests of 245 KB, this sent 1.4 GB between zones.
#[test]
fn one_copy_is_requested_from_the_own_zone() {
    let mut pull = open_pull();
    let mut asked = Vec::new();
    for millis in 0..500 {
        let now = Moment::from_millis(millis);
        advertise_all(&mut pull);
        asked.extend(pull.next_request(now, HAVE));
    }
    assert!(asked.len() == 1 && is_own_zone(&asked[0]), "{asked:?}");
    pull.received(&asked[0].vm);
    pull.decoded();
    assert_eq!(pull.next_request(Moment::from_millis(500), NEW), None);
}

/// Guards against entry VMs that all ask the same control VM of their zone, or of another zone.
#[test]
fn entry_vms_spread_their_requests() {
    let mut first = [0; 6];
    let mut second = [0; 6];
    for entry in 0..300 {
        let mut pull = ManifestPull::new(VmId::from(format!("entry-{entry}")));
        advertise_all(&mut pull);
        for (at, counts) in [(0, &mut first), (600, &mut second)] {
            let request = pull.next_request(Moment::from_millis(at), HAVE);
            let asked = request.expect("a request").vm;
            let asked = (0..6).position(|number| vm(number) == asked);
            counts[asked.expect("a control VM")] += 1;
        }
    }
    assert!(first[..2].iter().all(|count| *count > 100), "{first:?}");
    assert!(second[2..].iter().all(|count| *count > 50), "{second:?}");
}

#[test]
fn each_vm_is_asked_in_turn_if_none_answers() {
    let mut pull = open_pull();
    let mut asked = Vec::new();
    for millis in 0..5_000 {
        let now = Moment::from_millis(millis);
        advertise_all(&mut pull);
        asked.extend(pull.next_request(now, HAVE));
    }
    assert!(is_own_zone(&asked[0]), "{asked:?}");
    let first_six: BTreeSet<_> = asked[..6].iter().map(|request| &request.vm).collect();
    assert_eq!(first_six.len(), 6, "{asked:?}");
}

/// Guards against a frozen control VM that is asked first for each number of a storm.
#[test]
fn a_vm_that_did_not_answer_is_asked_last_for_the_next_manifests() {
    let mut pull = open_pull();
    advertise_all(&mut pull);
    let silent = pull
        .next_request(Moment::default(), HAVE)
        .expect("a request");
    let timed_out = Moment::from_millis(600);
    let retry = pull.next_request(timed_out, HAVE).expect("a retry");
    assert_eq!(retry.reason, PullReason::Retry);
    assert_ne!(retry.vm, silent.vm);
    pull.received(&retry.vm);
    pull.decoded();
    for number in 3..20 {
        for control in 0..6 {
            pull.advertised(&vm(control), ManifestNumber(number), control < 2);
        }
        let have = ManifestNumber(number - 1);
        let next = pull.next_request(timed_out, have).expect("a request");
        assert!(is_own_zone(&next) && next.vm != silent.vm, "{next:?}");
        pull.received(&next.vm);
        pull.decoded();
    }
}

#[test]
fn another_zone_is_asked_after_a_delay_if_the_own_zone_has_nothing() {
    let mut pull = open_pull();
    pull.advertised(&vm(0), HAVE, true);
    pull.advertised(&vm(4), NEW, false);
    assert_eq!(pull.next_request(Moment::default(), HAVE), None);
    let due = pull.next_due(Moment::default(), HAVE).expect("a time");
    assert!(due <= Moment::from_millis(500), "{due:?}");
    let request = pull.next_request(due, HAVE).expect("a request");
    assert_eq!((request.vm, request.reason), (vm(4), PullReason::OtherZone));
}

/// Guards against a zone without control VMs that waits for one of its own at each manifest.
#[test]
fn another_zone_is_asked_at_once_if_the_own_zone_has_no_control_vm() {
    let mut pull = open_pull();
    pull.advertised(&vm(4), NEW, false);
    let request = pull.next_request(Moment::default(), HAVE);
    assert_eq!(request.map(|request| request.vm), Some(vm(4)));
}

#[test]
fn a_disconnected_vm_is_not_waited_for() {
    let mut pull = open_pull();
    advertise_all(&mut pull);
    let first = pull
        .next_request(Moment::default(), HAVE)
        .expect("a request");
    pull.disconnected(&first.vm);
    let second = pull
        .next_request(Moment::from_millis(1), HAVE)
        .expect("a request");
    assert!(is_own_zone(&first) && is_own_zone(&second));
    assert_ne!(first.vm, second.vm);
}

/// Guards against a second copy because the link to some other VM was lost.
#[test]
fn a_lost_link_to_another_vm_keeps_the_pending_request() {
    let mut pull = open_pull();
    advertise_all(&mut pull);
    let first = pull
        .next_request(Moment::default(), HAVE)
        .expect("a request");
    for other in (0..6).map(vm).filter(|other| *other != first.vm) {
        pull.disconnected(&other);
    }
    pull.disconnected(&VmId::from("entry-2"));
    assert_eq!(pull.next_request(Moment::from_millis(1), HAVE), None);
}

/// Guards against callers that are refused for 0.4 s because the control VM of the own zone is late.
#[test]
fn a_vm_without_a_manifest_asks_another_zone_soon() {
    let none = ManifestNumber(0);
    let mut pull = open_pull();
    pull.advertised(&vm(4), NEW, false);
    assert_eq!(pull.next_request(Moment::default(), none), None);
    let later = Moment::from_millis(100);
    let request = pull.next_request(later, none);
    assert_eq!(request.map(|request| request.vm), Some(vm(4)));
}

/// Guards against a zone without a manifest while a storm lasts, as its control VM is behind.
#[test]
fn another_zone_is_asked_during_a_storm_closer_than_its_delay() {
    let mut pull = open_pull();
    pull.advertised(&vm(0), HAVE, true);
    let mut asked = None;
    for number in 2..42 {
        let now = Moment::from_millis(number * 100);
        pull.advertised(&vm(4), ManifestNumber(number), false);
        asked = asked.or(pull.next_request(now, HAVE).map(|_| now));
    }
    let bound = Moment::from_millis(200) + Duration::from_millis(2_500 / 3);
    assert!(asked.is_some_and(|asked| asked <= bound), "{asked:?}");
}

/// Guards against manifests that queue up behind each other on a VM that decodes slowly.
#[test]
fn nothing_is_requested_while_a_manifest_is_decoded() {
    let mut pull = open_pull();
    advertise_all(&mut pull);
    let first = pull
        .next_request(Moment::default(), HAVE)
        .expect("a request");
    pull.received(&first.vm);
    pull.advertised(&first.vm, ManifestNumber(9), true);
    assert_eq!(pull.next_request(Moment::from_millis(5_000), HAVE), None);
    assert_eq!(pull.next_due(Moment::from_millis(5_000), HAVE), None);
    pull.decoded();
    let next = pull.next_request(Moment::from_millis(5_000), NEW);
    assert_eq!(next.map(|request| request.vm), Some(first.vm));
}

/// Guards against a VM that asks for a damaged manifest as fast as it comes.
#[test]
fn after_a_manifest_that_cannot_be_decoded_another_vm_is_asked_later() {
    let mut pull = open_pull();
    advertise_all(&mut pull);
    let first = pull
        .next_request(Moment::default(), HAVE)
        .expect("a request");
    pull.received(&first.vm);
    pull.rejected(Moment::from_millis(10), &first.vm);
    assert_eq!(pull.next_request(Moment::from_millis(20), HAVE), None);
    let due = pull
        .next_due(Moment::from_millis(20), HAVE)
        .expect("a time");
    let next = pull.next_request(due, HAVE).expect("a request");
    assert_ne!(next.vm, first.vm);
}
