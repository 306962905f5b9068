//! Requests that may be what killed a backend server.
//!
//! A dead server makes every request that it ran a suspect. A suspect reads its prompt apart from
//! other suspects, so that the next death names one request; once its first token came it is
//! cleared to run among others, since a stream resumes at the very token before which it broke off.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Moment;
use crate::units::ContentDigest;

/// How long a suspicion or a verdict holds without a further death.
const SUSPICION_LIFE: Duration = Duration::from_hours(1);
/// Most contents under suspicion at once; the oldest go first.
const MAX_SUSPECTS: usize = 4096;

/// What is known about a content.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suspicion {
    /// Nothing speaks against it.
    Clear,
    /// It ran on one server that died; it reads its prompt apart from other suspects.
    Suspect,
    /// It ran on two servers that died and was cleared on one; it is kept apart to its end.
    StrictSuspect,
    /// It is refused.
    Quarantined,
}

/// A request that ran on a server when that died.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AffectedRequest {
    /// Its content.
    pub content: ContentDigest,
    /// Whether its first token had come there, so that it was cleared.
    pub cleared: bool,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Never `Clear`.
    suspicion: Suspicion,
    last: Moment,
}

/// Suspects and verdicts of one dispatcher.
#[derive(Debug, Default)]
pub struct SuspectTable {
    records: BTreeMap<ContentDigest, Record>,
}

impl SuspectTable {
    /// Returns what is known about a content.
    #[must_use]
    pub fn suspicion(&self, content: &ContentDigest) -> Suspicion {
        self.records
            .get(content)
            .map_or(Suspicion::Clear, |record| record.suspicion)
    }

    /// Takes in the death of a server with all that ran there; returns what is convicted by it.
    ///
    /// The only suspect there that was not cleared is convicted. Where there was none or several, all
    /// suspects there run alone from now on. All others become suspects.
    pub fn server_died(
        &mut self,
        now: Moment,
        blamed: &[AffectedRequest],
    ) -> Option<ContentDigest> {
        let before = |b: &&AffectedRequest| self.suspicion(&b.content) != Suspicion::Clear;
        let suspects: Vec<_> = blamed.iter().filter(before).copied().collect();
        for blamed in blamed {
            let known = self.suspicion(&blamed.content);
            self.note(now, blamed.content, known.max(Suspicion::Suspect));
        }
        let open: Vec<_> = suspects.iter().filter(|suspect| !suspect.cleared).collect();
        if let [only] = open.as_slice() {
            self.quarantine(now, only.content);
            return Some(only.content);
        }
        for suspect in suspects {
            self.note(now, suspect.content, Suspicion::StrictSuspect);
        }
        None
    }

    /// Clears a suspect that ran to its end.
    pub fn ran_to_end(&mut self, content: &ContentDigest) {
        if self.suspicion(content) < Suspicion::Quarantined {
            self.records.remove(content);
        }
    }

    /// Takes in a verdict of another VM.
    pub fn quarantine(&mut self, now: Moment, content: ContentDigest) {
        self.note(now, content, Suspicion::Quarantined);
    }

    /// Forgets what is older than its life.
    pub fn expire(&mut self, now: Moment) {
        self.records
            .retain(|_, record| now.since(record.last) < SUSPICION_LIFE);
    }

    fn note(&mut self, now: Moment, content: ContentDigest, suspicion: Suspicion) {
        if self.records.len() >= MAX_SUSPECTS && !self.records.contains_key(&content) {
            self.forget_oldest();
        }
        self.records.insert(
            content,
            Record {
                suspicion,
                last: now,
            },
        );
    }

    fn forget_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| record.last);
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}
