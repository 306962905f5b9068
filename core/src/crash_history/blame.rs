//! Blame of prompt parts for crashes, computed once after each change of the history.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use super::Runs;
use super::parts::blamed_parts;
use crate::directory::Incarnation;
use crate::time::Moment;
use crate::units::ContentDigest;

/// Quarantine of a part that is to blame for crashes.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartQuarantine {
    /// Distinct moments of the crashes that the part explains.
    pub(super) crashes: usize,
    /// End of the quarantine, also if it has passed.
    pub(super) until: Moment,
}

/// Parts that are to blame for crashes, and what they explain.
#[derive(Debug)]
pub(super) struct Blame {
    /// Parts to blame, maybe with others.
    pub(super) parts: BTreeMap<ContentDigest, PartQuarantine>,
    /// Servers whose crashes quarantined parts explain.
    pub(super) explained: BTreeSet<Incarnation>,
}

impl Blame {
    fn new(all: &BTreeMap<ContentDigest, Runs>) -> Self {
        let blamed = blamed_parts(all);
        let certain = blamed.iter().filter(|part| part.is_certain());
        let crashes = certain.flat_map(|part| &part.crashes);
        let explained = crashes.map(|(incarnation, _)| (*incarnation).clone());
        let parts = blamed.iter().map(|part| {
            let quarantine = PartQuarantine {
                crashes: part.moments.len(),
                until: part.quarantined_until(),
            };
            (part.part, quarantine)
        });
        Self {
            parts: parts.collect(),
            explained: explained.collect(),
        }
    }
}

/// Blame of the parts of a history, computed when it is first asked for.
///
/// All caches are equal, and a clone is empty, as the runs alone make a history.
#[derive(Debug, Default)]
pub(super) struct BlameCache(OnceCell<Blame>);

impl BlameCache {
    /// Returns the blame by `all` runs, which must be the same until the next `invalidate`.
    pub(super) fn get(&self, all: &BTreeMap<ContentDigest, Runs>) -> &Blame {
        self.0.get_or_init(|| Blame::new(all))
    }

    /// Forgets the blame, as the runs have changed.
    pub(super) fn invalidate(&mut self) {
        self.0.take();
    }
}

impl Clone for BlameCache {
    fn clone(&self) -> Self {
        Self::default()
    }
}

impl Eq for BlameCache {}

impl PartialEq for BlameCache {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
