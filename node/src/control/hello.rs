//! Hello messages between the replicas of all VMs with a disk.

use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireHello};

use super::ControlThread;

impl ControlThread {
    /// Sends the hello that is due.
    ///
    /// Hellos are only sent as long as this replica is not a committed voter.
    pub(super) fn tick_formation(&mut self, now: Moment) {
        let (Some(replica), Some(formation)) = (&mut self.replica, &mut self.formation) else {
            return;
        };
        let Some(hello) = formation.tick(now, &mut replica.consensus) else {
            return;
        };
        for peer in formation
            .initial_vms
            .iter()
            .filter(|vm| **vm != self.local.vm)
        {
            self.mesh.send(peer, MeshMessage::Hello(hello.clone()));
        }
    }

    /// Handles a hello of another replica.
    ///
    /// One from a VM that the settings do not list with a disk is ignored.
    pub(super) fn handle_hello(&mut self, now: Moment, from: &VmId, hello: &WireHello) {
        let (Some(replica), Some(formation)) = (&mut self.replica, &mut self.formation) else {
            return;
        };
        if hello.replica().vm != *from || !formation.initial_vms.contains(from) {
            return;
        }
        if let Some(reply) = formation.receive_hello(now, &mut replica.consensus, hello) {
            self.mesh.send(from, MeshMessage::Hello(reply));
        }
    }
}
