//! Operators' calls that wait for the control log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::control::{Answer, Command, PublishedManifest};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireProposeResult};
use slog::info;

use super::input::Reply;
use super::state::Controller;
use crate::replica::Requester;

/// Time after which a call that the leader did not answer is sent again.
const SEND_AGAIN: Duration = Duration::from_millis(250);
/// Time in which a call is answered or given up; operators move on after a second.
const CALL_TIME: Duration = Duration::from_millis(900);
/// Further time for each mebibyte of a manifest.
const MEBIBYTE_TIME: Duration = Duration::from_secs(2);

/// Calls in progress.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    waiting: BTreeMap<u64, Call>,
}

#[derive(Debug)]
struct Call {
    kind: CallKind,
    deadline: Moment,
    /// When it was last sent to the leader.
    sent: Option<Moment>,
}

#[derive(Debug)]
enum CallKind {
    Publish(PublishedManifest, Reply<()>),
    Read {
        /// The newest number, once the leader has confirmed it.
        confirmed: Option<ManifestNumber>,
        reply: Reply<Arc<[u8]>>,
    },
}

impl Controller {
    pub(super) fn take_publish(
        &mut self,
        now: Moment,
        published: PublishedManifest,
        reply: Reply<()>,
    ) {
        let mebibytes = published.bytes.len() / (1024 * 1024);
        let extra = MEBIBYTE_TIME.saturating_mul(u32::try_from(mebibytes).unwrap_or(u32::MAX));
        info!(self.log, "Manifest offered"; "number" => published.number.0,
            "bytes" => published.bytes.len(),
            "newest" => self.replica.state.manifest_number().0);
        self.add_call(now, CallKind::Publish(published, reply), CALL_TIME + extra);
    }

    pub(super) fn take_read(&mut self, now: Moment, reply: Reply<Arc<[u8]>>) {
        let confirmed = None;
        self.add_call(now, CallKind::Read { confirmed, reply }, CALL_TIME);
    }

    /// Takes in how a proposal or a check of the lead went.
    pub(super) fn take_proposed(&mut self, id: u64, result: WireProposeResult) {
        let Some(call) = self.calls.waiting.get_mut(&id) else {
            return;
        };
        let answer = match result {
            WireProposeResult::Committed(answer) => Answer::from(answer),
            // The next tick sends it to whoever leads by then.
            WireProposeResult::NotLeader { .. } => return,
        };
        match (&mut call.kind, answer) {
            (CallKind::Publish(..), answer) => {
                if let Some(call) = self.calls.waiting.remove(&id) {
                    self.finish_publish(call, &answer);
                }
            }
            (CallKind::Read { confirmed, .. }, Answer::Accepted(number)) => {
                *confirmed = Some(number);
                self.answer_calls();
            }
            (CallKind::Read { .. }, _) => {}
        }
    }

    pub(super) fn tick_calls(&mut self, now: Moment) {
        let overdue = self.calls.waiting.iter().filter(|(_, c)| c.deadline <= now);
        let overdue: Vec<_> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            info!(self.log, "Operator's call given up"; "call" => id,
                "leader" => self.leader().map(|vm| vm.to_string()));
            self.calls.waiting.remove(&id);
        }
        let due = |call: &Call| call.sent.is_none_or(|sent| now.since(sent) >= SEND_AGAIN);
        let waiting = self.calls.waiting.iter().filter(|(_, call)| due(call));
        let due: Vec<_> = waiting.map(|(id, _)| *id).collect();
        for id in due {
            self.send_call(now, id);
        }
    }

    /// Answers the calls that the own control state settles.
    pub(super) fn answer_calls(&mut self) {
        let Some(manifest) = self.replica.state.manifest.clone() else {
            return;
        };
        let settled = |call: &Call| match &call.kind {
            CallKind::Publish(published, _) => published.number <= manifest.number,
            CallKind::Read { confirmed, .. } => confirmed.is_some_and(|c| c <= manifest.number),
        };
        let ids: Vec<_> = self
            .calls
            .waiting
            .iter()
            .filter(|(_, call)| settled(call))
            .map(|(id, _)| *id)
            .collect();
        for call in ids
            .iter()
            .filter_map(|id| self.calls.waiting.remove(id))
            .collect::<Vec<_>>()
        {
            match call.kind {
                CallKind::Publish(..) => {
                    self.finish_publish(call, &Answer::Accepted(manifest.number));
                }
                CallKind::Read { reply, .. } => {
                    // The operator may have gone on to another VM.
                    let _gone = reply.send(Arc::clone(&manifest.bytes));
                }
            }
        }
    }

    fn finish_publish(&self, call: Call, answer: &Answer) {
        if let CallKind::Publish(published, reply) = call.kind {
            info!(self.log, "Manifest settled"; "number" => published.number.0,
                "answer" => ?answer);
            // The operator may have gone on to another VM.
            let _gone = reply.send(());
        }
    }

    fn add_call(&mut self, now: Moment, kind: CallKind, time: Duration) {
        self.calls.next += 1;
        let id = self.calls.next;
        let deadline = now + time;
        let call = Call {
            kind,
            deadline,
            sent: None,
        };
        self.calls.waiting.insert(id, call);
        self.answer_calls();
        self.send_call(now, id);
    }

    fn send_call(&mut self, now: Moment, id: u64) {
        let leader = self.leader();
        let Some(call) = self.calls.waiting.get_mut(&id) else {
            return;
        };
        let Some(leader) = leader else {
            return;
        };
        call.sent = Some(now);
        let publish = match &call.kind {
            CallKind::Publish(published, _) => Some(published.clone()),
            CallKind::Read { confirmed, .. } if confirmed.is_some() => return,
            CallKind::Read { .. } => None,
        };
        let vm = self.own.vm_id();
        let own = leader == vm;
        let requester = Requester { vm, id };
        match publish.map(Command::Publish) {
            Some(command) if own => self.propose(now, requester, command),
            Some(command) => {
                let command = command.into();
                self.send(&leader, &MeshMessage::Propose { id, command });
            }
            None if own => self.confirm(now, requester),
            None => self.send(&leader, &MeshMessage::ConfirmLeadership { id }),
        }
    }
}
