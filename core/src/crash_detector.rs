//! Decides which broken requests ended because their backend server crashed.
//!
//! A lost connection alone says little: the network, a planned stop or a faulty server causes it too.
//! A run counts as crashed once the server's lifetime is known to have ended without a goodbye: its
//! address refuses connections, or a later lifetime has announced itself.

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

/// Broken runs of one VM, and the lifetimes of servers that are known to have ended.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Runs that broke within `EVIDENCE_TIMEOUT`, each with whether it was reported.
    broken: Vec<(BrokenRun, bool)>,
    /// Lifetimes that ended unplanned, with the time at which this was known.
    crashed: BTreeMap<Incarnation, Moment>,
}

impl CrashDetector {
    /// Records a broken run; returns whether evidence of a crash is still missing.
    pub fn record_broken(&mut self, run: BrokenRun) -> bool {
        let is_known = self.crashed.contains_key(&run.incarnation);
        self.broken.push((run, false));
        !is_known
    }

    /// Records that a server answered, so the runs that broke there before did not crash it.
    pub fn record_alive(&mut self, now: Moment, incarnation: &Incarnation) {
        if !self.crashed.contains_key(incarnation) {
            self.broken
                .retain(|(run, _)| run.incarnation != *incarnation || now < run.ended);
        }
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
        let mut reports = Vec::new();
        for index in 0..self.broken.len() {
            let (run, reported) = &self.broken[index];
            let known_at = self.crashed.get(&run.incarnation);
            let settled = known_at.is_some_and(|at| now.since(*at) >= SETTLE_TIME);
            if *reported || !settled {
                continue;
            }
            reports.push(report(run, servers));
            self.broken[index].1 = true;
        }
        reports
    }

    fn expire(&mut self, now: Moment) {
        self.broken
            .retain(|(run, _)| now.since(run.ended) < EVIDENCE_TIMEOUT);
        self.crashed
            .retain(|_, known_at| now.since(*known_at) < EVIDENCE_TIMEOUT);
    }
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
