//! Idempotency claims: ownership, recorded answers, release and expiry.

use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::claims::{
    CLAIM_TTL, ClaimKey, ClaimOutcome, ClaimState, ClaimTable, RecordedAnswer,
};
use merlinrudder_core::names::{CustomerName, ServiceName};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{ContentDigest, RequestId};

const NOW: Moment = Moment::from_millis(1_000_000);
const CONTENT: ContentDigest = ContentDigest([1; 32]);

fn key(name: &str) -> ClaimKey {
    ClaimKey {
        customer: CustomerName::from("customer"),
        service: ServiceName::from("service"),
        key: Arc::from(name),
    }
}

fn answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: Arc::from("text/plain"),
        body: None,
    }
}

#[test]
fn the_owner_can_acquire_a_claim_again_and_another_request_cannot() {
    let mut claims = ClaimTable::default();
    assert_eq!(
        claims.claim(NOW, key("a"), RequestId(1), CONTENT),
        ClaimOutcome::Acquired
    );
    assert_eq!(
        claims.claim(NOW, key("a"), RequestId(1), CONTENT),
        ClaimOutcome::Acquired
    );
    assert_eq!(
        claims.claim(NOW, key("a"), RequestId(2), CONTENT),
        ClaimOutcome::Held
    );
}

#[test]
fn a_recorded_answer_is_replayed_and_only_the_owner_can_record_it() {
    let mut claims = ClaimTable::default();
    claims.claim(NOW, key("a"), RequestId(1), CONTENT);
    claims.record(&key("a"), RequestId(2), ClaimState::Unknown);
    claims.record(&key("a"), RequestId(1), ClaimState::Answered(answer()));
    let again = claims.claim(NOW, key("a"), RequestId(3), CONTENT);
    assert_eq!(again, ClaimOutcome::Answered(answer()));
    let other = claims.claim(NOW, key("a"), RequestId(3), ContentDigest([2; 32]));
    assert_eq!(other, ClaimOutcome::ContentMismatch);
}

#[test]
fn a_release_removes_an_open_claim_but_never_a_recorded_one() {
    let mut claims = ClaimTable::default();
    claims.claim(NOW, key("a"), RequestId(1), CONTENT);
    claims.release(&key("a"), RequestId(1));
    assert_eq!(
        claims.claim(NOW, key("a"), RequestId(2), CONTENT),
        ClaimOutcome::Acquired
    );
    claims.record(&key("a"), RequestId(2), ClaimState::Unknown);
    claims.release(&key("a"), RequestId(2));
    assert_eq!(
        claims.claim(NOW, key("a"), RequestId(3), CONTENT),
        ClaimOutcome::Held
    );
}

#[test]
fn a_claim_expires_after_its_ttl_and_not_before() {
    let mut claims = ClaimTable::default();
    claims.claim(NOW, key("a"), RequestId(1), CONTENT);
    let before = claims.claim(NOW + CLAIM_TTL, key("a"), RequestId(2), CONTENT);
    assert_eq!(before, ClaimOutcome::Held);
    let after = NOW + CLAIM_TTL + Duration::from_millis(1);
    assert_eq!(
        claims.claim(after, key("a"), RequestId(2), CONTENT),
        ClaimOutcome::Acquired
    );
    assert_eq!(claims.len(), 1);
}

/// Guards against a key that is held for a day by a request that has ended: its claim was held up on the way, and is
/// applied after the release that gave it up.
#[test]
fn a_claim_that_is_applied_after_its_release_is_not_held() {
    let mut claims = ClaimTable::default();
    claims.release(&key("a"), RequestId(1));
    claims.claim(NOW, key("a"), RequestId(1), CONTENT);
    let retry = claims.claim(NOW, key("a"), RequestId(2), CONTENT);
    assert_eq!(retry, ClaimOutcome::Acquired);
}
