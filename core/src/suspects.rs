//! Requests that may be what killed a backend server.
//!
//! A dead server makes every request that it ran a suspect. Suspects run alone on a server, so the
//! next death names one request, and innocents are not harmed twice by the same one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Moment;
use crate::units::ContentDigest;

/// Deaths of backend servers that convict a request.
pub const CONVICTING_DEATHS: u32 = 2;
/// How long a suspicion or a verdict holds without a further death.
const SUSPICION_LIFE: Duration = Duration::from_hours(1);
/// Most contents under suspicion at once; the oldest go first.
const MAX_SUSPECTS: usize = 4096;

/// What is known about a content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// Nothing speaks against it.
    Clear,
    /// It ran on one server that died; it runs alone.
    Suspect,
    /// It is refused.
    Convicted,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    deaths: u32,
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
        match self.records.get(content) {
            None => Suspicion::Clear,
            Some(record) if record.deaths < CONVICTING_DEATHS => Suspicion::Suspect,
            Some(_) => Suspicion::Convicted,
        }
    }

    /// Counts the death of a server that ran this content; returns what is now known about it.
    pub fn server_died(&mut self, now: Moment, content: ContentDigest) -> Suspicion {
        if self.records.len() >= MAX_SUSPECTS && !self.records.contains_key(&content) {
            self.forget_oldest();
        }
        let record = self.records.entry(content).or_insert(Record {
            deaths: 0,
            last: now,
        });
        record.deaths += 1;
        record.last = now;
        self.suspicion(&content)
    }

    /// Clears a suspect that ran to its end.
    pub fn ran_to_end(&mut self, content: &ContentDigest) {
        if self.suspicion(content) == Suspicion::Suspect {
            self.records.remove(content);
        }
    }

    /// Takes in a verdict of another VM.
    pub fn convict(&mut self, now: Moment, content: ContentDigest) {
        self.records.insert(
            content,
            Record {
                deaths: CONVICTING_DEATHS,
                last: now,
            },
        );
    }

    /// Forgets what is older than its life.
    pub fn expire(&mut self, now: Moment) {
        self.records
            .retain(|_, record| now.since(record.last) < SUSPICION_LIFE);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| record.last);
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}
