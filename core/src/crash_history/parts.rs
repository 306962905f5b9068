//! Which prompt parts are to blame for crashes of servers that answered requests with them.
//!
//! No two requests with such a part need be alike, and many of them run at the same time, so crashes
//! count by their moments; if nearly all came as long after the begin of their runs, fewer moments suffice.
//! Other parts ran beside it and share its crashes. The part that explains most crashes is to blame for
//! them, and the others only for those that are left.

use std::collections::{BTreeMap, BTreeSet};

use super::alike::{self, AlikeCrashes};
use super::{CLOCK_TOLERANCE, CrashedRun, FIRST_QUARANTINE, Runs, extended_quarantine};
use crate::directory::Incarnation;
use crate::time::Moment;
use crate::units::ContentDigest;

/// Moments of crashes from which on a part is to blame, if no other one explains them as well.
pub(super) const PART_CRASHES: usize = 3;
/// Moments of crashes from which on all parts that explain them equally are quarantined.
const CERTAIN_PART_CRASHES: usize = 5;

/// A part that is to blame for crashes, maybe with others.
#[derive(Debug)]
pub(super) struct BlamedPart<'a> {
    pub(super) part: ContentDigest,
    /// Servers whose crashes no part to blame for more of them explains, with the end of the run.
    pub(super) crashes: Vec<(&'a Incarnation, Moment)>,
    /// Distinct moments of these crashes, in order; at least `PART_CRASHES`.
    pub(super) moments: Vec<Moment>,
    /// Whether parts with equally many crashes share all but a few of them.
    pub(super) is_tied: bool,
}

impl BlamedPart<'_> {
    /// Whether the part is quarantined, not only tried again a single run at a time.
    pub(super) const fn is_certain(&self) -> bool {
        !self.is_tied || self.moments.len() >= CERTAIN_PART_CRASHES
    }

    /// Returns the end of the part's quarantine, also if it has passed.
    ///
    /// Many crashes may follow before the quarantine is in force; only later ones extend it.
    pub(super) fn quarantined_until(&self) -> Moment {
        let last = self.moments.last().copied().unwrap_or_default();
        if !self.is_certain() {
            return last;
        }
        let in_force = self.moments[PART_CRASHES - 1] + FIRST_QUARANTINE;
        let further = self.moments.iter().filter(|at| **at >= in_force).count();
        last + extended_quarantine(further)
    }

    /// Number of crashes that the part explains, then of their moments.
    const fn rank(&self) -> (usize, usize) {
        (self.crashes.len(), self.moments.len())
    }
}

/// Returns the distinct moments of runs that are not cleared, each with its latest end.
///
/// Servers that crash at about the same time, as of a rack or a zone, make one moment.
pub(super) fn crash_moments(runs: &Runs) -> Vec<Moment> {
    let counted = runs.values().filter(|run| !run.cleared);
    distinct_moments(counted.map(|run| run.ended))
}

/// Whether a part crashed enough servers to be judged, whatever explains them.
pub(super) fn is_candidate(runs: &Runs) -> bool {
    runs.len() >= PART_CRASHES && runs.values().filter(|run| !run.cleared).count() >= PART_CRASHES
}

/// A part and the runs with it that ended with their servers.
#[derive(Debug)]
pub(super) struct PartCrashes<'a> {
    part: ContentDigest,
    /// Runs that are not cleared and began before the crash; at least `PART_CRASHES`.
    runs: Vec<(&'a Incarnation, &'a CrashedRun)>,
}

impl<'a> PartCrashes<'a> {
    /// Returns the part as if no other one explained its crashes.
    fn unexplained(&self) -> BlamedPart<'a> {
        let crashes = self.runs.iter().map(|(server, run)| (*server, run.ended));
        BlamedPart {
            part: self.part,
            moments: distinct_moments(self.runs.iter().map(|(_, run)| run.ended)),
            crashes: crashes.collect(),
            is_tied: false,
        }
    }
}

/// Returns the crashes of all parts that may be to blame.
pub(super) fn crashes_of_parts(all: &BTreeMap<ContentDigest, Runs>) -> Vec<PartCrashes<'_>> {
    let parts = all.iter().filter(|(suspect, _)| suspect.is_prompt_part());
    let parts: Vec<_> = parts.filter(|(_, runs)| is_candidate(runs)).collect();
    if parts.is_empty() {
        return Vec::new();
    }
    let crashed_at = crashed_at(all, parts.iter().flat_map(|(_, runs)| *runs));
    let in_time = |(incarnation, run): &(&Incarnation, &CrashedRun)| {
        let at = crashed_at.get(incarnation).copied();
        !run.cleared && run.started <= at.unwrap_or(run.ended) + CLOCK_TOLERANCE
    };
    let parts = parts.into_iter().map(|(part, runs)| PartCrashes {
        part: *part,
        runs: runs.iter().filter(in_time).collect(),
    });
    parts
        .filter(|part| part.runs.len() >= PART_CRASHES)
        .collect()
}

/// Returns the parts whose prompts crashed servers together, with the end of each one's quarantine.
///
/// `explained` are servers whose crashes quarantined parts explain.
pub(super) fn alike_parts<'a>(
    parts: &[PartCrashes<'a>],
    explained: &BTreeSet<Incarnation>,
) -> Vec<(BlamedPart<'a>, Moment)> {
    let left = parts.iter().map(|part| {
        let runs = part.runs.iter().copied();
        PartCrashes {
            part: part.part,
            runs: runs
                .filter(|(server, _)| !explained.contains(*server))
                .collect(),
        }
    });
    let alike = left.filter_map(|part| {
        let blamed = part.unexplained();
        let last = blamed.moments.last().copied()?;
        let runs = part.runs.iter().map(|(_, run)| *run);
        match alike::judge(runs, blamed.moments.len()) {
            AlikeCrashes::Inconclusive => None,
            AlikeCrashes::Trial => Some((blamed, last)),
            AlikeCrashes::Quarantine => Some((blamed, last + FIRST_QUARANTINE)),
        }
    });
    alike.collect()
}

/// Returns the parts that are to blame for crashes, those for most of them first.
pub(super) fn blamed_parts<'a>(parts: &[PartCrashes<'a>]) -> Vec<BlamedPart<'a>> {
    let mut left: Vec<_> = parts.iter().map(PartCrashes::unexplained).collect();
    left.retain(|part| part.moments.len() >= PART_CRASHES);
    let mut blamed = Vec::new();
    while let Some(top) = left.iter().map(BlamedPart::rank).max() {
        let (mut winners, others): (Vec<_>, _) =
            left.into_iter().partition(|part| part.rank() == top);
        let explained = mark_ties(&mut winners);
        left = others;
        for part in &mut left {
            part.crashes
                .retain(|(incarnation, _)| !explained.contains_key(incarnation));
            part.moments = distinct_moments(part.crashes.iter().map(|(_, ended)| *ended));
        }
        left.retain(|part| part.moments.len() >= PART_CRASHES);
        blamed.append(&mut winners);
    }
    blamed
}

/// Returns when the first run on the server of each of `runs` ended with it.
///
/// Later ones were sent to a server that no longer ran, such as through a proxy.
fn crashed_at<'a>(
    all: &BTreeMap<ContentDigest, Runs>,
    runs: impl Iterator<Item = (&'a Incarnation, &'a CrashedRun)>,
) -> BTreeMap<&'a Incarnation, Moment> {
    let mut crashed_at = BTreeMap::new();
    let mut last_start = Moment::default();
    for (incarnation, run) in runs {
        crashed_at.insert(incarnation, run.ended);
        last_start = last_start.max(run.started);
    }
    // No run that ended after the last one began shows that one to be late.
    let all_runs = all.values().flatten();
    for (incarnation, run) in all_runs.filter(|(_, run)| run.ended < last_start) {
        if let Some(at) = crashed_at.get_mut(incarnation) {
            *at = run.ended.min(*at);
        }
    }
    crashed_at
}

/// Marks parts with too few crashes of their own; returns how many parts explain each crash.
fn mark_ties<'a>(parts: &mut [BlamedPart<'a>]) -> BTreeMap<&'a Incarnation, usize> {
    let mut explained = BTreeMap::new();
    for (incarnation, _) in parts.iter().flat_map(|part| &part.crashes) {
        *explained.entry(*incarnation).or_default() += 1;
    }
    for part in parts {
        let crashes = part.crashes.iter();
        let own = crashes.filter(|(incarnation, _)| explained[incarnation] == 1);
        let own = distinct_moments(own.map(|(_, ended)| *ended));
        part.is_tied = own.len() < PART_CRASHES;
    }
    explained
}

/// Returns the last of each series of ends that follow each other within `CLOCK_TOLERANCE`.
pub(super) fn distinct_moments(ends: impl Iterator<Item = Moment>) -> Vec<Moment> {
    let mut ends: Vec<_> = ends.collect();
    ends.sort_unstable();
    let mut moments: Vec<Moment> = Vec::new();
    for end in ends {
        match moments.last_mut() {
            Some(last) if end.since(*last) <= CLOCK_TOLERANCE => *last = end,
            _ => moments.push(end),
        }
    }
    moments
}
