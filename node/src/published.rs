//! The immutable snapshot of routing state that traffic threads read without locks.

use std::collections::HashSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use merlinrudder_core::manifest::Manifest;
use merlinrudder_core::units::ContentDigest;

/// What traffic threads need to know to admit a request.
#[derive(Clone, Debug, Default)]
pub struct RoutingSnapshot {
    /// Manifest in force.
    pub manifest: Option<Arc<Manifest>>,
    /// Contents that are refused.
    pub quarantined: Arc<HashSet<ContentDigest>>,
    /// Whether the VM may take callers: it has a manifest that a leader confirmed since the start.
    pub ready: bool,
    /// Whether the VM is stopping.
    pub stopping: bool,
}

/// Place where the control thread puts each new snapshot.
#[derive(Clone, Debug, Default)]
pub struct RoutingSnapshotCell {
    cell: Arc<ArcSwap<RoutingSnapshot>>,
}

impl RoutingSnapshotCell {
    /// Returns the newest snapshot.
    #[must_use]
    pub fn load(&self) -> Arc<RoutingSnapshot> {
        self.cell.load_full()
    }

    /// Puts a changed snapshot in place; only the control thread calls this.
    pub fn update(&self, change: impl FnOnce(&mut RoutingSnapshot)) {
        let mut next = RoutingSnapshot::clone(&self.cell.load());
        change(&mut next);
        self.cell.store(Arc::new(next));
    }
}
