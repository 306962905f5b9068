//! Decides which entry VMs an entry VM asks for the crash history when it has no control VM.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::names::VmId;
use crate::time::Moment;

/// Time without a link to a control VM after which entry VMs are asked.
pub const CONTROL_WAIT: Duration = Duration::from_secs(3);
/// Maximum number of entry VMs that are asked while no control VM is linked.
///
/// Each of them knows what all knew; the others are asked in case one is as new as this VM.
const MAX_ASKED: usize = 3;

/// Tracks how long no control VM has been linked, and who was asked since.
#[derive(Debug, Default)]
pub struct HistoryPull {
    /// When the lack of a control VM was first seen; `None` while one is linked.
    alone_since: Option<Moment>,
    asked: BTreeSet<VmId>,
}

impl HistoryPull {
    /// Records that a control VM is linked, which is asked itself.
    pub fn control_linked(&mut self) {
        *self = Self::default();
    }

    /// Returns which of the linked entry VMs to ask now, while no control VM is linked.
    pub fn due(&mut self, now: Moment, entry_vms: impl Iterator<Item = VmId>) -> Vec<VmId> {
        let since = *self.alone_since.get_or_insert(now);
        if now.since(since) < CONTROL_WAIT {
            return Vec::new();
        }
        let left = MAX_ASKED - self.asked.len();
        let next = entry_vms.filter(|vm| !self.asked.contains(vm)).take(left);
        let next: Vec<_> = next.collect();
        self.asked.extend(next.iter().cloned());
        next
    }
}
