//! Retry rules, retry budget, retry window and backoff.

use std::time::Duration;

use merlinrudder_core::census::Census;
use merlinrudder_core::names::VmId;
use merlinrudder_core::outcome::RunState;
use merlinrudder_core::retry::{RetryBudget, RetryContext, RetryLimits, RetryWindow, backoff};
use merlinrudder_core::time::Moment;

const NOW: Moment = Moment::from_millis(1_000);

fn allowed(idempotent: bool, run: RunState, left: Duration) -> bool {
    RetryContext {
        idempotent,
        run,
        now: NOW,
        deadline: NOW + left,
    }
    .allowed()
}

#[test]
fn only_idempotent_or_unrun_requests_are_retried_and_only_in_time() {
    let minute = Duration::from_mins(1);
    assert!(allowed(true, RunState::MayHaveRun, minute));
    assert!(allowed(false, RunState::NotRun, minute));
    assert!(!allowed(false, RunState::MayHaveRun, minute));
    assert!(!allowed(true, RunState::NotRun, Duration::ZERO));
}

/// Guards against an initial budget below the number of streams of one crashed engine.
///
/// In a run of the poison test four such streams exceeded the budget.
#[test]
fn a_quiet_service_can_resume_all_streams_of_one_engine() {
    let mut budget = RetryBudget::default();
    assert_eq!((0..100).filter(|_| budget.try_spend()).count(), 32);
}

#[test]
fn retries_stay_within_the_configured_percentage_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.try_spend() {}
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn(10);
        spent += u32::from(budget.try_spend());
    }
    assert!((99..=100).contains(&spent), "{spent}");
}

#[test]
fn backoff_grows_and_stays_bounded() {
    let backoffs: Vec<_> = (2..20).map(|attempt| backoff(attempt, 1.0)).collect();
    assert!(backoffs.is_sorted());
    assert_eq!(backoffs.last(), Some(&Duration::from_secs(1)));
    assert!(
        backoff(2, 0.0) < backoff(2, 1.0),
        "jitter lengthens the backoff"
    );
}

#[test]
fn a_retry_window_enforces_the_share_of_one_vm_and_recovers() {
    let limits = RetryLimits {
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 100.0,
    };
    let mut window = RetryWindow::new(Moment::default());
    let now = Moment::from_millis(1000);
    for _ in 0..100 {
        window.record_request(now, &limits);
    }
    let allowed_retries = (0..1000)
        .filter(|_| window.try_spend(now, &limits, Some(5)))
        .count();
    // Each of five VMs may retry at most a fifth of its requests plus a fifth of the slack.
    assert!(
        (1..=40).contains(&allowed_retries),
        "{allowed_retries} retries"
    );
    let later = Moment::from_millis(12_000);
    assert!(window.try_spend(later, &limits, Some(5)));
}

#[test]
fn a_vm_that_does_not_know_the_others_has_no_part_of_the_slack() {
    let limits = RetryLimits {
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 100.0,
    };
    let mut window = RetryWindow::new(Moment::default());
    assert!(!window.try_spend(NOW, &limits, None));
    assert!(window.try_spend(NOW, &limits, Some(1)));
}

#[test]
fn a_vm_out_of_sight_keeps_its_part_of_a_shared_limit_for_a_while() {
    let mut census = Census::default();
    census.record(NOW, VmId::from("entry-2"));
    assert_eq!(census.sharers(NOW), None, "no list of all VMs yet");
    census.mark_complete();
    assert_eq!(census.sharers(NOW + Duration::from_mins(5)), Some(2));
    assert_eq!(census.sharers(NOW + Duration::from_mins(15)), Some(1));
}

/// Window and ratio of the limits in the tests of restarts.
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
/// When the requests to the first process of each VM begin, which started long before.
const FIRST_REQUESTS: Moment = Moment::from_millis(60_000);
/// When the first process of each VM is replaced by the second one.
const RESTART: Moment = Moment::from_millis(64_000);
/// Attempts of one request beyond the first, if all are allowed.
const MAX_RETRIES: u32 = 4;

/// Returns the retries of VMs that each run two processes in one window, whose requests all fail.
fn retries_with_restarts(vms: u32, limits: &RetryLimits, requests: u32) -> u32 {
    let mut retries = 0;
    let sharers = Some(vms as usize);
    for _vm in 0..vms {
        for (started, begin) in [(Moment::default(), FIRST_REQUESTS), (RESTART, RESTART)] {
            let mut window = RetryWindow::new(started);
            for number in 0..requests {
                let now = begin + Duration::from_millis(100) * number;
                window.record_request(now, limits);
                for _retry in 0..MAX_RETRIES {
                    retries += u32::from(window.try_spend(now, limits, sharers));
                }
            }
        }
    }
    retries
}

/// Guards against VMs that spend their parts of the slack once more after a restart.
#[test]
fn vms_that_all_restart_keep_to_the_shared_limit() {
    let mut exceeded = Vec::new();
    for (vms, slack) in [(7_u32, 102.0), (69, 214.0), (195, 605.0)] {
        let limits = RetryLimits {
            window: WINDOW,
            ratio: RATIO,
            slack,
        };
        for requests in 1..=30 {
            let retries = retries_with_restarts(vms, &limits, requests);
            let all_requests = requests * vms * 2;
            let allowed = f64::from(all_requests) * RATIO + slack;
            if f64::from(retries) > allowed {
                exceeded.push((vms, requests, retries, allowed));
            }
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}
