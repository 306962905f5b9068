//! Prompt parts that came together in all crashes, or in prompts that were sent together, as requests with
//! some of them are judged.

use merlinrudder_core::crash_history::{CrashHistory, CrashReport, CrashVerdict};
use merlinrudder_core::units::ContentDigest;

use crate::crash_parts::{at, content, crash, history, part, quarantined, shared_crashes, verdict};

/// Returns the verdict on a request with these parts, by the strictest one on a suspect.
fn verdict_on_request(
    history: &CrashHistory,
    own: ContentDigest,
    parts: &[ContentDigest],
) -> CrashVerdict {
    let suspects: Vec<_> = parts.iter().copied().chain([own]).collect();
    let verdicts = suspects
        .iter()
        .map(|suspect| history.verdict_within(at(60_000), suspect, &suspects));
    let rank = |verdict: &CrashVerdict| match verdict {
        CrashVerdict::Allowed => 0,
        CrashVerdict::OnTrial => 1,
        CrashVerdict::QuarantinedUntil(_) => 2,
    };
    verdicts.max_by_key(rank).expect("a request has suspects")
}

/// Guards against the quarantine of a part that all prompts share, as a crashing part came with it in
/// all crashes and nothing had completed for a while before them.
#[test]
fn a_request_with_some_of_the_parts_that_came_together_is_tried() {
    let mut history = shared_crashes(6);
    let (shared, crashing, own) = (part(1), part(2), content(7));
    let both = verdict_on_request(&history, own, &[shared, crashing]);
    assert_eq!(both, quarantined(500, 1));
    let one = verdict_on_request(&history, own, &[shared, part(8)]);
    assert_eq!(one, CrashVerdict::OnTrial);
    history.clear(&shared);
    let one = verdict_on_request(&history, own, &[shared, part(9)]);
    assert_eq!(one, CrashVerdict::Allowed);
    let other = verdict_on_request(&history, own, &[crashing]);
    assert_eq!(other, quarantined(500, 1));
}

/// Guards against trials without end of a part that crashes servers also without the other one.
#[test]
fn a_part_whose_trial_alone_crashes_a_server_is_to_blame() {
    let mut history = shared_crashes(5);
    let crashing = [part(2), part(8)];
    assert_eq!(
        verdict_on_request(&history, content(7), &crashing),
        CrashVerdict::OnTrial
    );
    history.merge(&crash(part(2), 20, 2000));
    assert_eq!(
        verdict_on_request(&history, content(8), &crashing),
        quarantined(2000, 1)
    );
    // The other part explains no crash any more that this one does not.
    let other = verdict_on_request(&history, content(9), &[part(1)]);
    assert_eq!(other, CrashVerdict::Allowed);
}

/// Guards against the quarantine of the part that all prompts share for the crashes of one request.
#[test]
fn a_part_that_only_one_crashing_request_had_is_tried_in_others() {
    let mut history = CrashHistory::default();
    for server in 0..3 {
        let ended_ms = 2000 * u64::from(server);
        history.merge(&crash(part(1), server, ended_ms));
        history.merge(&crash(content(1), server, ended_ms));
    }
    let again = verdict_on_request(&history, content(1), &[part(1)]);
    assert!(matches!(again, CrashVerdict::QuarantinedUntil(_)));
    let other = verdict_on_request(&history, content(2), &[part(1)]);
    assert_eq!(other, CrashVerdict::OnTrial);
}

/// Reports of prompts with a part that are sent together and crash a server each.
fn prompts_together(round: u32, count: u32) -> Vec<CrashReport> {
    let reports = (0..count).map(|number| {
        let at = 8000 * u64::from(round) + 5 * u64::from(number);
        crash(part(1), 100 * round + number, at)
    });
    reports.collect()
}

/// Guards against prompts with a crashing part that come together, whose crashes count as one moment.
#[test]
fn prompts_with_a_part_that_crash_servers_together_are_tried() {
    let mut history = history(prompts_together(0, 2));
    assert_eq!(verdict(&history, part(1)), CrashVerdict::Allowed);
    for report in prompts_together(0, 5) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, part(1)), CrashVerdict::OnTrial);
    for report in prompts_together(1, 1) {
        history.merge(&report);
    }
    assert_eq!(verdict(&history, part(1)), quarantined(8000, 1));
    history.clear(&part(1));
    assert_eq!(verdict(&history, part(1)), CrashVerdict::Allowed);
}

/// Guards against an hour without a part that all prompts share, as prompts with it and a crashing part
/// came together twice.
#[test]
fn a_part_that_came_with_the_crashing_one_in_prompts_together_is_tried_without_it() {
    let mut history = CrashHistory::default();
    for report in prompts_together(0, 5)
        .into_iter()
        .chain(prompts_together(1, 5))
    {
        history.merge(&report);
        let shared = CrashReport {
            content: part(2),
            ..report
        };
        history.merge(&shared);
    }
    let both = verdict_on_request(&history, content(1), &[part(1), part(2)]);
    assert!(matches!(both, CrashVerdict::QuarantinedUntil(_)));
    let one = verdict_on_request(&history, content(2), &[part(2)]);
    assert_eq!(one, CrashVerdict::OnTrial);
}
