//! The rule of retries and their budget.

use std::time::Duration;

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
fn only_what_is_idempotent_or_did_not_run_is_sent_again_and_only_in_time() {
    let minute = Duration::from_mins(1);
    assert!(allowed(true, RunState::MayHaveRun, minute));
    assert!(allowed(false, RunState::NotRun, minute));
    assert!(!allowed(false, RunState::MayHaveRun, minute));
    assert!(!allowed(true, RunState::NotRun, Duration::ZERO));
}

/// Found by a run of the poison test: four streams of one engine were more than the budget.
#[test]
fn a_quiet_service_can_resume_all_streams_of_one_engine() {
    let mut budget = RetryBudget::default();
    assert_eq!((0..100).filter(|_| budget.try_spend()).count(), 32);
}

#[test]
fn retries_stay_within_the_percentage_of_the_traffic() {
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
fn the_wait_grows_and_stays_bounded() {
    let waits: Vec<_> = (2..20).map(|attempt| backoff(attempt, 1.0)).collect();
    assert!(waits.is_sorted());
    assert_eq!(waits.last(), Some(&Duration::from_secs(1)));
    assert!(backoff(2, 0.0) < backoff(2, 1.0), "jitter spreads them");
}

#[test]
fn a_window_of_retries_keeps_to_a_vms_share_and_recovers() {
    let limits = RetryLimits {
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 100.0,
    };
    let mut window = RetryWindow::default();
    let now = Moment::from_millis(1000);
    for _ in 0..100 {
        window.record_request(now, &limits);
    }
    let taken = (0..1000)
        .filter(|_| window.try_spend(now, &limits, 5))
        .count();
    // A fifth of the requests and a fifth of the slack are the most that five VMs may take each.
    assert!((1..=40).contains(&taken), "{taken} retries");
    let later = Moment::from_millis(12_000);
    assert!(window.try_spend(later, &limits, 5));
}
