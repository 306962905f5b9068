//! Blame of prompt parts for crashes, computed once after each change of the history.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use super::contents::QUARANTINE_CRASHES;
use super::parts::{BlamedPart, PART_CRASHES, blamed_parts, distinct_moments};
use super::{Runs, sequential_crashes};
use crate::directory::Incarnation;
use crate::time::Moment;
use crate::units::ContentDigest;

/// Quarantine of a part that is to blame for crashes.
#[derive(Clone, Debug)]
pub(super) struct PartQuarantine {
    /// Distinct moments of the crashes that the part explains.
    pub(super) crashes: usize,
    /// End of the quarantine, also if it has passed.
    pub(super) until: Moment,
    /// The crashes that the part explains.
    explained: Vec<ExplainedCrash>,
}

/// A crash that a part explains.
#[derive(Clone, Debug)]
struct ExplainedCrash {
    ended: Moment,
    /// Other suspects that explain it as well.
    rivals: Vec<ContentDigest>,
}

impl PartQuarantine {
    /// Whether the part is to blame for crashes that no suspect outside of a request may have caused.
    ///
    /// `request` holds the suspects of the request. If it lacks one that came with the part in most
    /// crashes, nothing tells yet which of the two is to blame, and the request would tell.
    pub(super) fn is_proven_by(&self, request: &[ContentDigest]) -> bool {
        let crashes = self.explained.iter();
        let proofs =
            crashes.filter(|crash| crash.rivals.iter().all(|rival| request.contains(rival)));
        distinct_moments(proofs.map(|crash| crash.ended)).len() >= PART_CRASHES
    }
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
        let rivals = Rivals::new(all, &blamed);
        let parts = blamed.iter().map(|part| {
            let quarantine = PartQuarantine {
                crashes: part.moments.len(),
                until: part.quarantined_until(),
                explained: rivals.explained_crashes(part),
            };
            (part.part, quarantine)
        });
        Self {
            parts: parts.collect(),
            explained: explained.collect(),
        }
    }
}

/// Suspects that explain the same crashes.
struct Rivals<'a> {
    /// Those of each crash: parts to blame, and whole requests that crashed servers repeatedly.
    suspects: BTreeMap<&'a Incarnation, Vec<ContentDigest>>,
}

impl<'a> Rivals<'a> {
    fn new(all: &'a BTreeMap<ContentDigest, Runs>, blamed: &[BlamedPart<'a>]) -> Self {
        let mut suspects: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for part in blamed {
            for (incarnation, _) in &part.crashes {
                suspects.entry(*incarnation).or_default().push(part.part);
            }
        }
        let contents = all.iter().filter(|(suspect, runs)| {
            !suspect.is_prompt_part() && sequential_crashes(runs.values()) >= QUARANTINE_CRASHES
        });
        for (content, runs) in contents {
            for (incarnation, _) in runs.iter().filter(|(_, run)| !run.cleared) {
                if let Some(suspects) = suspects.get_mut(incarnation) {
                    suspects.push(*content);
                }
            }
        }
        Self { suspects }
    }

    fn explained_crashes(&self, part: &BlamedPart<'a>) -> Vec<ExplainedCrash> {
        let crashes = part.crashes.iter().map(|(incarnation, ended)| {
            let mut rivals = self.suspects[incarnation].clone();
            rivals.retain(|rival| *rival != part.part);
            ExplainedCrash {
                ended: *ended,
                rivals,
            }
        });
        crashes.collect()
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
