//! Entry VMs that are cut off from all backend servers, and the check of what their callers get.

use std::thread;
use std::time::{Duration, Instant};

use super::{SoakHarness, crashes, lock};
use crate::cuts::CutMode;
use crate::nodes::CONTROL_VMS;

const MODES: [CutMode; 3] = [CutMode::Drop, CutMode::Reset, CutMode::Refuse];
/// Time for which VMs are cut off, beyond the duration of the fault.
const MIN_TIME: Duration = Duration::from_secs(4);
/// Failed first tries that are allowed at VMs that are cut off.
const ALLOWED_FAILURES: usize = 10;

/// VMs that were cut off, and when.
#[derive(Clone, Debug)]
pub(super) struct CutOff {
    entries: Vec<usize>,
    start: Instant,
    end: Instant,
}

/// A caller's request, as far as the check needs it.
#[derive(Clone, Debug)]
pub(super) struct FirstTry {
    /// Id of the attempt.
    pub(super) attempt: String,
    pub(super) entry: usize,
    pub(super) start: Instant,
    pub(super) end: Instant,
    pub(super) served: bool,
    /// Whether no fault of its VM or of control VMs was near.
    pub(super) undisturbed: bool,
}

/// Cuts some entry VMs off for a while, unless some are cut off already.
pub(super) fn apply(harness: &SoakHarness, number: usize, duration: Duration) {
    let mut current = lock(&harness.cut_entries);
    if !current.is_empty() {
        return;
    }
    let entries = harness.nodes.len() - CONTROL_VMS;
    let count = 1 + number % entries;
    *current = (0..count)
        .map(|at| CONTROL_VMS + (number + at) % entries)
        .collect();
    let entries = current.clone();
    drop(current);
    let mode = MODES[number % MODES.len()];
    set_cuts(harness, &entries, mode);
    let start = Instant::now();
    thread::sleep(MIN_TIME + duration);
    set_cuts(harness, &[], mode);
    let end = Instant::now();
    lock(&harness.cut_entries).clear();
    for backend in &harness.backends {
        lock(&backend.impairments).push((start, end));
    }
    lock(&harness.cut_off).push(CutOff {
        entries,
        start,
        end,
    });
}

fn set_cuts(harness: &SoakHarness, entries: &[usize], mode: CutMode) {
    let addresses: Vec<_> = entries.iter().map(|at| harness.nodes.ip(*at)).collect();
    for backend in &harness.backends {
        backend.server.set_cuts(&addresses, mode);
        if let Some(proxy) = &backend.proxy {
            proxy.set_cuts(&addresses, mode);
        }
    }
}

/// Checks that first tries at VMs that were cut off succeeded two thirds as often as at the others.
pub(super) fn check(harness: &SoakHarness) {
    let tries = lock(&harness.first_tries);
    for cut in lock(&harness.cut_off).iter() {
        let from = cut.start + crashes::STABILITY_WINDOW;
        let (mut served, mut sent) = ([0_usize; 2], [0_usize; 2]);
        for one in tries.iter().filter(|one| one.undisturbed) {
            if one.start >= from && one.end <= cut.end {
                let side = usize::from(cut.entries.contains(&one.entry));
                sent[side] += 1;
                served[side] += usize::from(one.served);
            }
        }
        let failed = sent[1] - served[1];
        let is_kept = served[1] * 3 * sent[0] >= served[0] * 2 * sent[1];
        if !is_kept && failed > ALLOWED_FAILURES + sent[1] / 50 {
            harness.record_violation(format!(
                "{} of {} first tries served at VMs that were cut off, {} of {} at the others",
                served[1], sent[1], served[0], sent[0]
            ));
        }
    }
}
