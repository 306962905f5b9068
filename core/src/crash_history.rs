//! Requests that ended with the backend servers that ran them, and the quarantine of those to blame.
//!
//! VMs exchange reports of such runs. Reports can be merged in any order and any number of times with
//! the same result, so each side of a network partition counts what it sees, and all agree afterwards.
//!
//! A crash ends every request that runs on the server, and most of them are innocent. A content is
//! quarantined after several crashes, each of a run that began after the last one. Crashes of many
//! servers at the same moment, as of a rack or a zone, do not count at first; if nearly all came as long
//! after the begin of their runs, the content is tried a single run at a time. If another content that
//! crashes repeatedly ran beside it, it is tried again at once, a single run at a time. A run that
//! completes at about the time of a crash, or later, clears its content.
//!
//! Parts of prompts are suspects as well, in the same table. They are told apart by their digests
//! and judged by rules of their own; what a quarantined part explains counts against no content.
//! Parts that came together in all crashes are quarantined together, but a request with some of them
//! only is tried: its run shows whether these are to blame.

mod alike;
mod blame;
mod contents;
mod parts;

use std::collections::BTreeMap;
use std::time::Duration;

use blame::BlameCache;
use contents::{Evidence, QUARANTINE_CRASHES};
use parts::{crash_moments, is_candidate};

use crate::directory::Incarnation;
use crate::time::Moment;
use crate::units::ContentDigest;

/// Difference of two VMs' times below which one run counts as begun after another's end.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(50);
/// Duration of the first uncontested quarantine.
const FIRST_QUARANTINE: Duration = Duration::from_hours(1);
/// Factor by which each further crash extends the quarantine.
const QUARANTINE_FACTOR: u32 = 4;
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_hours(24);
/// Time after which a content that is not quarantined is forgotten.
const SUSPICION_LIFETIME: Duration = Duration::from_hours(1);
/// Time after which a content is forgotten in any case.
const RECORD_LIFETIME: Duration = Duration::from_hours(48);
/// Age from which a crash that becomes known is part of a history.
const RECENT_CRASH_AGE: Duration = Duration::from_mins(1);
/// Maximum number of contents and parts kept; beyond it, those with the fewest crashes go first.
pub const MAX_CONTENTS: usize = 4096;
/// Maximum number of crashes kept for one content: the first and the last ones, half of them each.
const MAX_CRASHES: usize = 16;
/// Maximum number of crashes kept for one part: the first and the last ones, half of them each.
pub const MAX_PART_CRASHES: usize = 32;

/// A run of a request that ended with the server's lifetime.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// When the request was sent to the server.
    pub started: Moment,
    /// When its end was noticed.
    pub ended: Moment,
    /// Number of servers that the reporting VM knew.
    pub servers: u32,
    /// Whether a later run, or an operator, showed that the content is not to blame.
    pub cleared: bool,
}

/// Report of a crashed run, as VMs exchange it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Digest of the request's content, or of a part of its prompt.
    pub content: ContentDigest,
    /// Lifetime of the server that crashed.
    pub incarnation: Incarnation,
    /// The run that ended with it.
    pub run: CrashedRun,
}

impl CrashReport {
    /// Whether the crash is a matter of the moment, not one of a history that is caught up on.
    #[must_use]
    pub fn is_recent(&self, now: Moment) -> bool {
        now.since(self.run.ended) < RECENT_CRASH_AGE
    }
}

/// Whether a content or part may be sent to backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It may be sent.
    Allowed,
    /// It must not be sent until this time.
    QuarantinedUntil(Moment),
    /// Its quarantine has ended; a single run may show whether it still crashes a server.
    OnTrial,
}

/// A content or part in quarantine, for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantinedContent {
    /// Digest of the content or part.
    pub content: ContentDigest,
    /// Crashes that count against it.
    pub crashes: usize,
    /// End of the quarantine.
    pub until: Moment,
}

/// Crashed runs of one content or part, at most one per server lifetime.
type Runs = BTreeMap<Incarnation, CrashedRun>;

/// Crashed runs of all contents and parts known to a VM.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashHistory {
    /// At most `MAX_CONTENTS` contents and parts, each with at least one run.
    ///
    /// A content has at most `MAX_CRASHES` runs, a part `MAX_PART_CRASHES`.
    contents: BTreeMap<ContentDigest, Runs>,
    /// Empty, or computed from `contents` as they are.
    blame: BlameCache,
}

impl CrashHistory {
    /// Whether no crashed run is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Returns the number of contents with a crashed run.
    #[must_use]
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Merges a report; returns whether the run, or that it is cleared, was new.
    pub fn merge(&mut self, report: &CrashReport) -> bool {
        let changed = self.merge_run(report);
        if self.contents.len() > MAX_CONTENTS {
            self.drop_weakest();
        }
        changed && self.contents.contains_key(&report.content)
    }

    /// Returns whether a content may be sent to a server.
    #[must_use]
    pub fn verdict(&self, now: Moment, content: &ContentDigest) -> CrashVerdict {
        match self.quarantined_until(content) {
            Some(until) if now < until => CrashVerdict::QuarantinedUntil(until),
            Some(_) => CrashVerdict::OnTrial,
            None => CrashVerdict::Allowed,
        }
    }

    /// Returns whether a request may be sent as far as one of its suspects goes.
    ///
    /// `request` holds the request's content and the parts of its prompt. A part that is quarantined
    /// with others that the request lacks is on trial in it: a run tells them apart.
    #[must_use]
    pub fn verdict_within(
        &self,
        now: Moment,
        suspect: &ContentDigest,
        request: &[ContentDigest],
    ) -> CrashVerdict {
        let verdict = self.verdict(now, suspect);
        let quarantine = self.blame.get(&self.contents).parts.get(suspect);
        match quarantine {
            Some(quarantine)
                if matches!(verdict, CrashVerdict::QuarantinedUntil(_))
                    && !quarantine.is_proven_by(request) =>
            {
                CrashVerdict::OnTrial
            }
            _ => verdict,
        }
    }

    /// Whether a content has crashed servers and was not cleared since.
    #[must_use]
    pub fn is_suspect(&self, content: &ContentDigest) -> bool {
        let runs = self.contents.get(content);
        runs.is_some_and(|runs| runs.values().any(|run| !run.cleared))
    }

    /// Clears a content of all known crashes; returns the reports that tell other VMs.
    pub fn clear(&mut self, content: &ContentDigest) -> Vec<CrashReport> {
        let Some(runs) = self.contents.get_mut(content) else {
            return Vec::new();
        };
        let mut cleared = Vec::new();
        for (incarnation, run) in runs.iter_mut().filter(|(_, run)| !run.cleared) {
            run.cleared = true;
            cleared.push(CrashReport {
                content: *content,
                incarnation: incarnation.clone(),
                run: *run,
            });
        }
        if !cleared.is_empty() {
            self.blame.invalidate();
        }
        cleared
    }

    /// Returns reports of all runs.
    pub fn reports(&self) -> impl Iterator<Item = CrashReport> + '_ {
        self.contents.iter().flat_map(|(content, runs)| {
            runs.iter().map(|(incarnation, run)| CrashReport {
                content: *content,
                incarnation: incarnation.clone(),
                run: *run,
            })
        })
    }

    /// Whether a report would change nothing here.
    #[must_use]
    pub fn contains(&self, report: &CrashReport) -> bool {
        let runs = self.contents.get(&report.content);
        let known = runs.and_then(|runs| runs.get(&report.incarnation));
        known.is_some_and(|known| known.cleared || !report.run.cleared)
    }

    /// Returns the contents and parts in quarantine at `now`.
    #[must_use]
    pub fn quarantined(&self, now: Moment) -> Vec<QuarantinedContent> {
        let blamed = self.blame.get(&self.contents).parts.iter();
        let parts = blamed.map(|(part, quarantine)| QuarantinedContent {
            content: *part,
            crashes: quarantine.crashes,
            until: quarantine.until,
        });
        let evidence = self.evidence();
        let contents = evidence.contents().filter_map(|(content, runs)| {
            Some(QuarantinedContent {
                content: *content,
                crashes: sequential_crashes(runs.values()),
                until: evidence.quarantined_until(content, runs)?,
            })
        });
        let mut quarantined: Vec<_> = parts.chain(contents).collect();
        quarantined.retain(|entry| now < entry.until);
        quarantined.sort_by_key(|entry| entry.content);
        quarantined
    }

    /// Forgets contents and parts whose crashes were too long ago.
    pub fn expire(&mut self, now: Moment) {
        let blamed = &self.blame.get(&self.contents).parts;
        let known = self.contents.len();
        self.contents.retain(|suspect, runs| {
            let is_proven = if suspect.is_prompt_part() {
                blamed.get(suspect).is_some_and(|part| part.is_lasting)
            } else {
                sequential_crashes(runs.values()) >= QUARANTINE_CRASHES
            };
            let lifetime = if is_proven {
                RECORD_LIFETIME
            } else {
                SUSPICION_LIFETIME
            };
            now.since(last_crash(runs)) < lifetime
        });
        if self.contents.len() < known {
            self.blame.invalidate();
        }
    }

    fn merge_run(&mut self, report: &CrashReport) -> bool {
        let runs = self.contents.entry(report.content).or_default();
        let Some(known) = runs.get_mut(&report.incarnation) else {
            let is_kept = insert_run(runs, report);
            if is_kept {
                self.blame.invalidate();
            }
            return is_kept;
        };
        let before = *known;
        known.started = known.started.min(report.run.started);
        known.ended = known.ended.min(report.run.ended);
        known.servers = known.servers.max(report.run.servers);
        known.cleared |= report.run.cleared;
        let newly_cleared = known.cleared && !before.cleared;
        if *known != before {
            self.blame.invalidate();
        }
        newly_cleared
    }

    /// Drops the suspect with the fewest crashes, and of those the one with the oldest crash.
    ///
    /// One that was just added has a single run, so none with two crashes is ever dropped.
    fn drop_weakest(&mut self) {
        let strength = |suspect: &ContentDigest, runs: &Runs| {
            let crashes = if suspect.is_prompt_part() {
                crash_moments(runs).len()
            } else {
                sequential_crashes(runs.values())
            };
            let strength = crashes.min(QUARANTINE_CRASHES);
            (strength, last_crash(runs))
        };
        let weakest = self
            .contents
            .iter()
            .min_by_key(|(suspect, runs)| (strength(suspect, runs), **suspect));
        if let Some(suspect) = weakest.map(|(suspect, _)| *suspect) {
            self.contents.remove(&suspect);
            self.blame.invalidate();
        }
    }

    /// Returns the end of a suspect's quarantine, also if it has passed.
    ///
    /// The other suspects are looked at only if its own crashes suffice for a quarantine.
    fn quarantined_until(&self, suspect: &ContentDigest) -> Option<Moment> {
        let runs = self.contents.get(suspect)?;
        if suspect.is_prompt_part() {
            let blame = is_candidate(runs).then(|| self.blame.get(&self.contents))?;
            return blame.parts.get(suspect).map(|quarantine| quarantine.until);
        }
        if runs.values().filter(|run| !run.cleared).count() < QUARANTINE_CRASHES {
            return None;
        }
        self.evidence().quarantined_until(suspect, runs)
    }

    /// Returns what contents are judged by.
    fn evidence(&self) -> Evidence<'_> {
        Evidence {
            all: &self.contents,
            explained: &self.blame.get(&self.contents).explained,
        }
    }
}

/// Adds a run on a server that is not known yet; returns whether it was kept.
///
/// A suspect keeps its first and its last crashes, whatever the order of reports: copies that crash many servers
/// together leave room for the crashes that follow.
fn insert_run(runs: &mut Runs, report: &CrashReport) -> bool {
    let most = if report.content.is_prompt_part() {
        MAX_PART_CRASHES
    } else {
        MAX_CRASHES
    };
    runs.insert(report.incarnation.clone(), report.run);
    if runs.len() > most {
        let mut by_end: Vec<_> = runs
            .iter()
            .map(|(server, run)| (run.ended, server))
            .collect();
        by_end.sort_unstable();
        let middle = by_end[most / 2].1.clone();
        runs.remove(&middle);
    }
    runs.contains_key(&report.incarnation)
}

/// Returns the duration of an uncontested quarantine after `further` crashes beyond the first ones.
fn extended_quarantine(further: usize) -> Duration {
    let exponent = u32::try_from(further).unwrap_or(u32::MAX);
    let factor = QUARANTINE_FACTOR.saturating_pow(exponent);
    FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE)
}

/// Counts runs that are not cleared, each of which began after the end of the one before.
///
/// Runs at the same time, such as of a popular content when a rack fails, count once.
fn sequential_crashes<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> usize {
    overlapping_groups(runs).len()
}

/// Returns runs that are not cleared by their ends, in groups: each begins with one that began after the end of the
/// first run of the group before.
fn overlapping_groups<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> Vec<Vec<&'a CrashedRun>> {
    let mut by_end: Vec<_> = runs.filter(|run| !run.cleared).collect();
    by_end.sort_by_key(|run| (run.ended, run.started));
    let mut groups: Vec<Vec<&CrashedRun>> = Vec::new();
    let mut first_end = Moment::default();
    for run in by_end {
        match groups.last_mut() {
            Some(group) if run.started + CLOCK_TOLERANCE < first_end => group.push(run),
            _ => {
                first_end = run.ended;
                groups.push(vec![run]);
            }
        }
    }
    groups
}

/// Returns the end of the last run that is not cleared, or of the last run if all are.
fn last_crash(runs: &Runs) -> Moment {
    let all_cleared = runs.values().all(|run| run.cleared);
    let counted = runs.values().filter(|run| all_cleared || !run.cleared);
    let ends = counted.map(|run| run.ended);
    ends.max().unwrap_or_default()
}
