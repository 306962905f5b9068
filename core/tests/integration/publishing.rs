//! Entries of the control log for manifests that are published again and again.

use merlinrudder_core::consensus::message::{Index, Term};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::publishing::{PublishDecision, Publishing};

const TERM: Term = Term(3);

fn decide(publishing: &Publishing, number: u64, applied: u64) -> PublishDecision {
    let (number, applied) = (ManifestNumber(number), Some(ManifestNumber(applied)));
    publishing.decide(number, applied, TERM, Index(10))
}

/// Guards against an entry with the whole document for each repeat of a publish.
#[test]
fn a_repeat_joins_the_entry_that_is_not_committed_yet() {
    let mut publishing = Publishing::default();
    assert_eq!(decide(&publishing, 7, 6), PublishDecision::Append);
    publishing.appended(ManifestNumber(7), TERM, Index(11));
    assert_eq!(decide(&publishing, 7, 6), PublishDecision::Join(Index(11)));
}

#[test]
fn a_manifest_that_is_overtaken_joins_the_one_that_replaces_it() {
    let mut publishing = Publishing::default();
    publishing.appended(ManifestNumber(9), TERM, Index(11));
    assert_eq!(decide(&publishing, 8, 6), PublishDecision::Join(Index(11)));
    assert_eq!(decide(&publishing, 10, 6), PublishDecision::Append);
}

#[test]
fn a_manifest_that_is_not_newer_is_answered_at_once() {
    let publishing = Publishing::default();
    assert_eq!(decide(&publishing, 6, 6), PublishDecision::Answer);
    assert_eq!(decide(&publishing, 5, 6), PublishDecision::Answer);
}

/// Guards against a publish that waits for an entry which another leader has replaced.
#[test]
fn an_entry_of_another_term_or_one_that_is_applied_is_not_joined() {
    let mut publishing = Publishing::default();
    publishing.appended(ManifestNumber(7), Term(2), Index(11));
    assert_eq!(decide(&publishing, 7, 6), PublishDecision::Append);
    publishing.appended(ManifestNumber(7), TERM, Index(10));
    assert_eq!(decide(&publishing, 7, 6), PublishDecision::Append);
}

/// Guards against a first manifest of number 0 that is confirmed without an entry in the log.
#[test]
fn a_first_manifest_is_appended_whatever_its_number() {
    let publishing = Publishing::default();
    let first = publishing.decide(ManifestNumber(0), None, TERM, Index(10));
    assert_eq!(first, PublishDecision::Append);
    assert_eq!(decide(&publishing, 0, 0), PublishDecision::Answer);
}
