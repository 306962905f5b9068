//! Requests that arrive in a planned stop.

use std::time::Duration;

use merlinrudder_core::planned_stop::LateRequest;

use crate::fleets::profile;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a call that the exit cuts although nobody may send it again.
#[test]
fn a_call_that_runs_once_is_taken_only_if_it_must_end_before_the_exit() {
    let call = |time_left| LateRequest {
        is_idempotent: false,
        time_left,
        prompt: None,
    };
    assert!(call(SECOND).fits(SECOND * 5));
    assert!(!call(SECOND * 6).fits(SECOND * 5));
}

/// Guards against streams that are refused though they end in time, or taken though they cannot.
#[test]
fn a_stream_is_taken_unless_it_cannot_end_before_the_exit() {
    let profile = profile();
    let stream = |answer| LateRequest {
        is_idempotent: true,
        time_left: SECOND * 10,
        prompt: Some((&profile, 5_000, answer)),
    };
    assert!(stream(1_300).fits(SECOND * 5));
    assert!(!stream(6_000).fits(SECOND * 5));
}
