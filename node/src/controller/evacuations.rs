//! Tells entry VMs the evacuated zones, and keeps the command from VMs that cannot apply it.

use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::WirePeer;
use slog::info;

use super::state::Controller;

impl Controller {
    /// Whether a command about evacuations may be appended to the log.
    pub(super) fn may_propose_evacuations(&mut self) -> bool {
        let linked = self.control_peers();
        self.record_evacuation_support(&linked);
        let own = self.local_peer.vm_id();
        let voters = self.replica.consensus.voters().iter();
        let others = voters.map(|voter| &voter.vm).filter(|vm| **vm != own);
        let is_in_log = self.replica.state.evacuations.revision > 0;
        self.evacuation_support.allows(is_in_log, others, &linked)
    }

    /// Whether the command may be sent to the VM that leads.
    pub(super) fn may_send_evacuation(&mut self, leader: &VmId) -> bool {
        let may_propose = self.may_propose_evacuations();
        may_propose && (*leader == self.local_peer.vm_id() || self.evacuation_support.knows(leader))
    }

    fn record_evacuation_support(&mut self, linked: &[VmId]) {
        let with_feature = self.links.vms_with(|features| features.evacuations);
        let with_feature = with_feature.into_iter().collect();
        self.evacuation_support.record(linked, &with_feature);
    }

    /// Notes the features of a newly linked VM, and tells an entry VM the evacuated zones.
    pub(super) fn evacuation_link_up(&mut self, peer: &WirePeer) {
        let vm = peer.vm_id();
        if peer.control {
            self.record_evacuation_support(&[vm]);
        } else {
            self.send_evacuations(&[vm]);
        }
    }

    /// Logs and advertises the evacuated zones if they have changed.
    pub(super) fn announce_evacuations(&mut self) {
        let evacuations = &self.replica.state.evacuations;
        if evacuations.revision <= self.advertised_evacuations {
            return;
        }
        self.advertised_evacuations = evacuations.revision;
        let zones: Vec<_> = evacuations.zones.iter().map(ZoneName::as_str).collect();
        info!(self.log, "Evacuated zones changed"; "zones" => zones.join(" "),
            "revision" => evacuations.revision);
        self.send_evacuations(&self.entry_peers());
        self.complete_calls();
    }

    /// Sends the evacuated zones to those of these entry VMs that understand the message.
    pub(super) fn send_evacuations(&self, entries: &[VmId]) {
        let evacuations = self.replica.state.evacuations.clone();
        let message = MeshMessage::Evacuations(evacuations.into());
        let mut receivers = self.links.vms_with(|features| features.evacuations);
        receivers.retain(|vm| entries.contains(vm));
        self.links.send_all(&receivers, &message);
    }
}
