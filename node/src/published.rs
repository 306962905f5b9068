//! Immutable snapshot of the routing state, read without locks by request threads.

use std::collections::HashSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use merlinrudder_core::manifest::Manifest;
use merlinrudder_core::units::ContentDigest;

/// State that request threads need to admit a request.
#[derive(Clone, Debug, Default)]
pub struct RoutingSnapshot {
    /// Manifest in force; `None` before the first one arrives.
    pub manifest: Option<Arc<Manifest>>,
    /// Digests of contents that crashed backend servers and are refused.
    pub quarantined: Arc<HashSet<ContentDigest>>,
    /// Whether the load balancer may send callers to this VM.
    ///
    /// It has a manifest that a leader has confirmed since the process started.
    pub ready: bool,
    /// Whether the VM is stopping and admits no more requests.
    pub stopping: bool,
}

/// Shared cell in which the control thread replaces the snapshot.
#[derive(Clone, Debug, Default)]
pub struct RoutingSnapshotCell {
    cell: Arc<ArcSwap<RoutingSnapshot>>,
}

impl RoutingSnapshotCell {
    /// Returns the current snapshot.
    #[must_use]
    pub fn load(&self) -> Arc<RoutingSnapshot> {
        self.cell.load_full()
    }

    /// Replaces the snapshot by a changed copy.
    ///
    /// Only the control thread may call this, since concurrent updates would be lost.
    pub fn update(&self, change: impl FnOnce(&mut RoutingSnapshot)) {
        let mut next = RoutingSnapshot::clone(&self.cell.load());
        change(&mut next);
        self.cell.store(Arc::new(next));
    }
}
