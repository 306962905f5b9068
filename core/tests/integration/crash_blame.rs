//! Cost of verdicts on many parts, and verdicts that follow every change of the crash history.

use std::time::{Duration, Instant};

use merlinrudder_core::crash_history::{
    CrashHistory, CrashReport, CrashVerdict, CrashedRun, MAX_CONTENTS,
};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use proptest::prelude::*;

const NOW: Moment = Moment::from_millis(1_000_000_000);
/// Limit of each test's verdicts, which together take over ten times as long if each judges anew.
const TIME_LIMIT: Duration = Duration::from_secs(2);

fn part(number: usize) -> ContentDigest {
    ContentDigest::of_prompt_part("chat", &format!("part-{number}"))
}

fn content(number: usize) -> ContentDigest {
    ContentDigest::of(&number.to_le_bytes())
}

/// Report of a run of 1 s on a server; servers crash 2 s apart in the order of their numbers.
fn crash(suspect: ContentDigest, server: usize) -> CrashReport {
    let ended = NOW + Duration::from_secs(2 * server as u64);
    CrashReport {
        content: suspect,
        incarnation: Incarnation {
            server: ServerId::from(format!("i-{server}")),
            born: 5,
        },
        run: CrashedRun {
            started: ended - Duration::from_secs(1),
            ended,
            servers: 60,
            cleared: false,
        },
    }
}

/// Returns a full table of parts, each of which crashed three of twelve servers.
fn full_table() -> CrashHistory {
    let mut history = CrashHistory::default();
    for number in 0..MAX_CONTENTS {
        let third = number + 2 + number / 12 % 10;
        for server in [number, number + 1, third] {
            history.merge(&crash(part(number), server % 12));
        }
    }
    assert_eq!(history.len(), MAX_CONTENTS);
    history
}

/// Verdict a minute after the first crash.
fn verdict(history: &CrashHistory, suspect: ContentDigest) -> CrashVerdict {
    history.verdict(NOW + Duration::from_mins(1), &suspect)
}

fn assert_quick(elapsed: Duration) {
    assert!(elapsed < TIME_LIMIT, "took {elapsed:?}");
}

#[test]
fn ten_thousand_verdicts_on_a_full_table_of_parts_cost_little() {
    let history = full_table();
    let start = Instant::now();
    for number in 0..10_000 {
        let suspect = part(number % MAX_CONTENTS);
        assert_ne!(verdict(&history, suspect), CrashVerdict::Allowed);
    }
    assert_quick(start.elapsed());
}

#[test]
fn reports_and_completions_that_change_nothing_add_no_cost_to_verdicts() {
    let mut history = full_table();
    history.clear(&part(0));
    let mut elapsed = Duration::ZERO;
    for number in 1..MAX_CONTENTS {
        // Looks at each suspect, so it takes its time, but may not make the rest slower.
        history.expire(NOW);
        let start = Instant::now();
        assert!(!history.merge(&crash(part(number), number % 12)));
        assert_eq!(history.clear(&part(0)), Vec::new());
        assert_eq!(history.clear(&part(MAX_CONTENTS)), Vec::new());
        assert_ne!(verdict(&history, part(number)), CrashVerdict::Allowed);
        elapsed += start.elapsed();
    }
    assert_quick(elapsed);
}

#[test]
fn verdicts_before_and_after_a_batch_of_reports_cost_little() {
    let mut history = full_table();
    let suspects: Vec<_> = (0..1000).map(part).collect();
    let start = Instant::now();
    for server in 12..17 {
        for suspect in &suspects {
            assert_ne!(verdict(&history, *suspect), CrashVerdict::Allowed);
        }
        for suspect in &suspects {
            assert!(history.merge(&crash(*suspect, server)));
        }
        for suspect in &suspects {
            assert_ne!(verdict(&history, *suspect), CrashVerdict::Allowed);
        }
    }
    assert_quick(start.elapsed());
}

#[test]
fn a_history_can_move_to_another_thread() {
    const fn assert_send<T: Send>(_: &T) {}
    assert_send(&CrashHistory::default());
}

#[test]
fn a_known_run_that_turns_out_cleared_changes_a_verdict_given_before() {
    let mut history = CrashHistory::default();
    let reports = [0, 1, 2, 3].map(|server| crash(part(1), server));
    for report in &reports {
        history.merge(report);
    }
    let until = |report: &CrashReport| {
        CrashVerdict::QuarantinedUntil(report.run.ended + Duration::from_hours(1))
    };
    assert_eq!(verdict(&history, part(1)), until(&reports[3]));
    let mut cleared = reports[3].clone();
    cleared.run.cleared = true;
    assert!(history.merge(&cleared));
    assert_eq!(verdict(&history, part(1)), until(&reports[2]));
}

#[test]
fn a_part_that_is_forgotten_is_listed_no_longer() {
    let now = NOW + Duration::from_mins(1);
    let mut history = CrashHistory::default();
    for server in 0..3 {
        history.merge(&crash(part(1), server));
    }
    assert_eq!(history.quarantined(now).len(), 1);
    history.expire(NOW + Duration::from_hours(49));
    assert_eq!(history.quarantined(now), Vec::new());
}

/// A change of the history.
#[derive(Clone, Debug)]
enum Change {
    Merge(CrashReport),
    Clear(ContentDigest),
    Expire(Moment),
}

/// Any of three parts and two contents.
fn any_suspect() -> impl Strategy<Value = ContentDigest> {
    prop_oneof![(0..3_usize).prop_map(part), (0..2_usize).prop_map(content)]
}

fn any_change() -> impl Strategy<Value = Change> {
    let run = (
        any_suspect(),
        0..40_usize,
        1..5000_u64,
        prop::bool::weighted(0.1),
    );
    let merge = run.prop_map(|(suspect, server, length, cleared)| {
        let mut report = crash(suspect, server);
        report.run.started = report.run.ended - Duration::from_millis(length);
        report.run.cleared = cleared;
        report
    });
    let minutes = prop_oneof![0..90_u64, Just(49 * 60)];
    let expire = minutes.prop_map(|minutes| NOW + Duration::from_mins(minutes));
    prop_oneof![
        20 => merge.prop_map(Change::Merge),
        2 => any_suspect().prop_map(Change::Clear),
        1 => expire.prop_map(Change::Expire),
    ]
}

proptest! {
    #[test]
    fn verdicts_after_any_change_are_those_of_a_history_that_was_not_asked_before(
        changes in prop::collection::vec(any_change(), 0..80),
    ) {
        let now = NOW + Duration::from_mins(1);
        let suspects: Vec<_> = (0..3).map(part).chain((0..2).map(content)).collect();
        let mut asked = CrashHistory::default();
        let mut silent = CrashHistory::default();
        for change in changes {
            for history in [&mut asked, &mut silent] {
                match &change {
                    Change::Merge(report) => {
                        history.merge(report);
                    }
                    Change::Clear(suspect) => {
                        history.clear(suspect);
                    }
                    Change::Expire(now) => history.expire(*now),
                }
            }
            let mut fresh = CrashHistory::default();
            for report in silent.reports() {
                fresh.merge(&report);
            }
            for suspect in &suspects {
                prop_assert_eq!(asked.verdict(now, suspect), fresh.verdict(now, suspect));
            }
            prop_assert_eq!(asked.quarantined(now), fresh.quarantined(now));
            prop_assert_eq!(&asked, &silent);
            prop_assert_eq!(&asked.clone(), &asked);
        }
    }
}
