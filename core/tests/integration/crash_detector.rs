//! Which broken requests count as ended by a crash of their server.

use std::time::Duration;

use merlinrudder_core::crash_detector::{BrokenRun, CrashDetector, SETTLE_TIME};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;

const NOW: Moment = Moment::from_millis(1_000_000);

fn lifetime(server: u8) -> Incarnation {
    Incarnation {
        server: ServerId::from(format!("i-{server}")),
        born: 5,
    }
}

fn broken(content: u8, server: u8, ended: Moment) -> BrokenRun {
    BrokenRun {
        content: ContentDigest([content; 32]),
        incarnation: lifetime(server),
        started: ended - Duration::from_millis(100),
        ended,
    }
}

/// Returns the reported contents and servers once the crashes known so far have settled.
fn reported(detector: &mut CrashDetector, now: Moment, servers: usize) -> Vec<(u8, Incarnation)> {
    let reports = detector.take_reports(now + SETTLE_TIME, servers);
    let reported = reports
        .into_iter()
        .map(|report| (report.content.0[0], report.incarnation));
    reported.collect()
}

#[test]
fn a_lost_connection_without_the_end_of_the_server_is_no_crash() {
    let mut detector = CrashDetector::default();
    assert!(detector.record_broken(broken(1, 1, NOW)));
    assert_eq!(reported(&mut detector, NOW, 16), []);
    let later = NOW + Duration::from_secs(20);
    detector.record_crash(later, lifetime(1));
    assert_eq!(
        reported(&mut detector, later, 16),
        [],
        "the server ended long after the connection"
    );
}

#[test]
fn a_server_that_answers_after_a_lost_connection_did_not_crash_by_it() {
    let mut detector = CrashDetector::default();
    detector.record_broken(broken(1, 1, NOW));
    detector.record_alive(NOW + Duration::from_secs(1), &lifetime(1));
    let later = NOW + Duration::from_secs(2);
    detector.record_broken(broken(2, 1, later));
    detector.record_crash(later, lifetime(1));
    assert_eq!(reported(&mut detector, later, 16), [(2, lifetime(1))]);
}

#[test]
fn each_run_on_a_crashed_server_is_reported_once() {
    let mut detector = CrashDetector::default();
    detector.record_broken(broken(1, 1, NOW));
    detector.record_broken(broken(2, 1, NOW));
    detector.record_broken(broken(3, 2, NOW));
    assert!(detector.record_crash(NOW, lifetime(1)));
    assert_eq!(detector.take_reports(NOW, 16), [], "not settled yet");
    let expected = [(1, lifetime(1)), (2, lifetime(1))];
    assert_eq!(reported(&mut detector, NOW, 16), expected);
    assert_eq!(reported(&mut detector, NOW, 16), []);
    assert!(!detector.record_broken(broken(4, 1, NOW)), "a late notice");
    assert_eq!(reported(&mut detector, NOW, 16), [(4, lifetime(1))]);
}

/// Time of `millis` milliseconds after `NOW`.
fn after(millis: u64) -> Moment {
    NOW + Duration::from_millis(millis)
}

#[test]
fn an_answer_of_the_next_lifetime_before_its_announcement_does_not_hide_a_crash() {
    let mut detector = CrashDetector::default();
    detector.record_broken(broken(1, 1, NOW));
    detector.record_alive(after(400), &lifetime(1));
    detector.record_alive(after(500), &lifetime(1));
    detector.record_crash(after(520), lifetime(1));
    let expected = [(1, lifetime(1))];
    assert_eq!(reported(&mut detector, after(520), 16), expected);
}

#[test]
fn runs_that_the_announcement_of_the_next_lifetime_ends_do_not_hide_a_crash() {
    let mut detector = CrashDetector::default();
    detector.record_broken(broken(1, 1, NOW));
    detector.record_alive(after(400), &lifetime(1));
    detector.record_crash(after(520), lifetime(1));
    detector.record_broken(broken(2, 1, after(520)));
    let reported = reported(&mut detector, after(520), 16);
    assert!(reported.contains(&(1, lifetime(1))), "{reported:?}");
}

#[test]
fn an_answer_at_once_or_long_before_the_next_lifetime_clears_a_run() {
    for (answered, known) in [(20, 520), (400, 3000)] {
        let mut detector = CrashDetector::default();
        detector.record_broken(broken(1, 1, NOW));
        detector.record_alive(after(answered), &lifetime(1));
        detector.record_alive(after(known - 1), &lifetime(1));
        detector.record_crash(after(known), lifetime(1));
        assert_eq!(reported(&mut detector, after(known), 16), []);
    }
}

#[test]
fn a_run_that_broke_before_an_answer_is_cleared_by_one_that_broke_after_it() {
    let mut detector = CrashDetector::default();
    detector.record_broken(broken(1, 1, NOW));
    detector.record_alive(after(400), &lifetime(1));
    detector.record_broken(broken(2, 1, after(450)));
    detector.record_crash(after(520), lifetime(1));
    let expected = [(2, lifetime(1))];
    assert_eq!(reported(&mut detector, after(520), 16), expected);
}
