//! Links between VMs: who dials, and what an idle link needs.

use std::net::SocketAddr;
use std::time::Duration;

use merlinrudder_core::link_policy::{
    DIAL_HELP_DELAY, IDLE_CHECK_INTERVAL, IdleAction, IdleLimits, LinkIdle, connect_retry_delay,
    dial_delay,
};

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Guards against two links for a pair, and against pairs without any.
#[test]
fn exactly_one_vm_of_a_pair_dials_at_once() {
    let addresses = ["10.0.0.9:7001", "10.0.0.10:7001", "10.0.0.10:7002"].map(address);
    for (at, low) in addresses.into_iter().enumerate() {
        for high in &addresses[at + 1..] {
            assert_eq!(dial_delay(low, *high), Duration::ZERO);
            assert_eq!(dial_delay(*high, low), DIAL_HELP_DELAY);
        }
    }
}

/// Checks a link `count` times at the usual interval; returns the checks that asked for `action`.
fn checks_with(
    action: IdleAction,
    limits: &IdleLimits,
    count: u32,
    sent: impl Fn(u32) -> bool,
    received: impl Fn(u32) -> bool,
) -> Vec<u32> {
    let mut idle = LinkIdle::default();
    let check =
        |at: &u32| idle.check(IDLE_CHECK_INTERVAL, sent(*at), received(*at), limits) == action;
    (1..=count).filter(check).collect()
}

fn checks(time: Duration) -> u32 {
    u32::try_from(time.as_millis() / IDLE_CHECK_INTERVAL.as_millis()).expect("few checks")
}

/// Guards against gaps that a VM of the version before takes for the end of this one.
#[test]
fn heartbeats_are_due_twice_a_second_at_least() {
    for (limits, longest) in [(IdleLimits::CONTROL, 250), (IdleLimits::ENTRY, 450)] {
        let count = checks(Duration::from_mins(1));
        let sent = |at: u32| at == 7;
        let due = checks_with(IdleAction::Heartbeat, &limits, count, sent, |_| true);
        let mut last = 0;
        // The frame before check 7 was sent up to an interval earlier than that check.
        for at in due.iter().copied() {
            let from = if (last..at).contains(&6) { 6 } else { last };
            let gap = IDLE_CHECK_INTERVAL * (at - from);
            assert!(
                gap <= Duration::from_millis(longest),
                "{gap:?} before check {at}"
            );
            last = at;
        }
        assert!(last > count - checks(Duration::from_secs(1)));
    }
}

/// Guards against heartbeats on links that carry frames anyway.
#[test]
fn a_link_with_frames_needs_no_heartbeat() {
    let sent = |at: u32| at.is_multiple_of(5);
    let due = checks_with(
        IdleAction::Heartbeat,
        &IdleLimits::ENTRY,
        1000,
        sent,
        |_| true,
    );
    assert_eq!(due, Vec::<u32>::new());
}

/// Guards against dead VMs that are noticed late, and against living ones that are taken for dead.
#[test]
fn a_silent_link_is_closed_within_a_second_and_a_half() {
    for (limits, earliest) in [(IdleLimits::CONTROL, 950), (IdleLimits::ENTRY, 1150)] {
        // The last byte arrives right before check 3.
        let closed = checks_with(IdleAction::Close, &limits, 100, |_| true, |at| at <= 3);
        let silence = IDLE_CHECK_INTERVAL * (closed[0] - 3);
        assert!(silence >= Duration::from_millis(earliest), "{silence:?}");
        assert!(
            silence + IDLE_CHECK_INTERVAL <= Duration::from_millis(1500),
            "{silence:?}"
        );
        let heartbeats = |at: u32| at.is_multiple_of(9);
        let closed = checks_with(IdleAction::Close, &limits, 1000, |_| true, heartbeats);
        assert_eq!(closed, Vec::<u32>::new());
    }
}

/// Guards against a VM that was stopped for seconds and then closes all its links.
#[test]
fn a_late_check_does_not_count_as_silence_of_the_other_vm() {
    let mut idle = LinkIdle::default();
    let stopped = Duration::from_secs(20);
    let action = idle.check(stopped, false, false, &IdleLimits::ENTRY);
    assert_eq!(action, IdleAction::Heartbeat);
}

/// Guards against late notice of dead VMs at a VM whose checks are late by the quota of its core.
#[test]
fn a_silent_link_is_closed_in_time_by_late_checks() {
    let mut idle = LinkIdle::default();
    let mut silence = Duration::ZERO;
    let step = Duration::from_millis(150);
    while idle.check(step, false, false, &IdleLimits::ENTRY) != IdleAction::Close {
        silence += step;
    }
    assert!(silence + step <= Duration::from_millis(1500), "{silence:?}");
}

/// Guards against callers that wait for a VM which dialled a control VM just before it listened.
///
/// The first retry came after 500 ms, on all VMs at once.
#[test]
fn a_vm_that_fails_once_dials_again_soon() {
    for draw in [0.0, 0.5, 1.0] {
        assert!(connect_retry_delay(1, draw) <= Duration::from_millis(100));
    }
}

/// Guards against VMs that dial an unreachable one without end at the pace of the first retry.
#[test]
fn later_retries_are_rarer_up_to_a_limit() {
    let delays: Vec<_> = (1..=20).map(|n| connect_retry_delay(n, 0.5)).collect();
    assert!(delays.is_sorted());
    // 195 VMs that dial six dead control VMs make at most 30 attempts for each of them in 10 ms.
    let first_second: Duration = delays[..4].iter().sum();
    assert!(first_second >= Duration::from_secs(1));
    assert_eq!(delays[19], Duration::from_millis(500));
}
