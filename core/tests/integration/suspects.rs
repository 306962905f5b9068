//! Which request contents are quarantined when servers die.

use merlinrudder_core::suspects::{AffectedRequest, SuspectTable, Suspicion};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;

const NOW: Moment = Moment::from_millis(1_000_000);

fn content(number: u8) -> ContentDigest {
    ContentDigest([number; 32])
}

fn ran(number: u8, cleared: bool) -> AffectedRequest {
    AffectedRequest {
        content: content(number),
        cleared,
    }
}

#[test]
fn the_only_uncleared_suspect_is_quarantined_by_the_second_death() {
    let mut suspects = SuspectTable::default();
    assert_eq!(
        suspects.server_died(NOW, &[ran(1, true), ran(2, true)]),
        None
    );
    let second = [ran(1, false), ran(2, true), ran(3, true)];
    assert_eq!(suspects.server_died(NOW, &second), Some(content(1)));
    assert_eq!(suspects.suspicion(&content(2)), Suspicion::Suspect);
    assert_eq!(suspects.suspicion(&content(3)), Suspicion::Suspect);
}

/// Guards against quarantining an innocent stream that was hit by two unrelated server deaths.
///
/// This happened in a replay.
#[test]
fn a_cleared_suspect_is_not_quarantined_by_an_unrelated_death() {
    let mut suspects = SuspectTable::default();
    suspects.server_died(NOW, &[ran(1, true)]);
    assert_eq!(
        suspects.server_died(NOW, &[ran(1, true), ran(2, true)]),
        None
    );
    assert_eq!(suspects.suspicion(&content(1)), Suspicion::StrictSuspect);
}

#[test]
fn a_content_that_crashes_after_its_first_token_is_quarantined_by_the_third_death() {
    let mut suspects = SuspectTable::default();
    suspects.server_died(NOW, &[ran(1, true)]);
    suspects.server_died(NOW, &[ran(1, true), ran(2, true)]);
    // A strict suspect stays isolated to its end, so its first token does not clear it.
    assert_eq!(
        suspects.server_died(NOW, &[ran(1, false)]),
        Some(content(1))
    );
}

#[test]
fn a_completed_suspect_is_cleared_and_a_quarantined_content_stays() {
    let mut suspects = SuspectTable::default();
    suspects.server_died(NOW, &[ran(1, true)]);
    suspects.ran_to_end(&content(1));
    assert_eq!(suspects.suspicion(&content(1)), Suspicion::Clear);
    suspects.quarantine(NOW, content(2));
    suspects.ran_to_end(&content(2));
    assert_eq!(suspects.suspicion(&content(2)), Suspicion::Quarantined);
}
