//! Availability zones whose backend servers get no new requests, by an operator's order.

use std::collections::BTreeSet;

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

/// Control VMs that are known to be able to apply the log command for evacuations.
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
