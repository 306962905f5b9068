//! Whom to ask for a newer manifest: one VM at a time, of the own availability zone if it can be had.
//!
//! It answers a large manifest that many VMs need at the same moment. Every control VM tells that it
//! is there, and whoever asked all of them would get as many copies, most of them from far away.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::manifest::ManifestNumber;
use crate::names::VmId;
use crate::time::Moment;

/// Time for which control VMs of other zones are left aside, so that one of the own zone gets it.
///
/// A follower learns with the second heartbeat of its leader that a manifest is committed.
const NEAR_TIME: Duration = Duration::from_millis(400);
/// Time after which another VM is asked; a large manifest takes a tenth of it on a slow link.
const ANSWER_TIME: Duration = Duration::from_millis(600);

/// A VM that has a manifest.
#[derive(Clone, Copy, Debug)]
struct Source {
    number: ManifestNumber,
    /// Whether it is in the own availability zone.
    near: bool,
    /// When it first told of a number that is newer than the own one.
    told: Moment,
    /// How often it was asked in vain.
    asked: u32,
}

/// The VMs that told of manifests, and the one that was asked.
#[derive(Debug, Default)]
pub struct ManifestPull {
    sources: BTreeMap<VmId, Source>,
    /// When the last one was asked; `None` once the answer came.
    pending: Option<Moment>,
}

impl ManifestPull {
    /// Takes in the newest number that a VM has.
    pub fn advertised(&mut self, now: Moment, from: &VmId, number: ManifestNumber, near: bool) {
        let source = Source {
            number,
            near,
            told: now,
            asked: 0,
        };
        let known = self.sources.entry(from.clone()).or_insert(source);
        if number > known.number {
            *known = source;
        }
    }

    /// Forgets a VM that cannot be reached any more.
    pub fn disconnected(&mut self, vm: &VmId) {
        self.sources.remove(vm);
        self.pending = None;
    }

    /// Takes in that a manifest came.
    pub fn received(&mut self) {
        self.pending = None;
    }

    /// Returns the VM to ask now for something newer than `have`, if any.
    pub fn next_source(&mut self, now: Moment, have: ManifestNumber) -> Option<VmId> {
        let waits = |asked: Moment| now.since(asked) < ANSWER_TIME;
        if self.pending.is_some_and(waits) {
            return None;
        }
        let newer = self
            .sources
            .iter_mut()
            .filter(|(_, source)| source.number > have);
        let mut ready =
            newer.filter(|(_, source)| source.near || now.since(source.told) >= NEAR_TIME);
        let first = ready.next()?;
        let best = ready.fold(first, |best, other| {
            let rank = |source: &Source| (source.asked, !source.near);
            if rank(other.1) < rank(best.1) {
                other
            } else {
                best
            }
        });
        best.1.asked += 1;
        self.pending = Some(now);
        Some(best.0.clone())
    }
}
