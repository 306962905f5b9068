//! Which whole requests are to blame for crashes, apart from those that prompt parts explain.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::alike::{self, AlikeCrashes};
use super::{CLOCK_TOLERANCE, CrashedRun, Runs, extended_quarantine, sequential_crashes};
use crate::directory::Incarnation;
use crate::time::Moment;
use crate::units::ContentDigest;

/// Crashes after which a content is quarantined.
pub(super) const QUARANTINE_CRASHES: usize = 3;
/// Crashes after which another content may be to blame for those that it shares.
const RIVAL_CRASHES: usize = 2;
/// Quarantines of a content that shares crashes with such another one, from `QUARANTINE_CRASHES` on.
///
/// After as many further crashes the content is quarantined like any other.
const CONTESTED_QUARANTINES: [Duration; 2] = [Duration::ZERO, Duration::from_mins(1)];
/// Largest time between two crashes of a widespread failure, as different VMs see them.
pub(super) const WIDESPREAD_SPAN: Duration = Duration::from_millis(150);
/// Crashes from which on a content is to blame also for those within widespread failures.
const CERTAIN_CRASHES: usize = 6;
/// Minimum number of other servers that crash at the same moment in a widespread failure.
const MIN_WIDESPREAD: usize = 3;
/// Divisor for their share of the known servers: 1 in 4.
const WIDESPREAD_DIVISOR: usize = 4;

/// What is known of all suspects when a content is judged.
#[derive(Debug)]
pub(super) struct Evidence<'a> {
    /// Runs of contents and of prompt parts.
    pub(super) all: &'a BTreeMap<ContentDigest, Runs>,
    /// Servers whose crashes quarantined parts explain.
    pub(super) explained: &'a BTreeSet<Incarnation>,
}

impl Evidence<'_> {
    /// Returns the end of a content's quarantine, also if it has passed.
    pub(super) fn quarantined_until(&self, content: &ContentDigest, runs: &Runs) -> Option<Moment> {
        let Some(further) = self.counted_crashes(runs).checked_sub(QUARANTINE_CRASHES) else {
            return self.held_until(runs);
        };
        let contested = CONTESTED_QUARANTINES
            .get(further)
            .filter(|_| self.is_contested(content, runs));
        let duration = contested.copied();
        let duration = duration.unwrap_or_else(|| extended_quarantine(further));
        let counted = self.unexplained(runs).filter(|(_, run)| !run.cleared);
        let last_crash = counted.map(|(_, run)| run.ended).max()?;
        Some(last_crash + duration)
    }

    /// Returns the end of the quarantine of a content with few crashes one after the other.
    ///
    /// Copies that ran at the same time may have crashed many servers; then it is on trial, or
    /// quarantined if that came again.
    fn held_until(&self, runs: &Runs) -> Option<Moment> {
        let isolated = self.in_time(runs);
        let isolated: Vec<_> = isolated
            .filter(|run| !run.cleared && !self.is_widespread(runs, run))
            .collect();
        let moments = sequential_crashes(isolated.iter().copied());
        let last = alike::last_end(isolated.iter().copied())?;
        match alike::judge_request(&isolated, moments) {
            AlikeCrashes::Inconclusive => None,
            AlikeCrashes::Trial => Some(last),
            AlikeCrashes::Quarantine => Some(last + extended_quarantine(0)),
        }
    }

    /// Returns the unexplained runs that began before their server had crashed.
    fn in_time<'r>(&'r self, runs: &'r Runs) -> impl Iterator<Item = &'r CrashedRun> {
        let in_time = self.unexplained(runs).filter(|(incarnation, run)| {
            let crashed_at = self.crashed_at(incarnation).unwrap_or(run.ended);
            run.started <= crashed_at + CLOCK_TOLERANCE
        });
        in_time.map(|(_, run)| run)
    }

    /// Returns the runs whose crashes no quarantined part explains.
    fn unexplained<'r>(
        &'r self,
        runs: &'r Runs,
    ) -> impl Iterator<Item = (&'r Incarnation, &'r CrashedRun)> {
        let runs = runs.iter();
        runs.filter(|(incarnation, _)| !self.explained.contains(*incarnation))
    }

    /// Counts the crashes of a content that may have caused them.
    ///
    /// Runs that began after the crash do not count, nor do widespread failures at first.
    fn counted_crashes(&self, runs: &Runs) -> usize {
        let crashes = sequential_crashes(self.unexplained(runs).map(|(_, run)| run));
        if crashes < QUARANTINE_CRASHES {
            return crashes;
        }
        let in_time: Vec<_> = self.in_time(runs).collect();
        let crashes = sequential_crashes(in_time.iter().copied());
        if crashes >= CERTAIN_CRASHES {
            return crashes;
        }
        let isolated = in_time.into_iter();
        sequential_crashes(isolated.filter(|run| !self.is_widespread(runs, run)))
    }

    /// Returns when the first run on a server ended with it.
    ///
    /// Later ones were sent to a server that no longer ran, such as through a proxy.
    fn crashed_at(&self, incarnation: &Incarnation) -> Option<Moment> {
        let runs = self.all.values();
        let ends = runs.filter_map(|runs| runs.get(incarnation).map(|run| run.ended));
        ends.min()
    }

    /// Whether many servers, on which the content did not run, crashed at the same moment.
    fn is_widespread(&self, runs: &Runs, run: &CrashedRun) -> bool {
        let all_runs = self.contents().flat_map(|(_, runs)| runs);
        let others: BTreeSet<_> = all_runs
            .filter(|(_, other)| is_simultaneous(run.ended, other.ended))
            .map(|(incarnation, _)| incarnation)
            .filter(|incarnation| !runs.contains_key(incarnation))
            .collect();
        let share = usize::try_from(run.servers).unwrap_or(usize::MAX) / WIDESPREAD_DIVISOR;
        others.len() >= MIN_WIDESPREAD.max(share)
    }

    /// Whether another content, which has crashed servers repeatedly, ran on one of the servers.
    fn is_contested(&self, content: &ContentDigest, runs: &Runs) -> bool {
        let shared = |other: &Runs| {
            let mut counted = self.unexplained(other).filter(|(_, run)| !run.cleared);
            counted.any(|(incarnation, _)| runs.get(incarnation).is_some_and(|run| !run.cleared))
        };
        let crashes =
            |other: &Runs| sequential_crashes(self.unexplained(other).map(|(_, run)| run));
        self.contents().any(|(other, other_runs)| {
            other != content && crashes(other_runs) >= RIVAL_CRASHES && shared(other_runs)
        })
    }

    /// Returns the runs of whole requests; prompt parts have rules of their own.
    pub(super) fn contents(&self) -> impl Iterator<Item = (&ContentDigest, &Runs)> {
        let all = self.all.iter();
        all.filter(|(suspect, _)| !suspect.is_prompt_part())
    }
}

/// Whether two crashes may belong to one widespread failure.
fn is_simultaneous(a: Moment, b: Moment) -> bool {
    a.since(b).max(b.since(a)) <= WIDESPREAD_SPAN
}
