//! Idempotency claims, which keep a call from running twice.
//!
//! The table of claims is part of the control log's state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::names::{CustomerName, ServiceName};
use crate::time::{Moment, duration_millis};
use crate::units::{ContentDigest, RequestId};

/// How long a claim is kept; its key can be reused after that.
pub const CLAIM_TTL: Duration = Duration::from_hours(24);
/// Maximum number of claims kept at once.
pub const MAX_CLAIMS: usize = 2_000_000;
/// Maximum size of an answer body stored with a claim, in bytes.
pub const MAX_STORED_BODY: usize = 16 * 1024;

/// Key of a claim: an idempotency key, scoped to a customer and a service.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    /// Customer that chose the key.
    pub customer: CustomerName,
    /// Service that the call goes to.
    pub service: ServiceName,
    /// Idempotency key from the caller's request.
    pub key: Arc<str>,
}

/// Stored answer of a call that ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedAnswer {
    /// HTTP status code of the backend server's answer.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Body; `None` if it was larger than `MAX_STORED_BODY`.
    pub body: Option<Arc<[u8]>>,
}

/// Progress of a claimed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The call may be running.
    Open,
    /// The call ran, with this answer.
    Answered(RecordedAnswer),
    /// The call was sent, but no answer arrived.
    Unknown,
}

/// A claim in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Request that may run the call.
    pub owner: RequestId,
    /// Digest of the call's path and body.
    pub content: ContentDigest,
    /// When it was created, on the wall clock of the control log's leader.
    pub created_at: Moment,
    /// Progress of the call.
    pub state: ClaimState,
}

/// Result of claiming a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request owns the claim and may run the call once.
    Acquired,
    /// The key is taken, and the outcome of its call is not known.
    Held,
    /// The call already ran, with this answer.
    Answered(RecordedAnswer),
    /// The key belongs to a call with a different path or body.
    ContentMismatch,
    /// The table holds `MAX_CLAIMS` claims.
    Full,
}

/// All claims by key, with an index by creation time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
    /// Index of `claims` by creation time.
    by_creation: BTreeSet<(Moment, ClaimKey)>,
}

impl ClaimTable {
    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table holds no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns all claims, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        self.claims.iter()
    }

    /// Inserts a claim as read from a snapshot.
    pub fn restore(&mut self, key: ClaimKey, claim: Claim) {
        self.by_creation.insert((claim.created_at, key.clone()));
        self.claims.insert(key, claim);
    }

    /// Claims a key for `owner`; a repeated claim gets the same result.
    pub fn claim(
        &mut self,
        created_at: Moment,
        key: ClaimKey,
        owner: RequestId,
        content: ContentDigest,
    ) -> ClaimOutcome {
        self.expire(created_at);
        if let Some(claim) = self.claims.get(&key) {
            return claim.outcome_for(owner, content);
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

    /// Records how the owner's call ended; ignores requests that don't own the claim.
    pub fn record(&mut self, key: &ClaimKey, owner: RequestId, state: ClaimState) {
        let claim = self
            .claims
            .get_mut(key)
            .filter(|claim| claim.owner == owner);
        if let Some(claim) = claim {
            claim.state = state;
        }
    }

    /// Removes an open claim so that a retry can run its call.
    ///
    /// Call this only if the call provably did not run.
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
    fn outcome_for(&self, owner: RequestId, content: ContentDigest) -> ClaimOutcome {
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
