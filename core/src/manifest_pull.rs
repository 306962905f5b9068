//! Selects the VM from which to fetch a newer manifest: one at a time, same zone first.
//!
//! Every control VM advertises a new manifest, and many VMs need it at once. A VM that requested
//! it from all of them would receive as many copies, most of them from other zones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::manifest::ManifestNumber;
use crate::names::VmId;
use crate::time::Moment;

/// Delay before a VM of another zone is asked for a newer manifest.
///
/// It gives a control VM of the own zone time to obtain the manifest.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(400);
/// The same delay while no manifest is in force, as callers are refused meanwhile.
///
/// A follower of the own zone learns within it that its leader has committed the manifest.
const FIRST_MANIFEST_DELAY: Duration = Duration::from_millis(80);
/// Time after which another VM is asked.
///
/// The transfer of a large manifest over a slow link takes a tenth of it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns how long a VM that has manifest `have` in force waits before it asks another zone.
///
/// Number 0 stands for none.
#[must_use]
pub fn other_zone_delay(have: ManifestNumber) -> Duration {
    if have == ManifestNumber(0) {
        FIRST_MANIFEST_DELAY
    } else {
        OTHER_ZONE_DELAY
    }
}

/// A VM that advertised a manifest.
#[derive(Clone, Copy, Debug)]
struct Source {
    number: ManifestNumber,
    /// Whether the VM is in the own availability zone.
    same_zone: bool,
    /// Time at which the VM first advertised `number`.
    advertised_at: Moment,
    /// Number of requests sent to the VM for `number`.
    requests: u32,
}

/// VMs that advertised manifests, and the pending request to one of them.
#[derive(Debug, Default)]
pub struct ManifestPull {
    sources: BTreeMap<VmId, Source>,
    /// Time of the pending request; `None` if there is none.
    pending_since: Option<Moment>,
}

impl ManifestPull {
    /// Records the number of the newest manifest that a VM advertised.
    pub fn advertised(
        &mut self,
        now: Moment,
        from: &VmId,
        number: ManifestNumber,
        same_zone: bool,
    ) {
        let source = Source {
            number,
            same_zone,
            advertised_at: now,
            requests: 0,
        };
        let known = self.sources.entry(from.clone()).or_insert(source);
        if number > known.number {
            *known = source;
        }
    }

    /// Removes a VM that is no longer reachable, and cancels the pending request.
    pub fn disconnected(&mut self, vm: &VmId) {
        self.sources.remove(vm);
        self.pending_since = None;
    }

    /// Records that a manifest was received.
    pub fn received(&mut self) {
        self.pending_since = None;
    }

    /// Returns the VM to ask now for a manifest newer than `have`, if any.
    ///
    /// It prefers VMs that were asked less often, then VMs of the own zone. Only one request is
    /// pending at a time.
    pub fn next_source(&mut self, now: Moment, have: ManifestNumber) -> Option<VmId> {
        let in_flight = |sent: Moment| now.since(sent) < REQUEST_TIMEOUT;
        if self.pending_since.is_some_and(in_flight) {
            return None;
        }
        let delay = other_zone_delay(have);
        let newer = self
            .sources
            .iter_mut()
            .filter(|(_, source)| source.number > have);
        let mut ready = newer
            .filter(|(_, source)| source.same_zone || now.since(source.advertised_at) >= delay);
        let first = ready.next()?;
        let best = ready.fold(first, |best, other| {
            let rank = |source: &Source| (source.requests, !source.same_zone);
            if rank(other.1) < rank(best.1) {
                other
            } else {
                best
            }
        });
        best.1.requests += 1;
        self.pending_since = Some(now);
        Some(best.0.clone())
    }
}
