//! Contact of an entry VM with the control VMs that know the newest manifest.

use std::time::Duration;

use merlinrudder_core::control_contact::{Confirmation, ControlContact, RECENT_CONFIRMATION};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

const START: Moment = Moment::from_millis(1000);

fn confirmation(at: Moment) -> Confirmation {
    Confirmation {
        from: VmId::from("control-1"),
        number: ManifestNumber(7),
        at,
    }
}

fn entry_vms(count: usize) -> Vec<VmId> {
    let names = (0..count).map(|number| format!("entry-{number}"));
    names.map(VmId::from).collect()
}

/// Guards against entry VMs that are asked although a control VM tells the newest manifest.
#[test]
fn entry_vms_are_asked_only_without_a_recent_confirmation() {
    let mut contact = ControlContact::new(START);
    let vms = entry_vms(5);
    assert!(contact.asks(START + RECENT_CONFIRMATION, &vms).is_empty());
    let late = START + RECENT_CONFIRMATION + Duration::from_millis(1);
    assert_eq!(contact.asks(late, &vms).len(), 3);
    assert_eq!(contact.confirmed(confirmation(late)), None);
    let much_later = late + Duration::from_secs(1);
    assert!(contact.asks(much_later, &vms).is_empty());
    assert!(contact.is_recent(much_later));
    assert!(!contact.is_recent(late + Duration::from_secs(2)));
}

/// Guards against asking the same few VMs, which may be as cut off as this one, and against floods.
#[test]
fn all_entry_vms_are_asked_in_turn_a_few_each_second() {
    let mut contact = ControlContact::new(START);
    let vms = entry_vms(5);
    let first = START + Duration::from_secs(5);
    let asked = contact.asks(first, &vms);
    let soon = first + Duration::from_millis(500);
    assert!(contact.asks(soon, &vms).is_empty());
    let next = contact.asks(first + Duration::from_secs(1), &vms);
    assert!(vms.iter().all(|vm| asked.contains(vm) || next.contains(vm)));
    assert!(contact.asks(first + Duration::from_secs(2), &[]).is_empty());
    let only = entry_vms(1);
    assert_eq!(contact.asks(first + Duration::from_secs(3), &only), only);
}

/// Guards against a warning each time that is looked, and against one at each start.
#[test]
fn a_lost_contact_is_reported_once() {
    let mut contact = ControlContact::new(START);
    assert!(!contact.newly_lost(START + RECENT_CONFIRMATION));
    let lost = START + Duration::from_secs(3);
    assert!(contact.newly_lost(lost));
    assert!(!contact.newly_lost(lost));
    let back = lost + Duration::from_secs(1);
    assert_eq!(
        contact.confirmed(confirmation(back)),
        Some(Duration::from_secs(4))
    );
    assert_eq!(contact.confirmed(confirmation(back)), None);
    assert!(contact.newly_lost(back + Duration::from_secs(2)));
}
