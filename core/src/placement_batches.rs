//! Collects changes of this VM's placements into batches for the other entry VMs, zone by zone.
//!
//! VMs of the same zone place on the same engines and need changes soon. In a large fleet, those of
//! other zones need a change soon only if it names an engine of their zone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::names::{VmId, ZoneName};
use crate::time::Moment;

/// Longest time for which a change waits for others where it is needed soon.
pub const NEAR_DELAY: Duration = Duration::from_millis(8);
/// Longest time for which a change waits for others where it is needed less soon.
pub const FAR_DELAY: Duration = Duration::from_millis(40);
/// Number of entry VMs, this one included, beyond which changes may wait for `FAR_DELAY`.
pub const MAX_SMALL_FLEET: usize = 30;

/// What a change does to a placement; holds the placement's number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// It begins.
    Made(u64),
    /// It changes.
    Updated(u64),
    /// It ends.
    Ended(u64),
    /// The change is not about a placement.
    Other,
}

/// Changes for the entry VMs of each zone. `C` is the form in which they are sent.
#[derive(Debug)]
pub struct PlacementBatches<C> {
    own_zone: ZoneName,
    /// Zones with linked entry VMs.
    zones: BTreeMap<ZoneName, ZoneBatch<C>>,
}

/// Changes for one zone.
#[derive(Debug)]
struct ZoneBatch<C> {
    /// Linked entry VMs; never empty.
    vms: BTreeSet<VmId>,
    /// Changes not yet sent, in their order.
    changes: Vec<C>,
    /// When to send them; `None` if there are none.
    due: Option<Moment>,
    /// Whether a VM may know placements from changes not yet sent, as its link opened after them.
    keeps_ended: bool,
}

/// A batch that is to be sent.
#[derive(Debug, Eq, PartialEq)]
pub struct DueBatch<C> {
    /// The VMs that receive it.
    pub vms: Vec<VmId>,
    /// Changes in their order; not empty.
    pub changes: Vec<C>,
}

impl<C: Clone> PlacementBatches<C> {
    /// Creates the batches of a VM in `own_zone` without links.
    #[must_use]
    pub fn new(own_zone: ZoneName) -> Self {
        Self {
            own_zone,
            zones: BTreeMap::new(),
        }
    }

    /// Records that a link to an entry VM was opened, which is sent all active placements.
    pub fn opened(&mut self, vm: VmId, zone: ZoneName) {
        let batch = self.zones.entry(zone).or_insert_with(|| ZoneBatch {
            vms: BTreeSet::new(),
            changes: Vec::new(),
            due: None,
            keeps_ended: false,
        });
        batch.keeps_ended = !batch.changes.is_empty();
        batch.vms.insert(vm);
    }

    /// Records that the link to a VM was lost.
    pub fn lost(&mut self, vm: &VmId) {
        self.zones.retain(|_, batch| {
            batch.vms.remove(vm);
            !batch.vms.is_empty()
        });
    }

    /// Adds a change that names engines in `named` zones; returns whether a batch is due earlier.
    pub fn push(&mut self, now: Moment, change: &C, named: &BTreeSet<ZoneName>) -> bool {
        let before = self.next_due();
        let linked: usize = self.zones.values().map(|batch| batch.vms.len()).sum();
        let is_small = linked < MAX_SMALL_FLEET;
        for (zone, batch) in &mut self.zones {
            let is_near = is_small || *zone == self.own_zone || named.contains(zone);
            let due = now + if is_near { NEAR_DELAY } else { FAR_DELAY };
            batch.changes.push(change.clone());
            batch.due = Some(batch.due.map_or(due, |earlier| earlier.min(due)));
        }
        let after = self.next_due();
        after.is_some_and(|after| before.is_none_or(|before| after < before))
    }

    /// Returns when the next batch is to be sent; `None` if there are no changes.
    #[must_use]
    pub fn next_due(&self) -> Option<Moment> {
        self.zones.values().filter_map(|batch| batch.due).min()
    }

    /// Takes the batches that are due, without changes of placements that both begin and end there.
    pub fn take_due(&mut self, now: Moment, kind: impl Fn(&C) -> ChangeKind) -> Vec<DueBatch<C>> {
        let mut due = Vec::new();
        for batch in self.zones.values_mut() {
            if batch.due.is_none_or(|at| now < at) {
                continue;
            }
            batch.due = None;
            let mut changes = std::mem::take(&mut batch.changes);
            if !std::mem::take(&mut batch.keeps_ended) {
                changes = without_ended(changes, &kind);
            }
            if !changes.is_empty() {
                let vms = batch.vms.iter().cloned().collect();
                due.push(DueBatch { vms, changes });
            }
        }
        due
    }
}

/// Removes all changes of placements that begin and end among them.
fn without_ended<C>(mut changes: Vec<C>, kind: &impl Fn(&C) -> ChangeKind) -> Vec<C> {
    let mut made = BTreeSet::new();
    let mut void = BTreeSet::new();
    for change in &changes {
        match kind(change) {
            ChangeKind::Made(number) => {
                made.insert(number);
            }
            ChangeKind::Ended(number) if made.contains(&number) => {
                void.insert(number);
            }
            _ => {}
        }
    }
    if !void.is_empty() {
        changes.retain(|change| match kind(change) {
            ChangeKind::Made(number) | ChangeKind::Updated(number) | ChangeKind::Ended(number) => {
                !void.contains(&number)
            }
            ChangeKind::Other => true,
        });
    }
    changes
}
