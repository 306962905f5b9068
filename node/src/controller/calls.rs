//! Operator calls that wait for the control log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::control::{Answer, Command, PublishedManifest};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireProposeResult};
use slog::info;

use super::evacuations::EvacuationCall;
use super::input::Reply;
use super::state::Controller;
use crate::proposal_ids::ProposalIds;
use crate::replica::Requester;

/// Time after which a call that the leader has not answered is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a call is given up.
///
/// It is below one second, after which operators try another VM.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Additional timeout per mebibyte of a published manifest.
const TIMEOUT_PER_MIB: Duration = Duration::from_secs(2);

/// Operator calls that are not answered yet.
#[derive(Debug)]
pub(super) struct PendingCalls {
    ids: ProposalIds,
    /// Unanswered calls by id, which is also the id of their proposal.
    pub(super) pending: BTreeMap<u64, Call>,
}

impl Default for PendingCalls {
    fn default() -> Self {
        Self {
            ids: ProposalIds::start(),
            pending: BTreeMap::new(),
        }
    }
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) kind: CallKind,
    pub(super) started_at: Moment,
    deadline: Moment,
    /// When it was last sent to the leader; `None` if never.
    sent_at: Option<Moment>,
}

#[derive(Debug)]
pub(super) enum CallKind {
    Publish(PublishedManifest, Reply<()>),
    Read {
        /// Number of the newest manifest at the leader, once the leader has confirmed it.
        confirmed: Option<ManifestNumber>,
        reply: Reply<Arc<[u8]>>,
    },
    Evacuate(EvacuationCall),
}

impl Controller {
    /// Starts to publish a manifest.
    pub(super) fn handle_publish(
        &mut self,
        now: Moment,
        published: PublishedManifest,
        reply: Reply<()>,
    ) {
        let mebibytes = published.bytes.len() / (1024 * 1024);
        let extra = TIMEOUT_PER_MIB.saturating_mul(u32::try_from(mebibytes).unwrap_or(u32::MAX));
        info!(self.log, "Manifest submitted"; "number" => published.number.0,
            "bytes" => published.bytes.len(),
            "newest" => self.replica.state.manifest_number().0);
        self.add_call(
            now,
            CallKind::Publish(published, reply),
            CALL_TIMEOUT + extra,
        );
    }

    /// Starts to read the newest manifest, which needs a confirmation by the leader.
    pub(super) fn handle_read(&mut self, now: Moment, reply: Reply<Arc<[u8]>>) {
        let confirmed = None;
        self.add_call(now, CallKind::Read { confirmed, reply }, CALL_TIMEOUT);
    }

    /// Handles the result of a proposal or of a leadership confirmation.
    pub(super) fn handle_proposal_result(&mut self, id: u64, result: WireProposeResult) {
        let Some(call) = self.calls.pending.get_mut(&id) else {
            return;
        };
        let answer = match result {
            WireProposeResult::Committed(answer) => Answer::from(answer),
            // A later tick sends the call to the VM that leads by then.
            WireProposeResult::NotLeader { .. } => return,
        };
        match (&mut call.kind, answer) {
            (CallKind::Publish(..), answer) => {
                if let Some(Call {
                    kind: CallKind::Publish(published, reply),
                    started_at,
                    ..
                }) = self.calls.pending.remove(&id)
                {
                    self.finish_publish(started_at, &published, reply, &answer);
                }
            }
            (CallKind::Read { confirmed, .. }, Answer::Accepted(number)) => {
                *confirmed = Some(number);
                self.complete_calls();
            }
            (CallKind::Evacuate(evacuation), answer) => {
                if evacuation.record_answer(&answer, &self.log) {
                    let now = self.clock.now();
                    self.advance_evacuation(now, id);
                }
                self.complete_calls();
            }
            (CallKind::Read { .. }, _) => {}
        }
    }

    /// Gives up expired calls and resends those that the leader has not answered.
    pub(super) fn tick_calls(&mut self, now: Moment) {
        let pending = self.calls.pending.iter();
        let expired = pending.filter(|(_, call)| call.deadline <= now);
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let call = self.calls.pending.remove(&id);
            let after = call.map(|call| now.since(call.started_at).as_millis());
            info!(self.log, "Operator call timed out"; "call" => id, "after_ms" => after,
                "leader" => self.leader_vm().map(|vm| vm.to_string()));
        }
        self.advance_evacuations(now);
        let needs_send = |call: &Call| {
            call.sent_at
                .is_none_or(|sent_at| now.since(sent_at) >= RESEND_INTERVAL)
        };
        let pending = self
            .calls
            .pending
            .iter()
            .filter(|(_, call)| needs_send(call));
        let call_ids: Vec<_> = pending.map(|(id, _)| *id).collect();
        for id in call_ids {
            self.send_call(now, id);
        }
    }

    /// Answers the calls that this VM's control state already allows to answer.
    ///
    /// A publish is answered once this manifest or a newer one is applied here. A read also needs
    /// the leader's confirmation, and a manifest at least as new as the confirmed number. An order to
    /// evacuate is answered once the log has applied it and this VM has reached that revision.
    pub(super) fn complete_calls(&mut self) {
        let manifest = self.replica.state.manifest.clone();
        let number = manifest.as_ref().map(|manifest| manifest.number);
        let revision = self.replica.state.evacuations.revision;
        let completed = |call: &Call| match &call.kind {
            CallKind::Publish(published, _) => Some(published.number) <= number,
            CallKind::Read { confirmed, .. } => confirmed.is_some_and(|c| Some(c) <= number),
            CallKind::Evacuate(call) => call.is_complete(revision),
        };
        let ids: Vec<_> = self
            .calls
            .pending
            .iter()
            .filter(|(_, call)| completed(call))
            .map(|(id, _)| *id)
            .collect();
        for call in ids
            .iter()
            .filter_map(|id| self.calls.pending.remove(id))
            .collect::<Vec<_>>()
        {
            match (call.kind, &manifest) {
                (CallKind::Publish(published, reply), Some(manifest)) => {
                    let answer = Answer::Accepted(manifest.number);
                    self.finish_publish(call.started_at, &published, reply, &answer);
                }
                (CallKind::Read { reply, .. }, Some(manifest)) => {
                    // The operator may have moved on to another VM and closed the channel.
                    let _ignored = reply.send(Arc::clone(&manifest.bytes));
                }
                (CallKind::Evacuate(evacuation), _) => {
                    let took = self.clock.now().since(call.started_at);
                    evacuation.complete(revision, took, &self.log);
                }
                // Calls about manifests complete only with a manifest.
                (CallKind::Publish(..) | CallKind::Read { .. }, None) => {}
            }
        }
    }

    fn finish_publish(
        &self,
        started_at: Moment,
        published: &PublishedManifest,
        reply: Reply<()>,
        answer: &Answer,
    ) {
        let took = self.clock.now().since(started_at);
        info!(self.log, "Manifest publish completed"; "number" => published.number.0,
            "answer" => ?answer, "took_ms" => took.as_millis());
        // The operator may have moved on to another VM and closed the channel.
        let _ignored = reply.send(());
    }

    pub(super) fn add_call(&mut self, now: Moment, kind: CallKind, timeout: Duration) {
        let id = self.calls.ids.allocate();
        let deadline = now + timeout;
        let call = Call {
            kind,
            started_at: now,
            deadline,
            sent_at: None,
        };
        self.calls.pending.insert(id, call);
        self.complete_calls();
        self.send_call(now, id);
    }

    /// Sends a call to the leader, if one is known.
    ///
    /// A confirmed read or an applied order to evacuate is not sent again: it waits for this VM to
    /// catch up.
    pub(super) fn send_call(&mut self, now: Moment, id: u64) {
        let Some(leader) = self.leader_vm() else {
            return;
        };
        let order_form = self.order_form(&leader);
        let Some(call) = self.calls.pending.get_mut(&id) else {
            return;
        };
        let command = match &call.kind {
            CallKind::Publish(published, _) => Some(Command::Publish(published.clone())),
            CallKind::Read { confirmed, .. } if confirmed.is_some() => return,
            CallKind::Read { .. } => None,
            CallKind::Evacuate(evacuation) => match evacuation.command(order_form) {
                Some(command) => Some(command),
                None => return,
            },
        };
        call.sent_at = Some(now);
        let vm = self.local_peer.vm_id();
        let own = leader == vm;
        let requester = Requester { vm, id };
        match command {
            Some(command) if own => self.propose(now, requester, command),
            Some(command) => {
                let command = command.into();
                self.send(&leader, &MeshMessage::Propose { id, command });
            }
            None if own => self.confirm_leadership(now, requester),
            None => self.send(&leader, &MeshMessage::ConfirmLeadership { id }),
        }
    }
}
