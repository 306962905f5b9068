//! Claims of calls that must not run twice, kept in the control log.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::names::{CustomerName, ServiceName};
use crate::time::{Moment, duration_millis};
use crate::units::{ContentDigest, RequestId};

/// How long a claim is kept after it was made; a key may be used anew after that.
pub const CLAIM_TTL: Duration = Duration::from_hours(24);
/// Most claims kept at once.
pub const MAX_CLAIMS: usize = 2_000_000;
/// Largest answer that is kept with a claim, in bytes.
pub const MAX_STORED_BODY: usize = 16 * 1024;

/// Name of a claim: a caller's idempotency key, which is the customer's own.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    /// The customer.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: Arc<str>,
}

/// Recorded answer of a call that ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedAnswer {
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Body; `None` where it was larger than `MAX_STORED_BODY`.
    pub body: Option<Arc<[u8]>>,
}

/// How far a claimed call came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// It may be running.
    Open,
    /// It ran, and this is the answer.
    Answered(RecordedAnswer),
    /// It was sent, and no answer came.
    Unknown,
}

/// A claim as kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Request that holds it.
    pub owner: RequestId,
    /// Digest of the call's path and body.
    pub content: ContentDigest,
    /// When it was made, on the leader's wall clock.
    pub created_at: Moment,
    /// How far the call came.
    pub state: ClaimState,
}

/// Answer to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request owns the claim and may send the call once.
    Acquired,
    /// Another request owns it, and its outcome is not known.
    Held,
    /// The call ran, and this is its answer.
    Answered(RecordedAnswer),
    /// The key belongs to a call with another content.
    ContentMismatch,
    /// The table is full.
    Full,
}

/// All claims, with an index by age.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
    /// The same claims by the time they were made.
    by_creation: BTreeSet<(Moment, ClaimKey)>,
}

impl ClaimTable {
    /// Returns how many claims are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns all claims in order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        self.claims.iter()
    }

    /// Puts a claim back, from a snapshot.
    pub fn restore(&mut self, key: ClaimKey, claim: Claim) {
        self.by_creation.insert((claim.created_at, key.clone()));
        self.claims.insert(key, claim);
    }

    /// Claims a key for `owner`; the same claim again gets the same answer.
    pub fn claim(
        &mut self,
        created_at: Moment,
        key: ClaimKey,
        owner: RequestId,
        content: ContentDigest,
    ) -> ClaimOutcome {
        self.expire(created_at);
        if let Some(claim) = self.claims.get(&key) {
            return claim.answer(owner, content);
        }
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimOutcome::Full;
        }
        self.restore(
            key,
            Claim {
                owner,
                content,
                created_at,
                state: ClaimState::Open,
            },
        );
        ClaimOutcome::Acquired
    }

    /// Records how the owner's call ended; anyone else's word changes nothing.
    pub fn record(&mut self, key: &ClaimKey, owner: RequestId, state: ClaimState) {
        let claim = self
            .claims
            .get_mut(key)
            .filter(|claim| claim.owner == owner);
        if let Some(claim) = claim {
            claim.state = state;
        }
    }

    /// Gives a claim up whose call provably did not run, so that a resend may run it.
    pub fn release(&mut self, key: &ClaimKey, owner: RequestId) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        if claim.owner == owner && claim.state == ClaimState::Open {
            let created_at = claim.created_at;
            self.claims.remove(key);
            self.by_creation.remove(&(created_at, key.clone()));
        }
    }

    fn expire(&mut self, now: Moment) {
        let oldest_kept =
            Moment::from_millis(now.as_millis().saturating_sub(duration_millis(CLAIM_TTL)));
        while let Some((created_at, key)) = self.by_creation.first() {
            if *created_at >= oldest_kept {
                break;
            }
            let entry = (*created_at, key.clone());
            self.claims.remove(&entry.1);
            self.by_creation.remove(&entry);
        }
    }
}

impl Claim {
    fn answer(&self, owner: RequestId, content: ContentDigest) -> ClaimOutcome {
        if self.content != content {
            return ClaimOutcome::ContentMismatch;
        }
        match &self.state {
            ClaimState::Answered(answer) => ClaimOutcome::Answered(answer.clone()),
            ClaimState::Open if self.owner == owner => ClaimOutcome::Acquired,
            ClaimState::Open | ClaimState::Unknown => ClaimOutcome::Held,
        }
    }
}
