//! Which of the linked VMs form a new cluster with this one.

use std::collections::BTreeMap;

use super::state::Controller;

impl Controller {
    /// Resolves the addresses of the initial control VMs to ids, as far as they have links.
    pub(super) fn resolve_initial_vms(&mut self) {
        if self.initial_addrs.is_empty() || self.replica.consensus.is_committed_voter() {
            return;
        }
        let mut known: BTreeMap<_, _> = self
            .links
            .peers()
            .into_iter()
            .map(|peer| (peer.address, peer.vm_id()))
            .collect();
        known.insert(self.local_peer.address, self.local_peer.vm_id());
        let addresses = self.initial_addrs.iter();
        let vms = addresses.filter_map(|address| known.get(address).cloned());
        self.formation.initial_vms = vms.collect();
        let founders = self.links.vms_with(|features| features.initial_vm);
        self.formation.founders = founders.into_iter().collect();
    }
}
