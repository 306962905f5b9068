//! Commands on their way to the leader of the control log, sent again until they are answered.

use std::collections::BTreeMap;

use merlinrudder_core::control::Command;
use merlinrudder_core::names::VmId;
use merlinrudder_core::outcome::RetryReason;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireProposeResult};

use super::ControlThread;
use super::input::Proposal;
use crate::constants::PROPOSE_AGAIN;
use crate::metrics;
use crate::replica::Requester;

#[derive(Debug)]
struct Pending {
    proposal: Proposal,
    sent: Moment,
}

/// Proposals of this VM that are not answered yet.
#[derive(Debug)]
pub(super) struct Proposals {
    pending: BTreeMap<u64, Pending>,
    next_id: u64,
    /// All other VMs with a disk.
    control_vms: Vec<VmId>,
    /// VM that is believed to lead.
    leader: Option<VmId>,
    /// Next of `control_vms` to ask where nobody is believed to lead.
    next_vm: usize,
}

impl Proposals {
    pub(super) fn open(control_vms: Vec<VmId>) -> Self {
        let pending = BTreeMap::new();
        Self {
            pending,
            next_id: 1,
            control_vms,
            leader: None,
            next_vm: 0,
        }
    }

    /// Returns the VM to ask: the believed leader, or the control VMs in turn.
    pub(super) fn target(&mut self) -> Option<VmId> {
        if let Some(leader) = &self.leader {
            return Some(leader.clone());
        }
        if self.control_vms.is_empty() {
            return None;
        }
        self.next_vm = (self.next_vm + 1) % self.control_vms.len();
        self.control_vms.get(self.next_vm).cloned()
    }

    /// Stops believing in a leader that does not answer.
    pub(super) fn forget_leader(&mut self) {
        self.leader = None;
    }
}

impl ControlThread {
    pub(super) fn propose(&mut self, proposal: Proposal) {
        let now = self.now();
        let id = self.proposals.next_id;
        self.proposals.next_id += 1;
        self.proposals.pending.insert(
            id,
            Pending {
                proposal,
                sent: now,
            },
        );
        self.send_proposal(now, id);
    }

    pub(super) fn tick_proposals(&mut self, now: Moment) {
        let over: Vec<_> = self
            .proposals
            .pending
            .iter()
            .filter(|(_, pending)| pending.proposal.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if let Some(pending) = self.proposals.pending.remove(&id) {
                drop(pending.proposal.reply.send(None));
            }
        }
        let late: Vec<_> = self
            .proposals
            .pending
            .iter()
            .filter(|(_, pending)| now.since(pending.sent) >= PROPOSE_AGAIN)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            metrics::count_retry(RetryReason::ClaimUnanswered);
            self.proposals.forget_leader();
            self.send_proposal(now, id);
        }
    }

    fn send_proposal(&mut self, now: Moment, id: u64) {
        let Some(pending) = self.proposals.pending.get_mut(&id) else {
            return;
        };
        pending.sent = now;
        let command = pending.proposal.command.clone();
        if self
            .replica
            .as_ref()
            .is_some_and(|replica| replica.consensus.is_leader())
        {
            let own = self.own.vm.clone();
            self.take_proposal(now, &own, id, command);
            return;
        }
        let target = self.leader_vm().or_else(|| self.proposals.target());
        if let Some(target) = target.filter(|target| *target != self.own.vm) {
            self.mesh.send(
                &target,
                MeshMessage::Propose {
                    id,
                    command: command.into(),
                },
            );
        }
    }

    /// Takes in a proposal of any VM; answers at once where this VM does not lead.
    pub(super) fn take_proposal(&mut self, now: Moment, from: &VmId, id: u64, command: Command) {
        let requester = Requester {
            vm: from.clone(),
            id,
        };
        let proposed = match &mut self.replica {
            Some(replica) => replica.propose(now, requester, command).is_ok(),
            None => false,
        };
        if !proposed && *from != self.own.vm {
            let leader = self.leader_vm().map(|vm| vm.to_string());
            let result = WireProposeResult::NotLeader { leader };
            self.mesh
                .send(from, MeshMessage::ProposeReply { id, result });
        }
    }

    pub(super) fn take_proposed(&mut self, from: &VmId, id: u64, result: WireProposeResult) {
        match result {
            WireProposeResult::Committed(answer) => {
                if *from != self.own.vm {
                    self.proposals.leader = Some(from.clone());
                }
                if let Some(pending) = self.proposals.pending.remove(&id) {
                    drop(pending.proposal.reply.send(Some(answer.into())));
                }
            }
            WireProposeResult::NotLeader { leader } => {
                let now = self.now();
                self.proposals.leader = leader
                    .map(VmId::from)
                    .filter(|vm| *vm != self.own.vm && vm != from);
                // Without a known leader the next try waits, so that no answer is chased in a loop.
                if self.proposals.leader.is_some() {
                    self.send_proposal(now, id);
                }
            }
        }
    }
}
