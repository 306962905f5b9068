//! Decides which broken requests ended because their backend server crashed.
//!
//! A lost connection alone says little: the network, a planned stop or a faulty server causes it too.
//! A run counts as crashed once the server's lifetime is known to have ended without a goodbye: its
//! address refuses connections, or a later lifetime has announced itself.
//!
//! An answer after the break shows that the lifetime went on, unless the next one gave it: a server may
//! start again and answer at the same address before its new lifetime is announced.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::crash_history::{CrashReport, CrashedRun};
use crate::directory::Incarnation;
use crate::time::Moment;
use crate::units::ContentDigest;

/// Time for which a broken run waits for the end of the server's lifetime.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time from that evidence to the report, in which all runs on the server have broken off.
pub const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Shortest time from a crash to an answer of the next lifetime.
const MIN_RESTART_TIME: Duration = Duration::from_millis(100);
/// Longest time from the first answer of a lifetime to its announcement.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(1500);

/// A run that ended without a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenRun {
    /// Digest of the request's content.
    pub content: ContentDigest,
    /// Lifetime of the server that the request was sent to.
    pub incarnation: Incarnation,
    /// When the request was sent.
    pub started: Moment,
    /// When its end was noticed.
    pub ended: Moment,
}

/// A broken run that may have crashed its server.
#[derive(Debug)]
struct Suspicion {
    run: BrokenRun,
    /// First answer after the break, at least `MIN_RESTART_TIME` later.
    answered: Option<Moment>,
    /// Whether the end of the server's lifetime was known before the run broke.
    late: bool,
    /// Whether the run was reported, or found not to be to blame.
    judged: bool,
}

/// Broken runs of one VM, and the lifetimes of servers that are known to have ended.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Runs that broke within `EVIDENCE_TIMEOUT`.
    broken: Vec<Suspicion>,
    /// Lifetimes that ended unplanned, with the time at which this was known.
    crashed: BTreeMap<Incarnation, Moment>,
}

impl CrashDetector {
    /// Records a broken run; returns whether evidence of a crash is still missing.
    pub fn record_broken(&mut self, run: BrokenRun) -> bool {
        let is_known = self.crashed.contains_key(&run.incarnation);
        self.broken.push(Suspicion {
            run,
            answered: None,
            late: is_known,
            judged: false,
        });
        !is_known
    }

    /// Records that a server answered, so the runs that broke there before hardly crashed it.
    ///
    /// The answer may be of the next lifetime, if that could have started since.
    pub fn record_alive(&mut self, now: Moment, incarnation: &Incarnation) {
        if self.crashed.contains_key(incarnation) {
            return;
        }
        self.broken.retain_mut(|suspicion| {
            let run = &suspicion.run;
            if run.incarnation != *incarnation || now < run.ended {
                return true;
            }
            let first = *suspicion.answered.get_or_insert(now);
            first.since(run.ended) >= MIN_RESTART_TIME
        });
    }

    /// Records that a lifetime ended without a planned stop; returns whether that was new.
    pub fn record_crash(&mut self, now: Moment, incarnation: Incarnation) -> bool {
        let is_new = !self.crashed.contains_key(&incarnation);
        self.crashed.entry(incarnation).or_insert(now);
        is_new
    }

    /// Returns the runs whose servers crashed at least `SETTLE_TIME` ago, each once.
    ///
    /// `servers` is the number of known servers.
    pub fn take_reports(&mut self, now: Moment, servers: usize) -> Vec<CrashReport> {
        self.expire(now);
        let Self { broken, crashed } = self;
        let mut settled: Vec<_> = broken
            .iter_mut()
            .filter(|suspicion| !suspicion.judged)
            .filter_map(|suspicion| {
                let known_at = *crashed.get(&suspicion.run.incarnation)?;
                (now.since(known_at) >= SETTLE_TIME).then_some((suspicion, known_at))
            })
            .collect();
        let last_breaks = last_breaks(&settled);
        let mut reports = Vec::new();
        for (suspicion, known_at) in &mut settled {
            suspicion.judged = true;
            let last_break = last_breaks.get(&suspicion.run.incarnation).copied();
            if suspicion.may_have_crashed(*known_at, last_break) {
                reports.push(report(&suspicion.run, servers));
            }
        }
        reports
    }

    fn expire(&mut self, now: Moment) {
        self.broken
            .retain(|suspicion| now.since(suspicion.run.ended) < EVIDENCE_TIMEOUT);
        self.crashed
            .retain(|_, known_at| now.since(*known_at) < EVIDENCE_TIMEOUT);
    }
}

impl Suspicion {
    /// Whether no answer of the same lifetime followed the break.
    ///
    /// The end of the lifetime was known at `known_at`. A break after the answer and before that shows
    /// the lifetime's end better.
    fn may_have_crashed(&self, known_at: Moment, last_break: Option<Moment>) -> bool {
        self.answered.is_none_or(|answered| {
            known_at.since(answered) <= MAX_ANNOUNCEMENT_DELAY
                && last_break.is_none_or(|last_break| last_break <= answered)
        })
    }
}

/// Returns the last break on each server before the end of its lifetime was known.
///
/// Runs that end because it is known may have been at the next lifetime.
fn last_breaks(settled: &[(&mut Suspicion, Moment)]) -> BTreeMap<Incarnation, Moment> {
    let mut last_breaks = BTreeMap::new();
    let in_time = settled.iter().filter(|(suspicion, _)| !suspicion.late);
    for (Suspicion { run, .. }, _) in in_time {
        let last = last_breaks
            .entry(run.incarnation.clone())
            .or_insert(run.ended);
        *last = run.ended.max(*last);
    }
    last_breaks
}

fn report(run: &BrokenRun, servers: usize) -> CrashReport {
    CrashReport {
        content: run.content,
        incarnation: run.incarnation.clone(),
        run: CrashedRun {
            started: run.started,
            ended: run.ended,
            servers: u32::try_from(servers).unwrap_or(u32::MAX),
            cleared: false,
        },
    }
}
