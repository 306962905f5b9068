//! Choice of another VM by way of which a VM that is cut off reaches servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::names::{ServiceName, VmId, ZoneName};
use crate::rendezvous::stable_hash;
use crate::time::Moment;

/// Time for which a VM is not asked after it refused or failed.
const FAILURE_PENALTY: Duration = Duration::from_secs(1);
/// Requests by way of a VM for which it is worth to cross availability zones.
const ZONE_CROSSING_REQUESTS: u32 = 4;
/// Part of a zone's even share of the usable VMs below which zones do not matter.
const MIN_ZONE_SHARE_DIVISOR: usize = 2;

/// What is known of another VM.
#[derive(Debug)]
struct Relay {
    zone: ZoneName,
    /// Services that it says it is cut off from.
    cut_off: BTreeSet<ServiceName>,
    /// Until when it is not asked for a service that it refused.
    refused_until: BTreeMap<ServiceName, Moment>,
    /// Until when it is not asked at all.
    failed_until: Moment,
    /// Requests of this VM that are in progress by way of it.
    requests: u32,
}

impl Relay {
    /// Whether the VM may be asked for a service.
    fn is_usable(&self, now: Moment, service: &ServiceName) -> bool {
        let refused_until = self.refused_until.get(service);
        !self.cut_off.contains(service)
            && now >= self.failed_until
            && refused_until.is_none_or(|until| now >= *until)
    }
}

/// The linked VMs that make attempts for others.
#[derive(Debug, Default)]
pub struct RelayTable {
    vms: BTreeMap<VmId, Relay>,
}

impl RelayTable {
    /// Adds a VM that was linked; it is cut off from nothing as far as known.
    pub fn insert(&mut self, vm: VmId, zone: ZoneName) {
        let requests = self.vms.get(&vm).map_or(0, |relay| relay.requests);
        let relay = Relay {
            zone,
            cut_off: BTreeSet::new(),
            refused_until: BTreeMap::new(),
            failed_until: Moment::default(),
            requests,
        };
        self.vms.insert(vm, relay);
    }

    /// Removes a VM whose link was lost.
    pub fn remove(&mut self, vm: &VmId) {
        self.vms.remove(vm);
    }

    /// Whether no VM makes attempts for others.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Replaces the services that a VM says it is cut off from.
    pub fn set_cut_off(&mut self, vm: &VmId, services: BTreeSet<ServiceName>) {
        if let Some(relay) = self.vms.get_mut(vm) {
            relay.refused_until.clear();
            relay.cut_off = services;
        }
    }

    /// Chooses the VM for a request to a service, none in `excluded`; `None` if there is none.
    ///
    /// Prefers VMs with few requests, and `zone` unless too few of its VMs are usable; `seed` decides
    /// between equal ones.
    #[must_use]
    pub fn choose(
        &self,
        now: Moment,
        service: &ServiceName,
        zone: &ZoneName,
        excluded: &[VmId],
        seed: u64,
    ) -> Option<VmId> {
        let usable = self
            .vms
            .iter()
            .filter(|(vm, relay)| !excluded.contains(vm) && relay.is_usable(now, service));
        let usable: Vec<_> = usable.collect();
        let near = usable.iter().filter(|(_, relay)| relay.zone == *zone);
        let zones: BTreeSet<_> = self.vms.values().map(|relay| &relay.zone).collect();
        let prefers_zone = near.count() * zones.len() * MIN_ZONE_SHARE_DIVISOR >= usable.len();
        let best = usable.into_iter().min_by_key(|(vm, relay)| {
            let crossing = if relay.zone == *zone || !prefers_zone {
                0
            } else {
                ZONE_CROSSING_REQUESTS
            };
            let draw = stable_hash(&[&seed.to_le_bytes(), vm.as_str().as_bytes()]);
            (relay.requests + crossing, draw)
        });
        best.map(|(vm, _)| vm.clone())
    }

    /// Counts a request by way of a VM as in progress.
    pub fn began(&mut self, vm: &VmId) {
        if let Some(relay) = self.vms.get_mut(vm) {
            relay.requests += 1;
        }
    }

    /// Removes a request that ended from the count.
    pub fn ended(&mut self, vm: &VmId) {
        if let Some(relay) = self.vms.get_mut(vm) {
            relay.requests = relay.requests.saturating_sub(1);
        }
    }

    /// Records that a VM refused a request for a service.
    pub fn record_refusal(&mut self, now: Moment, vm: &VmId, service: &ServiceName) {
        if let Some(relay) = self.vms.get_mut(vm) {
            let until = now + FAILURE_PENALTY;
            relay.refused_until.insert(service.clone(), until);
        }
    }

    /// Records that no connection to a VM could be opened, or that one broke.
    pub fn record_failure(&mut self, now: Moment, vm: &VmId) {
        if let Some(relay) = self.vms.get_mut(vm) {
            relay.failed_until = now + FAILURE_PENALTY;
        }
    }
}
