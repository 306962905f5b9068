//! What the control thread does with this VM's replica of the control log.

use merlinrudder_core::consensus::message::{Message, ReplicaId};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireProposeResult};

use super::ControlThread;
use crate::metrics;
use crate::replica::disk::DiskReport;
use crate::replica::{Answered, Requester};

impl ControlThread {
    pub(super) fn tick_replica(&mut self, now: Moment) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        replica.consensus.tick(now);
        let consensus = &replica.consensus;
        let number = replica.state.manifest_number().0;
        metrics::note_control(number, consensus.term().0, consensus.is_leader());
        self.tick_formation(now);
    }

    pub(super) fn take_log_message(
        &mut self,
        now: Moment,
        from: &ReplicaId,
        to: &ReplicaId,
        message: Message,
    ) {
        // A message for the VM's lost disk is not for this replica.
        if let Some(replica) = self.replica.as_mut().filter(|r| r.consensus.id() == to) {
            replica.consensus.receive(now, from, message);
        }
    }

    pub(super) fn take_disk_report(&mut self, report: DiskReport) {
        let now = self.now();
        let Some(replica) = &mut self.replica else {
            return;
        };
        for (to, message) in replica.take_report(report) {
            self.send_log(now, to, message);
        }
    }

    pub(super) fn flush_replica(&mut self) -> bool {
        let now = self.now();
        let Some(replica) = &mut self.replica else {
            return false;
        };
        let flushed = replica.flush();
        for (to, message) in flushed.messages {
            self.send_log(now, to, message);
        }
        for answered in flushed.answers {
            self.send_answer(answered);
        }
        if flushed.busy {
            self.adopt_own_state(now);
        }
        flushed.busy
    }

    fn send_log(&mut self, now: Moment, to: ReplicaId, message: Message) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let own = replica.consensus.id().clone();
        if to == own {
            replica.consensus.receive(now, &own, message);
            return;
        }
        let vm = to.vm.clone();
        let message = MeshMessage::Raft {
            from: own.into(),
            to: to.into(),
            message: message.into(),
        };
        self.mesh.send(&vm, message);
    }

    fn send_answer(&mut self, answered: Answered) {
        let Requester { vm, id } = answered.requester;
        let result = match answered.answer {
            Some(answer) => WireProposeResult::Committed(answer.into()),
            None => WireProposeResult::NotLeader {
                leader: self.leader_vm().map(|vm| vm.to_string()),
            },
        };
        if vm == self.own.vm {
            self.take_proposed(&vm, id, result);
        } else {
            self.mesh
                .send(&vm, MeshMessage::ProposeReply { id, result });
        }
    }

    /// Returns the VM that leads the control log, as far as this VM knows.
    pub(super) fn leader_vm(&self) -> Option<VmId> {
        let replica = self.replica.as_ref()?;
        replica.consensus.leader().map(|leader| leader.vm.clone())
    }
}
