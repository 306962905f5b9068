//! Drives this VM's replica of the control log and exchanges its Raft messages.

use merlinrudder_core::consensus::message::{Message, ReplicaId};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireProposeResult};

use super::ControlThread;
use crate::metrics;
use crate::replica::disk::SyncReport;
use crate::replica::{ProposalOutcome, Requester};

impl ControlThread {
    pub(super) fn tick_replica(&mut self, now: Moment) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        replica.consensus.tick(now);
        let consensus = &replica.consensus;
        let number = replica.state.manifest_number().0;
        metrics::set_control_gauges(number, consensus.term().0, consensus.is_leader());
        self.tick_formation(now);
    }

    /// Passes a Raft message of another replica to this VM's replica.
    pub(super) fn handle_raft_message(
        &mut self,
        now: Moment,
        from: &ReplicaId,
        to: &ReplicaId,
        message: Message,
    ) {
        // A message may be meant for an earlier incarnation, whose disk was lost.
        if let Some(replica) = self.replica.as_mut().filter(|r| r.consensus.id() == to) {
            replica.consensus.receive(now, from, message);
        }
    }

    /// Handles a completed sync and sends the messages that waited for it.
    pub(super) fn handle_sync_report(&mut self, report: SyncReport) {
        let now = self.now();
        let Some(replica) = &mut self.replica else {
            return;
        };
        for (to, message) in replica.record_sync(report) {
            self.send_raft_message(now, to, message);
        }
    }

    /// Carries out the outputs of the consensus; returns whether there were any.
    pub(super) fn flush_replica(&mut self) -> bool {
        let now = self.now();
        let Some(replica) = &mut self.replica else {
            return false;
        };
        let outputs = replica.flush();
        for (to, message) in outputs.messages {
            self.send_raft_message(now, to, message);
        }
        for outcome in outputs.outcomes {
            self.send_proposal_outcome(outcome);
        }
        if outputs.progressed {
            self.adopt_replica_state(now);
        }
        outputs.progressed
    }

    /// Sends a Raft message; one to this replica itself is processed at once.
    fn send_raft_message(&mut self, now: Moment, to: ReplicaId, message: Message) {
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

    fn send_proposal_outcome(&mut self, outcome: ProposalOutcome) {
        let Requester { vm, id } = outcome.requester;
        let result = match outcome.answer {
            Some(answer) => WireProposeResult::Committed(answer.into()),
            None => WireProposeResult::NotLeader {
                leader: self.leader_vm().map(|vm| vm.to_string()),
            },
        };
        if vm == self.local.vm {
            self.handle_proposal_result(&vm, id, result);
        } else {
            self.mesh
                .send(&vm, MeshMessage::ProposeReply { id, result });
        }
    }

    /// Returns the leader of the control log, if this VM's replica knows one.
    pub(super) fn leader_vm(&self) -> Option<VmId> {
        let replica = self.replica.as_ref()?;
        replica.consensus.leader().map(|leader| leader.vm.clone())
    }
}
