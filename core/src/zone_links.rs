//! Tells from lost links between VMs that an availability zone is cut off.
//!
//! A VM with few requests learns of a cut too late from its own attempts: each of them fails first.
//! Links are watched by heartbeats, so a cut closes all links to the VMs of a zone at about the
//! same moment. Servers there are then left out until one of them or a VM is reached again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::names::{VmId, ZoneName};
use crate::time::Moment;

/// Links to a zone that must be lost together; a single VM may have failed instead.
const MIN_LOST_LINKS: usize = 2;
/// Time within which the links of a cut are lost.
///
/// Two VMs notice a cut at different times, by up to a heartbeat and its timeout.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// Time after which the servers of a zone without links are tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Links to the VMs of one zone.
#[derive(Debug, Default)]
struct ZoneState {
    linked: BTreeSet<VmId>,
    /// When links were lost, within `LOSS_WINDOW`.
    losses: Vec<Moment>,
    /// End of the time in which servers of the zone are left out; set only while `linked` is empty.
    left_out_until: Option<Moment>,
}

/// Links to the VMs of all zones.
#[derive(Debug, Default)]
pub struct ZoneLinks {
    zones: BTreeMap<ZoneName, ZoneState>,
    /// Zones of the linked VMs.
    vms: BTreeMap<VmId, ZoneName>,
}

impl ZoneLinks {
    /// Records that a link to a VM was opened; its zone is reached.
    pub fn opened(&mut self, vm: VmId, zone: ZoneName) {
        let state = self.zones.entry(zone.clone()).or_default();
        state.linked.insert(vm.clone());
        state.left_out_until = None;
        self.vms.insert(vm, zone);
    }

    /// Records that the last link to a VM was lost; returns the zone if it is now cut off.
    pub fn lost(&mut self, now: Moment, vm: &VmId) -> Option<ZoneName> {
        let zone = self.vms.remove(vm)?;
        let state = self.zones.entry(zone.clone()).or_default();
        state.linked.remove(vm);
        state.losses.retain(|at| now.since(*at) < LOSS_WINDOW);
        state.losses.push(now);
        if !state.linked.is_empty() || state.losses.len() < MIN_LOST_LINKS {
            return None;
        }
        state.left_out_until = Some(now + RETRY_INTERVAL);
        Some(zone)
    }

    /// Records that a server of a zone answered, so the zone is reached.
    pub fn record_answer(&mut self, zone: &ZoneName) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.left_out_until = None;
            state.losses.clear();
        }
    }

    /// Records that no connection to a server of a zone could be opened.
    ///
    /// A zone without links that was tried again is left out for another while.
    pub fn record_unreachable(&mut self, now: Moment, zone: &ZoneName) {
        if let Some(state) = self.zones.get_mut(zone)
            && state.left_out_until.is_some()
        {
            state.left_out_until = Some(now + RETRY_INTERVAL);
        }
    }

    /// Whether a zone is cut off from this VM.
    ///
    /// A VM without any link is alone, and learns nothing of the zones.
    #[must_use]
    pub fn is_cut_off(&self, now: Moment, zone: &ZoneName) -> bool {
        let state = self.zones.get(zone);
        let left_out_until = state.and_then(|state| state.left_out_until);
        left_out_until.is_some_and(|until| now < until) && !self.vms.is_empty()
    }
}
