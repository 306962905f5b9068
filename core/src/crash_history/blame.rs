//! Blame of prompt parts for crashes, computed once after each change of the history.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use super::contents::QUARANTINE_CRASHES;
use super::parts::{
    BlamedPart, PART_CRASHES, alike_parts, blamed_parts, crashes_of_parts, distinct_moments,
};
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
    /// Whether the part is remembered for as long as one that crashed servers one after the other.
    pub(super) is_lasting: bool,
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
        let proofs: Vec<_> = proofs.map(|crash| crash.ended).collect();
        proofs.len() == self.explained.len()
            || distinct_moments(proofs.into_iter()).len() >= PART_CRASHES
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
        let crashes = crashes_of_parts(all);
        let blamed = blamed_parts(&crashes);
        let certain = blamed.iter().filter(|part| part.is_certain());
        let explained = certain.flat_map(|part| &part.crashes);
        let explained = explained.map(|(incarnation, _)| (*incarnation).clone());
        let explained: BTreeSet<_> = explained.collect();
        let mut alike = alike_parts(&crashes, &explained);
        alike.retain(|(part, _)| blamed.iter().all(|blamed| blamed.part != part.part));
        let rivals = Rivals::new(all, blamed.iter().chain(alike.iter().map(|(part, _)| part)));
        let quarantine = |part: &BlamedPart<'_>, until, is_lasting| PartQuarantine {
            crashes: part.moments.len(),
            until,
            is_lasting,
            explained: rivals.explained_crashes(part),
        };
        let lasting = blamed
            .iter()
            .map(|part| (part.part, quarantine(part, part.quarantined_until(), true)));
        let passing = alike
            .iter()
            .map(|(part, until)| (part.part, quarantine(part, *until, false)));
        Self {
            parts: lasting.chain(passing).collect(),
            explained,
        }
    }
}

/// Suspects that explain the same crashes.
struct Rivals<'a> {
    /// Those of each crash: parts to blame, and whole requests that crashed servers repeatedly.
    suspects: BTreeMap<&'a Incarnation, Vec<ContentDigest>>,
}

impl<'a> Rivals<'a> {
    fn new<'b>(
        all: &'a BTreeMap<ContentDigest, Runs>,
        blamed: impl Iterator<Item = &'b BlamedPart<'a>>,
    ) -> Self
    where
        'a: 'b,
    {
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

    fn explained_crashes(&self, part: &BlamedPart<'_>) -> Vec<ExplainedCrash> {
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
