//! Commands proposed to the leader of the control log, resent until they are answered.

use std::collections::BTreeMap;

use merlinrudder_core::control::Command;
use merlinrudder_core::names::VmId;
use merlinrudder_core::outcome::RetryReason;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireProposeResult};

use super::ControlThread;
use super::input::Proposal;
use crate::constants::PROPOSAL_RESEND_DELAY;
use crate::metrics;
use crate::proposal_ids::ProposalIds;
use crate::replica::Requester;

/// A proposal that waits for its answer.
#[derive(Debug)]
struct PendingProposal {
    proposal: Proposal,
    sent_at: Moment,
}

/// Unanswered proposals of this VM, and the VM to send them to.
#[derive(Debug)]
pub(super) struct Proposals {
    pending: BTreeMap<u64, PendingProposal>,
    ids: ProposalIds,
    /// All other VMs with a disk.
    replica_vms: Vec<VmId>,
    /// VM that last answered as leader or was named as leader; never this VM.
    leader_hint: Option<VmId>,
    /// Position in `replica_vms` of the VM last asked without a leader hint.
    target_index: usize,
}

impl Proposals {
    pub(super) fn new(replica_vms: Vec<VmId>) -> Self {
        let pending = BTreeMap::new();
        Self {
            pending,
            ids: ProposalIds::start(),
            replica_vms,
            leader_hint: None,
            target_index: 0,
        }
    }

    /// Returns the hinted leader, or else the next other VM with a disk in turn.
    pub(super) fn next_target(&mut self) -> Option<VmId> {
        if let Some(leader) = &self.leader_hint {
            return Some(leader.clone());
        }
        if self.replica_vms.is_empty() {
            return None;
        }
        self.target_index = (self.target_index + 1) % self.replica_vms.len();
        self.replica_vms.get(self.target_index).cloned()
    }

    /// Clears the hint, because the hinted VM does not answer.
    pub(super) fn clear_leader_hint(&mut self) {
        self.leader_hint = None;
    }
}

impl ControlThread {
    /// Sends a command to the leader.
    ///
    /// It is kept until it is answered or expires.
    pub(super) fn propose(&mut self, proposal: Proposal) {
        let now = self.now();
        let id = self.proposals.ids.allocate();
        self.proposals.pending.insert(
            id,
            PendingProposal {
                proposal,
                sent_at: now,
            },
        );
        self.send_proposal(now, id);
    }

    /// Gives up expired proposals and resends unanswered ones.
    pub(super) fn tick_proposals(&mut self, now: Moment) {
        let expired: Vec<_> = self
            .proposals
            .pending
            .iter()
            .filter(|(_, pending)| pending.proposal.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(pending) = self.proposals.pending.remove(&id) {
                drop(pending.proposal.reply.send(None));
            }
        }
        let unanswered: Vec<_> = self
            .proposals
            .pending
            .iter()
            .filter(|(_, pending)| now.since(pending.sent_at) >= PROPOSAL_RESEND_DELAY)
            .map(|(id, _)| *id)
            .collect();
        for id in unanswered {
            metrics::count_retry(RetryReason::ClaimUnanswered);
            self.proposals.clear_leader_hint();
            self.send_proposal(now, id);
        }
    }

    fn send_proposal(&mut self, now: Moment, id: u64) {
        let Some(pending) = self.proposals.pending.get_mut(&id) else {
            return;
        };
        pending.sent_at = now;
        let command = pending.proposal.command.clone();
        if self
            .replica
            .as_ref()
            .is_some_and(|replica| replica.consensus.is_leader())
        {
            let own = self.local.vm.clone();
            self.handle_proposal(now, &own, id, command);
            return;
        }
        let target = self.leader_vm().or_else(|| self.proposals.next_target());
        if let Some(target) = target.filter(|target| *target != self.local.vm) {
            self.mesh.send(
                &target,
                MeshMessage::Propose {
                    id,
                    command: command.into(),
                },
            );
        }
    }

    /// Handles a proposal of this VM or another one.
    ///
    /// If this VM does not lead, another VM is told so at once.
    pub(super) fn handle_proposal(&mut self, now: Moment, from: &VmId, id: u64, command: Command) {
        let requester = Requester {
            vm: from.clone(),
            id,
        };
        let proposed = match &mut self.replica {
            Some(replica) => replica.propose(now, requester, command).is_ok(),
            None => false,
        };
        if !proposed && *from != self.local.vm {
            let leader = self.leader_vm().map(|vm| vm.to_string());
            let result = WireProposeResult::NotLeader { leader };
            self.mesh
                .send(from, MeshMessage::ProposeReply { id, result });
        }
    }

    /// Handles the answer to a proposal of this VM.
    pub(super) fn handle_proposal_result(
        &mut self,
        from: &VmId,
        id: u64,
        result: WireProposeResult,
    ) {
        match result {
            WireProposeResult::Committed(answer) => {
                if *from != self.local.vm {
                    self.proposals.leader_hint = Some(from.clone());
                }
                if let Some(pending) = self.proposals.pending.remove(&id) {
                    drop(pending.proposal.reply.send(Some(answer.into())));
                }
            }
            WireProposeResult::NotLeader { leader } => {
                let now = self.now();
                self.proposals.leader_hint = leader
                    .map(VmId::from)
                    .filter(|vm| *vm != self.local.vm && vm != from);
                // Without a known leader the retry waits for a tick, to avoid a loop of messages.
                if self.proposals.leader_hint.is_some() {
                    self.send_proposal(now, id);
                }
            }
        }
    }
}
