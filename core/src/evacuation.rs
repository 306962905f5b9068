//! Availability zones whose backend servers get no new requests, by an operator's order.
//!
//! The orders about a zone are numbered by the control log: an order names the number after which it was
//! given, and can change nothing once another one has been applied since ([`OrderNumbers`]). So an order that is late
//! or sent twice cannot undo a newer one, wherever it was delayed. [`PendingOrder`] is the progress of an order at the
//! control VM that was asked.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::{VmId, ZoneName};

/// The evacuated zones, as the control log holds them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    /// Number of changes so far; of two sets, the one with the higher number is newer.
    pub revision: u64,
    /// Zones whose servers get no new requests.
    pub zones: BTreeSet<ZoneName>,
}

impl Evacuations {
    /// Begins or ends the evacuation of a zone.
    ///
    /// An order that the set already satisfies changes nothing, the revision included.
    pub fn set(&mut self, zone: ZoneName, active: bool) {
        let changed = if active {
            self.zones.insert(zone)
        } else {
            self.zones.remove(&zone)
        };
        self.revision += u64::from(changed);
    }

    /// Whether the zone is evacuated, or not, as an order demands.
    #[must_use]
    pub fn satisfies(&self, zone: &ZoneName, active: bool) -> bool {
        self.zones.contains(zone) == active
    }

    /// Replaces this set by a newer one; returns the zones that are no longer evacuated.
    ///
    /// Returns `None`, and changes nothing, unless the revision of `newer` is higher.
    pub fn replace(&mut self, newer: Self) -> Option<Vec<ZoneName>> {
        if newer.revision <= self.revision {
            return None;
        }
        let earlier = std::mem::replace(self, newer);
        let reopened = earlier.zones.difference(&self.zones);
        Some(reopened.cloned().collect())
    }
}

/// Numbers of the newest orders that the control log has applied, by zone.
///
/// An order counts also if the zone was evacuated, or not, as it demands already.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrderNumbers {
    /// A zone without an order has number 0 and no entry.
    newest: BTreeMap<ZoneName, u64>,
}

impl OrderNumbers {
    /// Returns the number of the newest order about a zone; 0 if there was none.
    #[must_use]
    pub fn newest(&self, zone: &ZoneName) -> u64 {
        self.newest.get(zone).copied().unwrap_or_default()
    }

    /// Whether no numbered order was applied.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    /// Counts an order about a zone.
    pub fn count(&mut self, zone: &ZoneName) {
        let newest = self.newest(zone);
        self.newest.insert(zone.clone(), newest + 1);
    }

    /// Returns the zones with their newest numbers, as a snapshot holds them.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneName, u64)> {
        self.newest.iter().map(|(zone, number)| (zone, *number))
    }

    /// Restores the numbers from a snapshot.
    #[must_use]
    pub fn restore(numbers: impl IntoIterator<Item = (ZoneName, u64)>) -> Self {
        let newest = numbers.into_iter().collect();
        Self { newest }
    }
}

/// Whether the operator who gave an order still waits for its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerPresence {
    /// The connection has ended: the operator may have given a newer order elsewhere.
    Gone,
    /// It cannot be told now.
    Unknown,
    /// The connection is open, and nothing has come on it since the order.
    Waiting,
}

/// Progress of an operator's order at the control VM that was asked.
///
/// The operator must have been seen to wait after the number was read. Whatever the operator orders after
/// that raises the number, so that each copy of this order which arrives later is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingOrder {
    /// Number of the zone's newest order, read before the operator was last seen to wait.
    after: u64,
    stage: OrderStage,
}

/// Stage of a pending order; a refusal leads back to the first one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderStage {
    /// The operator was not seen to wait since `after` was read.
    Read,
    /// The operator was seen to wait; the order may be proposed, also more than once.
    Proposed,
    /// The order was applied, which led to this revision of the evacuated zones.
    Applied(u64),
}

impl PendingOrder {
    /// Begins an order after the `newest` one about its zone that this VM has applied.
    ///
    /// The VM may be behind: an order with a number that is too low is refused, and starts over.
    #[must_use]
    pub const fn new(newest: u64) -> Self {
        Self {
            after: newest,
            stage: OrderStage::Read,
        }
    }

    /// Number of the order about the zone after which this one was read.
    #[must_use]
    pub const fn after(&self) -> u64 {
        self.after
    }

    /// Whether the order may be proposed, also again if no answer comes.
    #[must_use]
    pub fn is_proposed(&self) -> bool {
        self.stage == OrderStage::Proposed
    }

    /// Returns the revision of the evacuated zones to which the order led, once it was applied.
    #[must_use]
    pub const fn applied_revision(&self) -> Option<u64> {
        match self.stage {
            OrderStage::Applied(revision) => Some(revision),
            OrderStage::Read | OrderStage::Proposed => None,
        }
    }

    /// Records that the operator was seen to wait just now; returns whether the order is to be proposed anew.
    pub fn caller_waits(&mut self) -> bool {
        let is_new = self.stage == OrderStage::Read;
        if is_new {
            self.stage = OrderStage::Proposed;
        }
        is_new
    }

    /// Records that the log has applied the order.
    pub fn applied(&mut self, revision: u64) {
        self.stage = OrderStage::Applied(revision);
    }

    /// Starts over after a refusal, since the `newest` order is another one; returns whether it does.
    ///
    /// A refusal of an earlier copy changes nothing: it names no newer order than the one known.
    pub fn overtaken(&mut self, newest: u64) -> bool {
        let starts_over = self.is_proposed() && newest > self.after;
        if starts_over {
            *self = Self::new(newest);
        }
        starts_over
    }
}

/// Control VMs that are known to be able to apply a log command which earlier versions lack.
///
/// A VM of an earlier version stops when it cannot decode a committed command, so none may be
/// appended to a log that such a VM replicates.
#[derive(Clone, Debug, Default)]
pub struct CommandSupport {
    /// A VM stays known while it is not linked.
    known: BTreeSet<VmId>,
}

impl CommandSupport {
    /// Records which of the linked control VMs are able to, by the features that they announced.
    pub fn record(&mut self, linked: &[VmId], able: &BTreeSet<VmId>) {
        for vm in linked {
            if able.contains(vm) {
                self.known.insert(vm.clone());
            } else {
                self.known.remove(vm);
            }
        }
    }

    /// Whether a VM is known to be able to apply the command.
    #[must_use]
    pub fn knows(&self, vm: &VmId) -> bool {
        self.known.contains(vm)
    }

    /// Whether the command may be appended to a log with these other `voters`.
    ///
    /// Other `linked` control VMs may be learners, which get all entries too. Once such a command
    /// is in the log, `is_in_log`, there is nothing left to protect.
    pub fn allows<'a>(
        &self,
        is_in_log: bool,
        voters: impl IntoIterator<Item = &'a VmId>,
        linked: &'a [VmId],
    ) -> bool {
        is_in_log || voters.into_iter().chain(linked).all(|vm| self.knows(vm))
    }
}
