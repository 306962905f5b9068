//! Which contents are quarantined by which crashes, and that all VMs come to the same verdict.

use std::time::Duration;

use merlinrudder_core::completions::RecentCompletions;
use merlinrudder_core::crash_history::{
    CrashHistory, CrashReport, CrashVerdict, CrashedRun, MAX_CONTENTS,
};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use proptest::prelude::*;

const NOW: Moment = Moment::from_millis(1_000_000_000);
const HOUR: Duration = Duration::from_hours(1);

fn content(number: u16) -> ContentDigest {
    ContentDigest::of(&number.to_le_bytes())
}

fn lifetime(server: u16) -> Incarnation {
    Incarnation {
        server: ServerId::from(format!("i-{server}")),
        born: 5,
    }
}

/// Report of a run from `started_ms` to `ended_ms` after `NOW`.
fn crash(number: u16, server: u16, started_ms: u64, ended_ms: u64) -> CrashReport {
    CrashReport {
        content: content(number),
        incarnation: lifetime(server),
        run: CrashedRun {
            started: NOW + Duration::from_millis(started_ms),
            ended: NOW + Duration::from_millis(ended_ms),
            servers: 16,
            cleared: false,
        },
    }
}

fn history(reports: &[CrashReport]) -> CrashHistory {
    let mut history = CrashHistory::default();
    for report in reports {
        history.merge(report);
    }
    history
}

fn is_quarantined(history: &CrashHistory, number: u16) -> bool {
    let now = NOW + Duration::from_mins(1);
    history.verdict(now, &content(number)) != CrashVerdict::Allowed
}

#[test]
fn the_third_crash_quarantines_a_content_and_the_second_does_not() {
    let mut history = history(&[crash(1, 1, 0, 1000), crash(1, 2, 1100, 2000)]);
    assert!(!is_quarantined(&history, 1));
    history.merge(&crash(1, 3, 3000, 4000));
    assert!(is_quarantined(&history, 1));
    assert!(!is_quarantined(&history, 2));
}

#[test]
fn simultaneous_runs_of_a_popular_content_count_as_one_crash() {
    let reports: Vec<_> = (0..8)
        .map(|server| crash(1, server, 100 * u64::from(server), 1000))
        .collect();
    assert!(!is_quarantined(&history(&reports), 1));
}

/// Returns a history in which contents 1 and 2 ran together on each of `crashes` servers.
fn shared_crashes(crashes: u16) -> CrashHistory {
    let mut history = history(&[]);
    for server in 0..crashes {
        let at = 2000 * u64::from(server);
        history.merge(&crash(1, server, at, at + 1000));
        history.merge(&crash(2, server, at, at + 1000));
    }
    history
}

/// Time of `seconds` after the last crash of `shared_crashes(3)`.
fn after_third(seconds: u64) -> Moment {
    NOW + Duration::from_secs(5 + seconds)
}

#[test]
fn contents_that_shared_their_crashes_are_tried_again_at_once() {
    let history = shared_crashes(3);
    for number in [1, 2] {
        let verdict = history.verdict(after_third(0), &content(number));
        assert_eq!(verdict, CrashVerdict::OnTrial);
    }
}

#[test]
fn an_innocent_that_completes_its_trial_is_allowed_and_the_culprit_is_quarantined() {
    let mut history = shared_crashes(3);
    history.clear(&content(2));
    history.merge(&crash(1, 9, 8000, 9000));
    assert_eq!(
        history.verdict(after_third(10), &content(2)),
        CrashVerdict::Allowed
    );
    let until = NOW + Duration::from_secs(9) + HOUR * 4;
    let verdict = history.verdict(after_third(10), &content(1));
    assert_eq!(verdict, CrashVerdict::QuarantinedUntil(until));
}

#[test]
fn contents_that_always_crash_together_get_two_trials_and_then_a_long_quarantine() {
    let last = |crashes: u64| NOW + Duration::from_millis(2000 * (crashes - 1) + 1000);
    for (crashes, quarantine) in [(4, Duration::from_mins(1)), (5, HOUR * 16)] {
        let history = shared_crashes(crashes);
        let last = last(u64::from(crashes));
        let verdict = history.verdict(last, &content(1));
        assert_eq!(verdict, CrashVerdict::QuarantinedUntil(last + quarantine));
    }
}

#[test]
fn runs_that_were_sent_to_servers_after_their_crash_do_not_count() {
    let mut history = CrashHistory::default();
    for server in 0..4 {
        let at = 2000 * u64::from(server);
        history.merge(&crash(1, server, at, at + 500));
        history.merge(&crash(2, server, at + 1000, at + 1001));
    }
    assert!(is_quarantined(&history, 1));
    assert!(!is_quarantined(&history, 2));
}

/// Merges five rounds in which `servers` servers crash `gap_ms` apart, each under its own content.
fn rounds_of_crashes(servers: u16, known: u32, gap_ms: u64) -> CrashHistory {
    let mut history = CrashHistory::default();
    for round in 0..5 {
        for number in 0..servers {
            let at = 10_000 * u64::from(round) + gap_ms * u64::from(number);
            let mut report = crash(number, servers * round + number, at, at + 1000);
            report.run.servers = known;
            history.merge(&report);
        }
    }
    history
}

#[test]
fn a_large_share_of_servers_crashing_at_once_holds_no_request_responsible() {
    for (servers, known) in [(4, 6), (5, 16), (16, 60)] {
        let history = rounds_of_crashes(servers, known, 9);
        assert!((0..servers).all(|number| !is_quarantined(&history, number)));
    }
}

#[test]
fn as_many_crashes_one_after_the_other_are_no_widespread_failure() {
    let history = rounds_of_crashes(4, 6, 1500);
    assert!((0..4).all(|number| is_quarantined(&history, number)));
}

#[test]
fn a_content_that_crashes_servers_within_every_widespread_failure_is_quarantined_by_the_sixth() {
    let mut history = rounds_of_crashes(4, 6, 9);
    assert!(!is_quarantined(&history, 1));
    history.merge(&crash(1, 500, 50_000, 51_000));
    assert!(is_quarantined(&history, 1));
}

#[test]
fn widespread_failures_seen_by_several_vms_count_against_no_content() {
    let mut history = CrashHistory::default();
    for round in 0..5 {
        for number in 0..6 {
            let at = 10_000 * u64::from(round) + 20 * u64::from(number);
            history.merge(&crash(number, 6 * round + number, at, at + 1000));
        }
    }
    for number in 0..6 {
        assert_eq!(
            history.verdict(NOW, &content(number)),
            CrashVerdict::Allowed
        );
    }
}

#[test]
fn a_cleared_content_stays_cleared_when_old_reports_arrive_again() {
    let reports = [
        crash(1, 1, 0, 1000),
        crash(1, 2, 1100, 2000),
        crash(1, 3, 2100, 3000),
    ];
    let mut history = history(&reports);
    let cleared = history.clear(&content(1));
    assert_eq!(cleared.len(), 3);
    for report in &reports {
        assert!(!history.merge(report));
    }
    assert!(!is_quarantined(&history, 1) && !history.is_suspect(&content(1)));
    let mut other = CrashHistory::default();
    for report in reports.iter().chain(&cleared) {
        other.merge(report);
    }
    assert_eq!(other, history);
}

#[test]
fn a_quarantine_ends_and_a_further_crash_renews_it_for_longer() {
    let mut history = history(&[
        crash(1, 1, 0, 1000),
        crash(1, 2, 1100, 2000),
        crash(1, 3, 2100, 3000),
    ]);
    let last = NOW + Duration::from_secs(3);
    let verdict_at = |history: &CrashHistory, at| history.verdict(at, &content(1));
    assert_eq!(
        verdict_at(&history, last),
        CrashVerdict::QuarantinedUntil(last + HOUR)
    );
    assert_eq!(verdict_at(&history, last + HOUR), CrashVerdict::OnTrial);
    history.expire(last + HOUR);
    history.merge(&crash(1, 4, 3_700_000, 3_701_000));
    let again = NOW + Duration::from_secs(3701);
    assert_eq!(
        verdict_at(&history, again),
        CrashVerdict::QuarantinedUntil(again + HOUR * 4)
    );
}

#[test]
fn a_flood_of_contents_neither_displaces_a_quarantine_nor_grows_the_table() {
    let mut history = history(&[
        crash(1, 1, 0, 1000),
        crash(1, 2, 1100, 2000),
        crash(1, 3, 2100, 3000),
    ]);
    for number in 0..5000 {
        history.merge(&crash(100 + number, 100 + number, 5000, 6000));
    }
    assert_eq!(history.len(), MAX_CONTENTS);
    assert!(is_quarantined(&history, 1));
    for server in 20..23 {
        let at = 10_000 + 2000 * u64::from(server);
        history.merge(&crash(7, server, at, at + 1000));
    }
    assert!(is_quarantined(&history, 7), "a full table still learns");
}

prop_compose! {
    fn any_report()(number in 0..4_u16, server in 0..8_u16, length in 1..3000_u64, cleared in any::<bool>())
        -> CrashReport {
        let ended = 1000 * u64::from(server);
        let mut report = crash(number, server, ended.saturating_sub(length), ended);
        report.run.cleared = cleared;
        report
    }
}

proptest! {
    #[test]
    fn any_order_and_repetition_of_reports_gives_the_same_history(
        reports in prop::collection::vec(any_report(), 0..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let in_order = history(&reports);
        let mut shuffled = CrashHistory::default();
        if !reports.is_empty() {
            for index in order {
                shuffled.merge(index.get(&reports));
            }
        }
        // The other side of a partition then sends all that it knows.
        let all: Vec<_> = in_order.reports().collect();
        for report in &all {
            shuffled.merge(report);
        }
        prop_assert_eq!(shuffled, in_order);
    }
}

#[test]
fn a_completion_speaks_for_its_content_after_a_crash_and_shortly_before_it() {
    let mut completions = RecentCompletions::default();
    completions.record(NOW, content(1));
    let after = |seconds| NOW + Duration::from_secs(seconds);
    assert!(completions.speaks_for(&content(1), NOW - Duration::from_mins(5)));
    assert!(completions.speaks_for(&content(1), after(20)));
    assert!(!completions.speaks_for(&content(1), after(40)));
    assert!(!completions.speaks_for(&content(2), NOW));
    completions.record(after(40), content(2));
    assert!(!completions.speaks_for(&content(1), NOW), "it was dropped");
}

/// Reports of copies that are sent at the same time and crash a server each, 150 ms later.
fn copies(round: u16, count: u16) -> Vec<CrashReport> {
    let at = 8000 * u64::from(round);
    let reports = (0..count).map(|copy| {
        let late = u64::from(copy) * 4;
        crash(1, count * round + copy, at + late, at + 150 + late * 2)
    });
    reports.collect()
}

/// Guards against copies of a crashing request that crash all servers together and count as one crash.
#[test]
fn copies_that_crash_three_servers_together_are_tried_and_quarantined_when_that_comes_again() {
    let now = NOW + Duration::from_mins(1);
    let mut history = history(&copies(0, 2));
    assert_eq!(history.verdict(now, &content(1)), CrashVerdict::Allowed);
    for report in copies(0, 3) {
        history.merge(&report);
    }
    assert_eq!(history.verdict(now, &content(1)), CrashVerdict::OnTrial);
    for report in copies(1, 3) {
        history.merge(&report);
    }
    let verdict = history.verdict(now, &content(1));
    assert!(matches!(verdict, CrashVerdict::QuarantinedUntil(_)));
}

/// Guards against copies of a crashing request that overlap and crash servers at different times, which count as one
/// crash.
#[test]
fn copies_that_crash_servers_at_different_times_are_tried() {
    let now = NOW + Duration::from_mins(1);
    let spread = |copies: u16, step: u64| {
        let copy = |server| crash(1, server, 0, 100 + step * u64::from(server));
        history(&(0..copies).map(copy).collect::<Vec<_>>())
    };
    assert_eq!(
        spread(2, 200).verdict(now, &content(1)),
        CrashVerdict::Allowed
    );
    assert_eq!(
        spread(3, 200).verdict(now, &content(1)),
        CrashVerdict::OnTrial
    );
    assert_eq!(
        spread(8, 120).verdict(now, &content(1)),
        CrashVerdict::OnTrial
    );
    // A rack that fails under a popular request: its runs end together.
    assert_eq!(
        spread(8, 15).verdict(now, &content(1)),
        CrashVerdict::Allowed
    );
}

/// Guards against a fourth retry: VMs may start a trial at the same moment, so that one trial must be enough.
#[test]
fn a_crash_after_copies_that_crash_servers_at_four_times_is_enough() {
    let copies = (0..8).map(|server| crash(1, server, 0, 100 + 120 * u64::from(server)));
    let mut history = history(&copies.collect::<Vec<_>>());
    history.merge(&crash(1, 30, 8000, 8500));
    let verdict = history.verdict(NOW + Duration::from_mins(1), &content(1));
    assert!(
        matches!(verdict, CrashVerdict::QuarantinedUntil(_)),
        "{verdict:?}"
    );
}

/// Guards against crashes that are not counted, as copies had filled the table of the first ones.
#[test]
fn crashes_that_follow_many_copies_are_counted() {
    let copies = (0..20).map(|server| crash(1, server, 0, 100 + 40 * u64::from(server)));
    let mut history = history(&copies.collect::<Vec<_>>());
    for (server, started) in [(30, 8000), (31, 12_000)] {
        assert!(history.merge(&crash(1, server, started, started + 500)));
    }
    let now = NOW + Duration::from_mins(1);
    let verdict = history.verdict(now, &content(1));
    assert!(
        matches!(verdict, CrashVerdict::QuarantinedUntil(_)),
        "{verdict:?}"
    );
}

/// Guards against trials that are held back for good after an innocent request has completed.
#[test]
fn a_completed_trial_clears_copies_that_crashed_servers_together() {
    let mut history = history(&copies(0, 5));
    history.clear(&content(1));
    let now = NOW + Duration::from_mins(1);
    assert_eq!(history.verdict(now, &content(1)), CrashVerdict::Allowed);
}

/// Guards against a verdict on an innocent request, some of whose short runs are alike by chance.
#[test]
fn copies_among_other_crashes_prove_nothing() {
    let mut history = history(&copies(0, 4));
    for server in 0..2 {
        history.merge(&crash(1, 50 + server, 0, 400 + 200 * u64::from(server)));
    }
    assert!(!is_quarantined(&history, 1));
}

/// Guards against a trial of a popular request for the crash of a rack, also where a few runs began together.
#[test]
fn runs_that_began_at_different_times_and_end_together_are_no_copies() {
    let reports: Vec<_> = (0..8)
        .map(|server| {
            crash(
                1,
                server,
                if server < 3 {
                    0
                } else {
                    100 * u64::from(server)
                },
                1000,
            )
        })
        .collect();
    assert!(!is_quarantined(&history(&reports), 1));
}
