//! Number of VMs that share a limit, including those out of sight.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::VmId;
use crate::time::Moment;

/// Time for which a VM counts after it was last seen or named.
const MEMORY: Duration = Duration::from_mins(10);

/// Other VMs of the same role, with the time at which each was last known to run.
#[derive(Debug, Default)]
pub struct Census {
    last_seen: BTreeMap<VmId, Moment>,
    /// Whether a list of all VMs has arrived since the start.
    complete: bool,
}

impl Census {
    /// Records a VM that is linked to this one, or that another VM names.
    pub fn record(&mut self, now: Moment, vm: VmId) {
        self.last_seen.insert(vm, now);
    }

    /// Records that all VMs which another one knows are recorded.
    pub fn mark_complete(&mut self) {
        self.complete = true;
    }

    /// Returns the other VMs that count; `None` until they are known.
    pub fn others(&mut self, now: Moment) -> Option<Vec<VmId>> {
        self.sharers(now)?;
        Some(self.last_seen.keys().cloned().collect())
    }

    /// Returns how many VMs share a limit, this one included; `None` until that is known.
    ///
    /// A VM that is cut off may still run and use its share, so it counts for a while.
    pub fn sharers(&mut self, now: Moment) -> Option<usize> {
        self.last_seen
            .retain(|_, seen_at| now.since(*seen_at) < MEMORY);
        self.complete.then_some(self.last_seen.len() + 1)
    }
}
