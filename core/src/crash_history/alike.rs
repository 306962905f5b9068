//! Servers that crashed while runs of one suspect overlapped.
//!
//! Copies of a crashing request that are sent together crash their servers as long after their runs began, or each
//! at a time of its own. Runs that a failing rack or zone ends have begun at different times and end together.

use super::contents::WIDESPREAD_SPAN;
use super::{CLOCK_TOLERANCE, CrashedRun, overlapping_groups};
use crate::time::Moment;

/// Servers that crash in this way from which on their suspect is tried a single run at a time.
const MIN_ALIKE_FOR_TRIAL: usize = 3;
/// Such servers from which on it is quarantined, if they crashed at `MIN_MOMENTS_FOR_QUARANTINE`.
const MIN_ALIKE_FOR_QUARANTINE: usize = 5;
/// Crashes one after the other, without a completion between, from which on either kind is quarantined.
const MIN_MOMENTS_FOR_QUARANTINE: usize = 2;

/// Divisor for the share of crashes that may differ: 1 in 8.
///
/// Short runs of an innocent request differ by little, so that some of them are alike by chance.
const OUTLIER_DIVISOR: usize = 8;
/// Moments of crashes during overlapping runs from which on their suspect is tried.
const MIN_MOMENTS_FOR_TRIAL: usize = 4;
/// Servers from which on it is tried if each crashed at a moment of its own.
const MIN_SINGLE_FOR_TRIAL: usize = 3;

/// What crashes that look alike say of their suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AlikeCrashes {
    /// They are few, or some of them differ.
    Inconclusive,
    /// The suspect is to be tried again.
    Trial,
    /// The suspect crashes servers.
    Quarantine,
}

/// Judges runs of a whole request that ended with their servers, of which `moments` came one after the other.
pub(super) fn judge_request(runs: &[&CrashedRun], moments: usize) -> AlikeCrashes {
    match judge(runs.iter().copied(), moments) {
        AlikeCrashes::Inconclusive => judge_overlapping(runs, moments),
        verdict => verdict,
    }
}

/// Judges servers that crashed at several moments during runs that overlap, as copies of one request make them.
fn judge_overlapping(runs: &[&CrashedRun], moments: usize) -> AlikeCrashes {
    let mut verdict = AlikeCrashes::Inconclusive;
    for group in overlapping_groups(runs.iter().copied()) {
        let within = moments_within(&group);
        if within >= MIN_MOMENTS_FOR_TRIAL && moments >= MIN_MOMENTS_FOR_QUARANTINE {
            return AlikeCrashes::Quarantine;
        }
        let all_single = within == group.len() && within >= MIN_SINGLE_FOR_TRIAL;
        if all_single || within >= MIN_MOMENTS_FOR_TRIAL {
            verdict = AlikeCrashes::Trial;
        }
    }
    verdict
}

/// Counts the moments at which servers crashed during overlapping runs; a rack or a zone that fails is one moment.
fn moments_within(group: &[&CrashedRun]) -> usize {
    let mut moments = 0;
    let mut last = None;
    for run in group {
        if last.is_none_or(|last| run.ended > last + WIDESPREAD_SPAN) {
            moments += 1;
            last = Some(run.ended);
        }
    }
    moments
}

/// Judges runs that ended with their servers by their durations, of which `moments` came one after the other.
///
/// Times from the begin of a run to its end that differ by `CLOCK_TOLERANCE` at most count as equal.
pub(super) fn judge<'a>(
    runs: impl Iterator<Item = &'a CrashedRun>,
    moments: usize,
) -> AlikeCrashes {
    let mut times: Vec<_> = runs.map(|run| run.ended.since(run.started)).collect();
    times.sort_unstable();
    let alike = times.iter().enumerate().map(|(first, shortest)| {
        times[first..].partition_point(|time| *time <= *shortest + CLOCK_TOLERANCE)
    });
    let alike = alike.max().unwrap_or_default();
    let outliers = times.len() - alike;
    if alike < MIN_ALIKE_FOR_TRIAL || outliers > times.len() / OUTLIER_DIVISOR {
        AlikeCrashes::Inconclusive
    } else if alike >= MIN_ALIKE_FOR_QUARANTINE && moments >= MIN_MOMENTS_FOR_QUARANTINE {
        AlikeCrashes::Quarantine
    } else {
        AlikeCrashes::Trial
    }
}

/// Returns the end of the last of some runs.
pub(super) fn last_end<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> Option<Moment> {
    runs.map(|run| run.ended).max()
}
