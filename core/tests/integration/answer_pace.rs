//! The pace of a service's answers.

use std::time::Duration;

use merlinrudder_core::answer_pace::AnswerPace;

use crate::fleets::profile;

/// Returns the time of `events` events on an idle engine, times `slowdown`.
fn time(events: u32, slowdown: f64) -> Duration {
    let millis = f64::from(events - 1) * profile().pass_time(1, 5_000) * slowdown;
    Duration::from_secs_f64(millis / 1000.0)
}

/// Guards against predictions by the time of an idle engine while all answers are slower.
#[test]
fn an_answer_takes_as_many_times_longer_as_the_latest_ones() {
    let mut pace = AnswerPace::default();
    let idle = pace.answer_time(&profile(), 5_000, 1_300);
    assert!(idle < Duration::from_secs(5));
    assert!(pace.answer_time(&profile(), 5_000, 6_000) > Duration::from_secs(5));
    for _ in 0..10 {
        pace.record(&profile(), 5_000, 20, time(20, 3.0));
    }
    let busy = pace.answer_time(&profile(), 5_000, 1_300);
    assert!((busy.as_secs_f64() / idle.as_secs_f64() - 3.0).abs() < 0.01);
    for _ in 0..40 {
        pace.record(&profile(), 5_000, 20, time(20, 1.0));
    }
    assert!((pace.slowdown() - 1.0).abs() < 0.01, "{pace:?}");
}

/// Guards against one silent engine, short answers or events without a pause that set the pace.
#[test]
fn odd_answers_do_not_set_the_pace() {
    let mut pace = AnswerPace::default();
    for events in 0..4 {
        pace.record(&profile(), 5_000, events, Duration::from_secs(9));
    }
    assert!((pace.slowdown() - 1.0).abs() < 0.01, "{pace:?}");
    for _ in 0..10 {
        pace.record(&profile(), 5_000, 20, time(20, 1.4));
    }
    for _ in 0..4 {
        pace.record(&profile(), 5_000, 20, time(20, 30.0));
        pace.record(&profile(), 5_000, 20, Duration::ZERO);
    }
    assert!((pace.slowdown() - 1.4).abs() < 0.01, "{pace:?}");
}
