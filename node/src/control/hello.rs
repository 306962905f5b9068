//! Introductions of this VM's replica to the listed replicas.

use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireHello};

use super::ControlThread;

impl ControlThread {
    /// Introduces this replica for as long as it is no voter.
    pub(super) fn tick_formation(&mut self, now: Moment) {
        let (Some(replica), Some(formation)) = (&mut self.replica, &mut self.formation) else {
            return;
        };
        let Some(hello) = formation.tick(now, &mut replica.consensus) else {
            return;
        };
        for peer in formation.initial_vms.iter().filter(|f| **f != self.own.vm) {
            self.mesh.send(peer, MeshMessage::Hello(hello.clone()));
        }
    }

    pub(super) fn take_hello(&mut self, now: Moment, from: &VmId, hello: &WireHello) {
        let (Some(replica), Some(formation)) = (&mut self.replica, &mut self.formation) else {
            return;
        };
        if hello.replica().vm != *from || !formation.initial_vms.contains(from) {
            return;
        }
        if let Some(answer) = formation.receive_hello(now, &mut replica.consensus, hello) {
            self.mesh.send(from, MeshMessage::Hello(answer));
        }
    }
}
