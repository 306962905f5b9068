//! When control VMs send the list of all VMs.

use std::net::SocketAddr;
use std::time::Duration;

use merlinrudder_core::names::VmId;
use merlinrudder_core::peer_list::{
    CHANGE_INTERVAL, GROWTH_INTERVAL, ListedVm, PeerListSchedule, REFRESH_INTERVAL,
};
use merlinrudder_core::time::Moment;

fn vm(number: u16) -> ListedVm {
    let address = SocketAddr::from(([10, 0, 0, 1], number));
    (VmId::from(format!("vm-{number}")), address)
}

/// Returns a schedule whose list of `count` VMs was sent at `now`.
fn sent(now: Moment, count: u16) -> PeerListSchedule {
    let mut schedule = PeerListSchedule::default();
    assert!(schedule.is_due(now), "the first list");
    schedule.sent(now, (0..count).map(vm));
    schedule
}

/// Guards against lists of 150 VMs to 150 VMs every 2 s though nothing changed.
#[test]
fn an_unchanged_list_is_sent_every_ten_seconds() {
    let now = Moment::from_millis(1000);
    let mut schedule = sent(now, 100);
    schedule.opened(vm(7));
    assert!(!schedule.is_due(now + REFRESH_INTERVAL - Duration::from_millis(1)));
    assert!(schedule.is_due(now + REFRESH_INTERVAL));
}

#[test]
fn a_new_vm_is_told_at_once_but_not_more_often_than_every_two_seconds() {
    let now = Moment::from_millis(1000);
    let mut schedule = sent(now, 100);
    schedule.opened(vm(200));
    assert!(!schedule.is_due(now + CHANGE_INTERVAL - Duration::from_millis(1)));
    assert!(schedule.is_due(now + CHANGE_INTERVAL));
    let quiet = now + CHANGE_INTERVAL * 2;
    schedule.sent(now, (0..100).map(vm));
    schedule.opened(vm(200));
    assert!(schedule.is_due(quiet), "at once after a quiet time");
}

/// Guards against a VM that is not dialled by those that know its former address.
#[test]
fn a_vm_that_returns_at_another_address_is_new() {
    let now = Moment::from_millis(1000);
    let mut schedule = sent(now, 100);
    schedule.opened((vm(7).0, vm(300).1));
    assert!(schedule.is_due(now + CHANGE_INTERVAL));
}

/// Guards against VMs that share a limit among far too few, and against a list for each start.
#[test]
fn while_a_fleet_starts_the_list_is_never_far_too_short_and_seldom_sent() {
    const VMS: u16 = 150;
    let mut schedule = PeerListSchedule::default();
    let (mut known, mut told, mut lists) = (0_u16, 0_u16, 0);
    for millis in 0..5000_u64 {
        let now = Moment::from_millis(millis);
        if millis.is_multiple_of(10) && known < VMS {
            schedule.opened(vm(known));
            known += 1;
        }
        if schedule.is_due(now) {
            schedule.sent(now, (0..known).map(vm));
            (told, lists) = (known, lists + 1);
        }
        let started_since = u16::try_from(GROWTH_INTERVAL.as_millis() / 10).expect("few") + 1;
        assert!(
            known <= told + told / 4 + started_since,
            "{told} told of {known}"
        );
    }
    assert_eq!(told, VMS);
    assert!(lists <= 12, "{lists} lists");
}
