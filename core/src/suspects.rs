//! Finds requests that crash backend servers, and quarantines them.
//!
//! When a server dies, every request that ran on it becomes a suspect. A suspect is prefilled apart
//! from other suspects, so that the next crash identifies a single request. Its first token clears
//! it to run beside others: a stream resumes at the very token before which it broke off, so the
//! request that crashed the server would crash the next one before that token.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Moment;
use crate::units::ContentDigest;

/// Time after which a suspicion or quarantine expires if no further server dies.
const SUSPICION_LIFETIME: Duration = Duration::from_hours(1);
/// Maximum number of contents tracked; the oldest ones are evicted.
const MAX_SUSPECTS: usize = 4096;

/// Suspicion against a request content, in increasing order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suspicion {
    /// It is not suspected.
    Clear,
    /// It ran on one server that died, and is prefilled apart from other suspects.
    Suspect,
    /// It ran on two servers that died without identifying the cause; isolated to its end.
    StrictSuspect,
    /// It is refused until the quarantine expires.
    Quarantined,
}

/// A request that ran on a server when the server died.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AffectedRequest {
    /// Digest of the request content.
    pub content: ContentDigest,
    /// Whether it was no suspect when it was placed there, or its first token had cleared it.
    pub cleared: bool,
}

#[derive(Clone, Copy, Debug)]
struct SuspectRecord {
    /// Never `Clear`.
    suspicion: Suspicion,
    updated: Moment,
}

/// Suspected and quarantined contents known to one dispatcher.
#[derive(Debug, Default)]
pub struct SuspectTable {
    records: BTreeMap<ContentDigest, SuspectRecord>,
}

impl SuspectTable {
    /// Returns the suspicion against a content.
    #[must_use]
    pub fn suspicion(&self, content: &ContentDigest) -> Suspicion {
        self.records
            .get(content)
            .map_or(Suspicion::Clear, |record| record.suspicion)
    }

    /// Records that a server died while running `affected`; returns a newly quarantined content.
    ///
    /// If exactly one earlier suspect there was not cleared, it is quarantined. If there was none
    /// or several, all earlier suspects there become strict suspects. Other requests become
    /// suspects.
    pub fn server_died(
        &mut self,
        now: Moment,
        affected: &[AffectedRequest],
    ) -> Option<ContentDigest> {
        let known_suspect =
            |request: &&AffectedRequest| self.suspicion(&request.content) != Suspicion::Clear;
        let suspects: Vec<_> = affected.iter().filter(known_suspect).copied().collect();
        for request in affected {
            let known = self.suspicion(&request.content);
            self.set_suspicion(now, request.content, known.max(Suspicion::Suspect));
        }
        let uncleared: Vec<_> = suspects.iter().filter(|suspect| !suspect.cleared).collect();
        if let [only] = uncleared.as_slice() {
            self.quarantine(now, only.content);
            return Some(only.content);
        }
        for suspect in suspects {
            self.set_suspicion(now, suspect.content, Suspicion::StrictSuspect);
        }
        None
    }

    /// Clears a suspect that ran to its end; a quarantined content stays so.
    pub fn ran_to_end(&mut self, content: &ContentDigest) {
        if self.suspicion(content) < Suspicion::Quarantined {
            self.records.remove(content);
        }
    }

    /// Quarantines a content, such as on the decision of another VM.
    pub fn quarantine(&mut self, now: Moment, content: ContentDigest) {
        self.set_suspicion(now, content, Suspicion::Quarantined);
    }

    /// Removes suspicions and quarantines that have expired.
    pub fn expire(&mut self, now: Moment) {
        self.records
            .retain(|_, record| now.since(record.updated) < SUSPICION_LIFETIME);
    }

    fn set_suspicion(&mut self, now: Moment, content: ContentDigest, suspicion: Suspicion) {
        if self.records.len() >= MAX_SUSPECTS && !self.records.contains_key(&content) {
            self.forget_oldest();
        }
        self.records.insert(
            content,
            SuspectRecord {
                suspicion,
                updated: now,
            },
        );
    }

    fn forget_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| record.updated);
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}
