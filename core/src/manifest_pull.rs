//! Selects the VM from which to fetch a newer manifest: one at a time, same zone first.
//!
//! Every control VM advertises a new manifest, and many VMs need it at once. A VM that requested
//! it from all of them would receive as many copies, most of them from other zones. Entry VMs of a
//! zone spread their requests over its control VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::manifest::ManifestNumber;
use crate::names::VmId;
use crate::rendezvous::stable_hash;
use crate::time::Moment;

/// Delay before a VM of another zone is asked for a newer manifest, while the own zone has one.
///
/// It gives a control VM of the own zone time to obtain the manifest.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(200);
/// The same delay while no manifest is in force, as callers are refused meanwhile.
///
/// A follower of the own zone learns within it that its leader has committed the manifest.
const FIRST_MANIFEST_DELAY: Duration = Duration::from_millis(80);
/// Time after which another VM is asked.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a VM that did not answer is asked only if no other one has the manifest.
const SILENCE_TIME: Duration = Duration::from_secs(5);

/// Why a VM is asked for a manifest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PullReason {
    /// It is in the own availability zone.
    OwnZone,
    /// The own zone has no control VM that answers, or none that has the manifest.
    OtherZone,
    /// The VM that was asked before did not answer.
    Retry,
}

/// A request for a newer manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullRequest {
    /// VM to ask.
    pub vm: VmId,
    /// Why this one is asked.
    pub reason: PullReason,
}

/// A linked VM that advertised a manifest.
#[derive(Clone, Copy, Debug)]
struct Source {
    /// Highest number that it advertised.
    number: ManifestNumber,
    /// Whether it is in the own availability zone.
    same_zone: bool,
    /// Position among equally good sources; differs between the VMs that ask.
    rank: u64,
    /// When its last request timed out; `None` if it has answered since.
    silent_since: Option<Moment>,
}

impl Source {
    fn is_silent(&self, now: Moment) -> bool {
        self.silent_since
            .is_some_and(|since| now.since(since) < SILENCE_TIME)
    }
}

/// A request that was not answered yet.
#[derive(Clone, Debug)]
struct Pending {
    vm: VmId,
    sent_at: Moment,
}

/// VMs that advertised manifests, and the pending request to one of them.
#[derive(Debug)]
pub struct ManifestPull {
    /// VM that asks.
    vm: VmId,
    sources: BTreeMap<VmId, Source>,
    pending: Option<Pending>,
    /// Since when a newer manifest is known and none has arrived.
    ///
    /// A still newer number does not restart it, or a storm of manifests would delay all of them.
    behind_since: Option<Moment>,
    /// Whether the last request timed out.
    timed_out: bool,
    /// Whether a manifest that arrived is being decoded; no other one is requested meanwhile.
    ///
    /// Numbers that are overtaken in this time are skipped.
    is_decoding: bool,
}

impl ManifestPull {
    /// Creates the state of a VM without links.
    #[must_use]
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            sources: BTreeMap::new(),
            pending: None,
            behind_since: None,
            timed_out: false,
            is_decoding: false,
        }
    }

    /// Records the number of the newest manifest that a VM advertised, also if it is not newer.
    pub fn advertised(&mut self, from: &VmId, number: ManifestNumber, same_zone: bool) {
        let rank = stable_hash(&[self.vm.as_str().as_bytes(), from.as_str().as_bytes()]);
        let source = Source {
            number,
            same_zone,
            rank,
            silent_since: None,
        };
        let known = self.sources.entry(from.clone()).or_insert(source);
        known.number = known.number.max(number);
    }

    /// Removes a VM that is no longer linked, and a pending request to it.
    pub fn disconnected(&mut self, vm: &VmId) {
        self.sources.remove(vm);
        self.pending.take_if(|pending| pending.vm == *vm);
    }

    /// Whether a manifest that arrived is being decoded.
    #[must_use]
    pub fn is_decoding(&self) -> bool {
        self.is_decoding
    }

    /// Records that a VM sent a manifest, which is decoded now.
    pub fn received(&mut self, from: &VmId) {
        self.is_decoding = true;
        if let Some(source) = self.sources.get_mut(from) {
            source.silent_since = None;
        }
        self.pending = None;
        self.behind_since = None;
        self.timed_out = false;
    }

    /// Records that the manifest that arrived is in force.
    pub fn decoded(&mut self) {
        self.is_decoding = false;
    }

    /// Records that what a VM sent cannot be decoded; after a while another one is asked.
    pub fn rejected(&mut self, now: Moment, from: &VmId) {
        self.is_decoding = false;
        self.pending = Some(Pending {
            vm: from.clone(),
            sent_at: now,
        });
    }

    /// Returns the request to send now for a manifest newer than `have`, if any.
    ///
    /// Only one request is pending at a time. Number 0 stands for no manifest.
    pub fn next_request(&mut self, now: Moment, have: ManifestNumber) -> Option<PullRequest> {
        if self.is_decoding || !self.is_behind(have) {
            self.behind_since = None;
            return None;
        }
        self.behind_since.get_or_insert(now);
        self.expire_pending(now);
        if self.next_due(now, have)? > now {
            return None;
        }
        let asks_others = self.asks_other_zones(now, have);
        let timed_out = self.timed_out;
        let order = |source: &Source| {
            let is_silent = source.is_silent(now);
            let asked_at = source.silent_since.filter(|_| is_silent);
            // What keeps a control VM silent may affect its whole zone.
            let is_second_choice = source.same_zone == timed_out;
            (asked_at, is_second_choice, source.rank)
        };
        let newer = self.sources.iter().filter(|(_, s)| s.number > have);
        let allowed = newer.filter(|(_, source)| source.same_zone || asks_others);
        let (vm, source) = allowed.min_by_key(|(_, source)| order(source))?;
        let reason = match (timed_out, source.same_zone) {
            (true, _) => PullReason::Retry,
            (false, true) => PullReason::OwnZone,
            (false, false) => PullReason::OtherZone,
        };
        let vm = vm.clone();
        self.pending = Some(Pending {
            vm: vm.clone(),
            sent_at: now,
        });
        Some(PullRequest { vm, reason })
    }

    /// Returns when a request may be due; `None` if no newer manifest is known.
    #[must_use]
    pub fn next_due(&self, now: Moment, have: ManifestNumber) -> Option<Moment> {
        if self.is_decoding || !self.is_behind(have) {
            return None;
        }
        if let Some(pending) = &self.pending {
            return Some(pending.sent_at + REQUEST_TIMEOUT);
        }
        let own_zone_has_it = self
            .sources
            .values()
            .any(|source| source.same_zone && source.number > have);
        if own_zone_has_it || self.asks_other_zones(now, have) {
            return Some(now);
        }
        Some(self.behind_since.unwrap_or(now) + other_zone_delay(have))
    }

    /// Whether a linked VM has advertised a manifest newer than `have`.
    #[must_use]
    pub fn is_behind(&self, have: ManifestNumber) -> bool {
        self.sources.values().any(|source| source.number > have)
    }

    /// Returns the highest number that a linked VM has advertised, and that VM.
    #[must_use]
    pub fn newest_source(&self) -> Option<(&VmId, ManifestNumber)> {
        let sources = self.sources.iter();
        let newest = sources.max_by_key(|(_, source)| source.number);
        newest.map(|(vm, source)| (vm, source.number))
    }

    /// Whether VMs of other zones may be asked.
    fn asks_other_zones(&self, now: Moment, have: ManifestNumber) -> bool {
        let mut sources = self.sources.values();
        let own_zone_answers = sources.any(|source| source.same_zone && !source.is_silent(now));
        let waited = self.behind_since.map(|since| now.since(since));
        // Without a manifest, a source of the own zone may not have introduced itself yet.
        (!own_zone_answers && have > ManifestNumber(0))
            || self.timed_out
            || waited.is_some_and(|waited| waited >= other_zone_delay(have))
    }

    fn expire_pending(&mut self, now: Moment) {
        let expired = self
            .pending
            .take_if(|pending| now.since(pending.sent_at) >= REQUEST_TIMEOUT);
        if let Some(expired) = expired {
            self.timed_out = true;
            if let Some(source) = self.sources.get_mut(&expired.vm) {
                source.silent_since = Some(now);
            }
        }
    }
}

/// Returns how long a VM that has manifest `have` waits before it asks another zone.
///
/// Number 0 stands for none.
fn other_zone_delay(have: ManifestNumber) -> Duration {
    if have == ManifestNumber(0) {
        FIRST_MANIFEST_DELAY
    } else {
        OTHER_ZONE_DELAY
    }
}
