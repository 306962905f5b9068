//! Which prompt parts are quarantined by which crashes, and which requests beside them are not.

use std::time::Duration;

use merlinrudder_core::crash_detector::{BrokenRun, CrashDetector};
use merlinrudder_core::crash_history::{
    CrashHistory, CrashReport, CrashVerdict, CrashedRun, MAX_CONTENTS, MAX_PART_CRASHES,
};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use proptest::prelude::*;

const NOW: Moment = Moment::from_millis(1_000_000_000);
const HOUR: Duration = Duration::from_hours(1);
/// Length of a run unless a test chooses it.
const RUN_MS: u64 = 1000;
/// Time between the begins of two runs that a failing zone ends.
const RUN_SPREAD: Duration = Duration::from_millis(150);

pub fn part(number: u32) -> ContentDigest {
    ContentDigest::of_prompt_part("chat", &format!("part-{number}"))
}

pub fn content(number: u32) -> ContentDigest {
    ContentDigest::of(&number.to_le_bytes())
}

/// Time of `millis` after the first crash.
pub fn at(millis: u64) -> Moment {
    NOW + Duration::from_millis(millis)
}

fn lifetime(server: u32) -> Incarnation {
    Incarnation {
        server: ServerId::from(format!("i-{server}")),
        born: 5,
    }
}

/// Report of a run of `RUN_MS` on a server that crashed `ended_ms` after the first crash.
pub fn crash(suspect: ContentDigest, server: u32, ended_ms: u64) -> CrashReport {
    CrashReport {
        content: suspect,
        incarnation: lifetime(server),
        run: CrashedRun {
            started: at(ended_ms) - Duration::from_millis(RUN_MS),
            ended: at(ended_ms),
            servers: 60,
            cleared: false,
        },
    }
}

/// Reports of a suspect on each of `servers`, which crash 0.1 s apart in the order of their numbers.
fn crashes(
    suspect: ContentDigest,
    servers: impl IntoIterator<Item = u32>,
) -> impl Iterator<Item = CrashReport> {
    let servers = servers.into_iter();
    servers.map(move |server| crash(suspect, server, 100 * u64::from(server)))
}

pub fn history(reports: impl IntoIterator<Item = CrashReport>) -> CrashHistory {
    let mut history = CrashHistory::default();
    for report in reports {
        history.merge(&report);
    }
    history
}

/// Verdict a minute after the first crash.
pub fn verdict(history: &CrashHistory, suspect: ContentDigest) -> CrashVerdict {
    history.verdict(at(60_000), &suspect)
}

/// Quarantine that ends a number of hours after the crash at `ended_ms`.
pub fn quarantined(ended_ms: u64, hours: u32) -> CrashVerdict {
    CrashVerdict::QuarantinedUntil(at(ended_ms) + HOUR * hours)
}

#[test]
fn digests_tell_parts_from_whole_requests_and_differ_between_services() {
    assert!(part(1).is_prompt_part() && !content(1).is_prompt_part());
    assert_ne!(part(1), part(2));
    assert_ne!(part(1), ContentDigest::of_prompt_part("other", "part-1"));
    let joined = ContentDigest::of_prompt_part("ab", "c");
    assert_ne!(joined, ContentDigest::of_prompt_part("a", "bc"));
    assert_eq!(ContentDigest::from_hex(&part(1).to_string()), Some(part(1)));
}

#[test]
fn a_part_on_three_servers_is_quarantined_though_no_two_requests_are_alike_and_runs_overlap() {
    let mut history = history(crashes(part(1), 0..3));
    for number in 0..48 {
        let server = number / 16;
        history.merge(&crash(content(number), server, 100 * u64::from(server)));
        history.merge(&crash(part(100 + number), server, 100 * u64::from(server)));
    }
    assert_eq!(verdict(&history, part(1)), quarantined(200, 1));
    for number in 0..48 {
        assert_eq!(verdict(&history, content(number)), CrashVerdict::Allowed);
        let beside = part(100 + number);
        assert_eq!(verdict(&history, beside), CrashVerdict::Allowed);
    }
}

#[test]
fn two_crashes_quarantine_no_part() {
    let history = history(crashes(part(1), 0..2));
    assert_eq!(verdict(&history, part(1)), CrashVerdict::Allowed);
}

#[test]
fn a_shared_first_part_that_completes_elsewhere_is_never_quarantined() {
    let mut history = CrashHistory::default();
    for server in 0..10 {
        for report in crashes(part(0), [server]).chain(crashes(part(1), [server])) {
            history.merge(&report);
        }
        for report in history.clear(&part(0)) {
            history.merge(&report);
        }
        // Another VM repeats what it knew before the completion.
        history.merge(&crash(part(0), server, 100 * u64::from(server)));
        assert_eq!(verdict(&history, part(0)), CrashVerdict::Allowed);
    }
    assert_eq!(verdict(&history, part(1)), quarantined(900, 1));
}

#[test]
fn rare_parts_beside_the_guilty_one_on_three_servers_are_explained_away() {
    let mut history = history(crashes(part(1), 0..5));
    for report in crashes(part(2), 0..3).chain(crashes(part(3), [0, 2, 3, 4])) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, part(1)), quarantined(400, 1));
    assert_eq!(verdict(&history, part(2)), CrashVerdict::Allowed);
    assert_eq!(verdict(&history, part(3)), CrashVerdict::Allowed);
}

#[test]
fn crashes_that_the_guilty_part_does_not_explain_still_count_against_another() {
    let mut history = history(crashes(part(1), 0..5));
    for report in crashes(part(2), [0, 1, 10, 11]) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, part(2)), CrashVerdict::Allowed);
    history.merge(&crash(part(2), 12, 1200));
    assert_eq!(verdict(&history, part(2)), quarantined(1200, 1));
}

#[test]
fn a_part_on_more_servers_explains_away_one_with_more_moments() {
    let pairs = (0..6).map(|server| crash(part(1), server, 100 * u64::from(server / 2)));
    let beside = [(0, 0), (2, 100), (4, 200), (10, 1000)];
    let beside = beside.map(|(server, ended_ms)| crash(part(2), server, ended_ms));
    let history = history(pairs.chain(beside));
    assert_eq!(verdict(&history, part(1)), quarantined(200, 1));
    assert_eq!(verdict(&history, part(2)), CrashVerdict::Allowed);
}

#[test]
fn of_two_parts_on_equally_many_servers_the_one_with_more_moments_is_to_blame() {
    let mut history = history(crashes(part(1), 0..4).chain(crashes(part(2), 0..3)));
    history.merge(&crash(part(2), 10, 210));
    assert_eq!(verdict(&history, part(1)), quarantined(300, 1));
    assert_eq!(verdict(&history, part(2)), CrashVerdict::Allowed);
}

#[test]
fn crashes_of_which_a_part_was_cleared_are_not_explained_by_it() {
    let mut history = history(crashes(part(2), 0..8));
    history.clear(&part(2));
    for report in crashes(part(2), 10..13).chain(crashes(part(1), 0..3)) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, part(1)), quarantined(200, 1));
    assert_eq!(verdict(&history, part(2)), quarantined(1200, 1));
}

/// Reports of a suspect on servers that crash two seconds apart, so that its runs do not overlap.
fn slow_crashes(
    suspect: ContentDigest,
    servers: impl IntoIterator<Item = u32>,
) -> impl Iterator<Item = CrashReport> {
    let servers = servers.into_iter();
    servers.map(move |server| crash(suspect, server, 2000 * u64::from(server)))
}

#[test]
fn a_request_beside_a_quarantined_part_on_three_servers_is_allowed() {
    let mut history = history(slow_crashes(content(1), 0..3));
    assert_ne!(verdict(&history, content(1)), CrashVerdict::Allowed);
    for report in slow_crashes(part(1), 0..4) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, content(1)), CrashVerdict::Allowed);
    assert_eq!(verdict(&history, part(1)), quarantined(6000, 1));
    let listed = history.quarantined(at(60_000));
    let listed: Vec<_> = listed.iter().map(|entry| entry.content).collect();
    assert_eq!(listed, [part(1)]);
}

#[test]
fn a_request_beside_a_part_is_allowed_also_after_the_end_of_the_part_s_quarantine() {
    let reports = slow_crashes(content(1), 0..3).chain(slow_crashes(part(1), 0..3));
    let history = history(reports);
    let later = at(4000) + HOUR;
    assert_eq!(history.verdict(later, &part(1)), CrashVerdict::OnTrial);
    assert_eq!(history.verdict(later, &content(1)), CrashVerdict::Allowed);
}

#[test]
fn crashes_beside_a_quarantined_part_do_not_extend_a_request_s_own_quarantine() {
    let mut history = history(slow_crashes(content(1), 0..3));
    for report in slow_crashes(part(1), 10..13).chain(slow_crashes(content(1), 10..13)) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, content(1)), quarantined(4000, 1));
}

#[test]
fn a_request_whose_crashes_a_part_explains_is_no_rival_of_another() {
    let mut history = history(slow_crashes(content(1), 0..3));
    for report in slow_crashes(content(2), [2, 10, 11]) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, content(1)), CrashVerdict::OnTrial);
    for report in slow_crashes(part(1), 10..13) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, content(1)), quarantined(4000, 1));
}

#[test]
fn parts_are_neither_rivals_of_a_request_nor_signs_of_a_widespread_failure() {
    let mut history = history(slow_crashes(content(1), 0..3));
    for report in slow_crashes(part(1), 0..2) {
        history.merge(&report);
    }
    for other in 0..60 {
        history.merge(&crash(part(100 + other), 100 + other, 0));
    }
    assert_eq!(verdict(&history, content(1)), quarantined(4000, 1));
}

/// Reports of a part on eight servers that crash within 28 ms, in runs that began at different times.
fn zone_crash(number: u32, first_server: u32, ended_ms: u64) -> Vec<CrashReport> {
    let reports = (0..8).map(|server| {
        let at = ended_ms + 4 * u64::from(server);
        begun_earlier(crash(part(number), first_server + server, at), server)
    });
    reports.collect()
}

/// Lets the run of a report have begun earlier, by a time of its own for each server.
fn begun_earlier(mut report: CrashReport, server: u32) -> CrashReport {
    report.run.started = report.run.started - RUN_SPREAD * server;
    report
}

#[test]
fn the_crashes_of_one_zone_and_of_a_second_one_quarantine_no_part() {
    let mut history = history(zone_crash(1, 0, 0));
    assert_eq!(verdict(&history, part(1)), CrashVerdict::Allowed);
    for report in zone_crash(1, 100, 2000) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, part(1)), CrashVerdict::Allowed);
}

#[test]
fn servers_that_fail_one_after_another_within_the_tolerance_make_one_moment() {
    let reports = (0..8).map(|server| {
        let report = crash(part(1), server, 40 * u64::from(server));
        begun_earlier(report, server)
    });
    let history = history(reports);
    assert_eq!(verdict(&history, part(1)), CrashVerdict::Allowed);
}

#[test]
fn runs_that_were_sent_to_the_servers_of_a_zone_after_its_crash_do_not_count() {
    let mut history = history(zone_crash(1, 0, 0));
    for server in 0..8 {
        let mut late = crash(part(2), server, 100 + 200 * u64::from(server));
        late.run.started = late.run.ended - Duration::from_millis(1);
        history.merge(&late);
    }
    assert_eq!(verdict(&history, part(2)), CrashVerdict::Allowed);
}

#[test]
fn servers_that_stop_as_announced_give_no_reports_about_parts() {
    let mut detector = CrashDetector::default();
    for server in 0..8 {
        let ended_ms = 1000 * u64::from(server);
        detector.record_broken(BrokenRun {
            content: part(1),
            incarnation: lifetime(server),
            started: at(ended_ms) - Duration::from_millis(RUN_MS),
            ended: at(ended_ms),
        });
    }
    assert_eq!(detector.take_reports(at(8000), 60), Vec::new());
}

#[test]
fn two_guilty_parts_at_once_are_both_quarantined() {
    let guilty = crashes(part(1), [0, 2, 4]).chain(crashes(part(2), [1, 3, 5]));
    let history = history(guilty.chain(crashes(part(3), [0, 1])));
    assert_eq!(verdict(&history, part(1)), quarantined(400, 1));
    assert_eq!(verdict(&history, part(2)), quarantined(500, 1));
    assert_eq!(verdict(&history, part(3)), CrashVerdict::Allowed);
}

#[test]
fn two_guilty_parts_that_shared_one_server_are_both_quarantined() {
    let history = history(crashes(part(1), 0..4).chain(crashes(part(2), 3..7)));
    assert_eq!(verdict(&history, part(1)), quarantined(300, 1));
    assert_eq!(verdict(&history, part(2)), quarantined(600, 1));
}

#[test]
fn parts_with_equally_many_crashes_and_few_of_their_own_are_on_trial() {
    let history = history(crashes(part(1), 0..3).chain(crashes(part(2), 2..5)));
    assert_eq!(verdict(&history, part(1)), CrashVerdict::OnTrial);
    assert_eq!(verdict(&history, part(2)), CrashVerdict::OnTrial);
}

/// Returns a history in which parts 1 and 2 ran together on each of `crashed` servers.
pub fn shared_crashes(crashed: u32) -> CrashHistory {
    history(crashes(part(1), 0..crashed).chain(crashes(part(2), 0..crashed)))
}

#[test]
fn parts_that_always_come_together_are_on_trial_and_quarantined_from_the_fifth_crash() {
    for (crashed, expected) in [
        (2, CrashVerdict::Allowed),
        (3, CrashVerdict::OnTrial),
        (4, CrashVerdict::OnTrial),
        (5, quarantined(400, 1)),
    ] {
        let history = shared_crashes(crashed);
        assert_eq!(verdict(&history, part(1)), expected, "{crashed} crashes");
        assert_eq!(verdict(&history, part(2)), expected, "{crashed} crashes");
    }
}

#[test]
fn a_completion_of_one_part_and_a_further_crash_of_the_other_tell_them_apart() {
    let mut history = shared_crashes(3);
    history.clear(&part(2));
    history.merge(&crash(part(1), 9, 900));
    assert_eq!(verdict(&history, part(1)), quarantined(900, 1));
    assert_eq!(verdict(&history, part(2)), CrashVerdict::Allowed);
}

#[test]
fn parts_on_trial_do_not_excuse_a_request_that_crashed_three_servers() {
    let parts = slow_crashes(part(1), 0..3).chain(slow_crashes(part(2), 0..3));
    let history = history(parts.chain(slow_crashes(content(1), 0..3)));
    assert_eq!(verdict(&history, part(1)), CrashVerdict::OnTrial);
    assert_eq!(verdict(&history, content(1)), quarantined(4000, 1));
}

#[test]
fn an_operator_sees_quarantined_parts_and_lifts_them() {
    let mut history = history(crashes(part(1), 0..4).chain(crashes(part(2), 0..2)));
    let listed = history.quarantined(at(60_000));
    assert_eq!(listed.len(), 1);
    assert_eq!((listed[0].content, listed[0].crashes), (part(1), 4));
    assert_eq!(listed[0].until, at(300) + HOUR);
    assert_eq!(history.clear(&part(1)).len(), 4);
    assert_eq!(verdict(&history, part(1)), CrashVerdict::Allowed);
    assert_eq!(history.quarantined(at(60_000)), Vec::new());
}

#[test]
fn the_end_of_a_quarantine_is_a_trial_whose_crash_extends_it() {
    let mut history = history(crashes(part(1), 0..3));
    let end = at(200) + HOUR;
    assert_eq!(history.verdict(end, &part(1)), CrashVerdict::OnTrial);
    history.expire(end);
    let trial_ms = 3_700_000;
    history.merge(&crash(part(1), 50, trial_ms));
    let extended = quarantined(trial_ms, 4);
    assert_eq!(history.verdict(at(trial_ms), &part(1)), extended);
}

#[test]
fn crashes_that_were_under_way_do_not_extend_the_quarantine() {
    let history = history(crashes(part(1), 0..10));
    assert_eq!(verdict(&history, part(1)), quarantined(900, 1));
}

#[test]
fn a_crash_in_the_trial_extends_the_quarantine_also_after_crashes_of_sixty_servers() {
    let mut history = history(crashes(part(1), 0..60));
    assert_eq!(history.reports().count(), MAX_PART_CRASHES);
    assert_eq!(verdict(&history, part(1)), quarantined(5900, 1));
    let trial_ms = 3_700_000;
    assert!(history.merge(&crash(part(1), 90, trial_ms)));
    assert_eq!(history.reports().count(), MAX_PART_CRASHES);
    let extended = quarantined(trial_ms, 4);
    assert_eq!(history.verdict(at(trial_ms), &part(1)), extended);
}

#[test]
fn a_part_to_blame_is_remembered_for_two_days_and_others_for_an_hour() {
    let mut history = history(crashes(part(1), 0..4).chain(crashes(part(2), 0..3)));
    history.expire(at(300) + HOUR / 2);
    assert_eq!(history.len(), 2);
    history.expire(at(300) + HOUR * 47);
    assert_eq!(history.len(), 1);
    assert!(history.is_suspect(&part(1)));
    history.expire(at(300) + HOUR * 48);
    assert!(history.is_empty());
}

#[test]
fn a_flood_of_parts_neither_displaces_a_quarantine_nor_grows_the_table() {
    let quarantines = crashes(part(1), 0..3).chain(slow_crashes(content(1), 100..103));
    let mut history = history(quarantines);
    for number in 0..10_000 {
        history.merge(&crash(part(100 + number), 1000 + number, 300_000));
    }
    assert_eq!(history.len(), MAX_CONTENTS);
    assert_ne!(verdict(&history, part(1)), CrashVerdict::Allowed);
    assert_ne!(verdict(&history, content(1)), CrashVerdict::Allowed);
    for report in crashes(part(2), 20_000..20_003) {
        history.merge(&report);
    }
    let learned = history.verdict(at(2_000_200), &part(2));
    assert_ne!(learned, CrashVerdict::Allowed, "a full table still learns");
}

#[test]
fn a_part_that_crashed_two_servers_outlasts_a_flood_of_parts_with_one_crash_each() {
    let mut history = history(crashes(part(1), 0..2));
    for number in 0..5000 {
        history.merge(&crash(part(100 + number), 1000 + number, 300_000));
    }
    history.merge(&crash(part(1), 2, 300_100));
    let third = quarantined(300_100, 1);
    assert_eq!(history.verdict(at(300_100), &part(1)), third);
}

#[test]
fn a_flood_of_parts_beside_the_guilty_one_does_not_displace_it() {
    let guilty = crashes(part(1), 0..4);
    let mut history = history(guilty);
    let beside = u32::try_from(MAX_CONTENTS).unwrap() + 100;
    for server in 1..4 {
        for number in 0..beside {
            let at = 100 * u64::from(server);
            history.merge(&crash(part(100 + number), server, at));
        }
    }
    assert_eq!(history.len(), MAX_CONTENTS);
    assert_eq!(verdict(&history, part(1)), quarantined(300, 1));
    assert_eq!(history.quarantined(at(60_000)).len(), 1);
}

prop_compose! {
    /// Any report of one of three parts and two contents, on enough servers to fill a part's record.
    fn any_report()(number in 0..5_u32, server in 0..48_u32, length in 1..3000_u64, cleared in any::<bool>())
        -> CrashReport {
        let (suspect, servers) = if number < 3 { (part(number), 48) } else { (content(number), 8) };
        // A run's end depends on its server only, as all runs end with it.
        let server = server % servers;
        let mut report = crash(suspect, server, 70 * u64::from(server));
        report.run.started = report.run.ended - Duration::from_millis(length);
        report.run.cleared = cleared && number == 2;
        report
    }
}

proptest! {
    #[test]
    fn any_order_and_repetition_of_reports_gives_the_same_history_and_verdicts(
        reports in prop::collection::vec(any_report(), 0..300),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..400),
    ) {
        let in_order = history(reports.iter().cloned());
        let mut shuffled = CrashHistory::default();
        if !reports.is_empty() {
            for index in order {
                shuffled.merge(index.get(&reports));
            }
        }
        // The other side of a partition then sends all that it knows.
        let all: Vec<_> = in_order.reports().collect();
        for report in all.iter().rev() {
            shuffled.merge(report);
        }
        for report in &reports {
            let suspect = report.content;
            prop_assert_eq!(verdict(&shuffled, suspect), verdict(&in_order, suspect));
        }
        prop_assert_eq!(shuffled, in_order);
    }
}
