//! Requests that no server has got when their VM stops.

use std::time::Duration;

use merlinrudder_core::planned_stop::LateRequest;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a call that the exit cuts although nobody may send it again.
#[test]
fn a_call_that_runs_once_is_taken_only_if_it_must_end_before_the_exit() {
    let call = |time_left| LateRequest {
        is_idempotent: false,
        time_left,
        predicted: None,
    };
    assert!(call(SECOND).fits(SECOND * 5));
    assert!(!call(SECOND * 6).fits(SECOND * 5));
}

/// Guards against streams that are refused though they end in time, or taken though they cannot.
#[test]
fn a_stream_is_taken_unless_it_cannot_end_before_the_exit() {
    let stream = |predicted| LateRequest {
        is_idempotent: true,
        time_left: SECOND * 10,
        predicted: Some(predicted),
    };
    assert!(stream(SECOND * 5).fits(SECOND * 5));
    assert!(!stream(SECOND * 6).fits(SECOND * 5));
}

/// Guards against streams that are refused although their caller gives up before the exit.
#[test]
fn a_stream_whose_caller_gives_up_before_the_exit_is_taken() {
    let stream = LateRequest {
        is_idempotent: true,
        time_left: SECOND * 4,
        predicted: Some(SECOND * 6),
    };
    assert!(stream.fits(SECOND * 5));
}
