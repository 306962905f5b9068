//! Orders to evacuate zones: carries them to the control log, and tells entry VMs the evacuated zones.

use std::time::Duration;

use merlinrudder_core::control::{Answer, Command};
use merlinrudder_core::evacuation::{CallerPresence, PendingOrder};
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, info};

use super::caller::CallerConnection;
use super::calls::{CALL_TIMEOUT, Call, CallKind};
use super::input::Reply;
use super::state::Controller;
use crate::metrics;

/// Age of an order at which its operator is looked at, before it is proposed.
///
/// The end of a connection that was held up on its way follows the order only after a while.
const LOOK_DELAY: Duration = Duration::from_millis(50);

/// Form in which an order may be proposed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderForm {
    /// All voters can apply a numbered order.
    Numbered,
    /// Some voter is of an earlier version, which can apply orders without a number only.
    Unnumbered,
}

/// An operator's order that begins or ends the evacuation of a zone.
#[derive(Debug)]
pub(super) struct EvacuationCall {
    zone: ZoneName,
    active: bool,
    order: PendingOrder,
    caller: CallerConnection,
    reply: Reply<()>,
}

impl EvacuationCall {
    /// Returns the command to propose; `None` while the order must wait, or once it was applied.
    pub(super) fn command(&self, form: Option<OrderForm>) -> Option<Command> {
        if !self.order.is_proposed() {
            return None;
        }
        let (zone, active) = (self.zone.clone(), self.active);
        Some(match form? {
            OrderForm::Numbered => Command::OrderEvacuation {
                zone,
                active,
                after: self.order.after(),
            },
            OrderForm::Unnumbered => Command::SetEvacuation { zone, active },
        })
    }

    /// Records the answer to a proposal; returns whether the order starts over.
    pub(super) fn record_answer(&mut self, answer: &Answer, log: &Logger) -> bool {
        match *answer {
            Answer::Evacuations(revision) => {
                self.order.applied(revision);
                false
            }
            Answer::EvacuationOvertaken(newest) => {
                let after = self.order.after();
                let starts_over = self.order.overtaken(newest);
                info!(log, "Evacuation order was overtaken"; "zone" => %self.zone,
                    "active" => self.active, "after" => after, "newest" => newest,
                    "starts_over" => starts_over);
                starts_over
            }
            _ => false,
        }
    }

    /// Whether the log has applied the order, and this VM has the `revision` that it led to.
    pub(super) fn is_complete(&self, revision: u64) -> bool {
        let applied = self.order.applied_revision();
        applied.is_some_and(|applied| applied <= revision)
    }

    /// Confirms the order to its operator.
    pub(super) fn complete(self, revision: u64, took: Duration, log: &Logger) {
        info!(log, "Evacuation order completed"; "zone" => %self.zone, "active" => self.active,
            "after" => self.order.after(), "revision" => revision, "took_ms" => took.as_millis());
        metrics::count_evacuation_order("completed");
        // The operator may have moved on to another VM and closed the channel.
        let _ignored = self.reply.send(());
    }

    /// Whether the operator still waits, as far as it can be told.
    fn presence(&self) -> CallerPresence {
        if self.reply.is_closed() {
            return CallerPresence::Gone;
        }
        self.caller.presence()
    }
}

impl Controller {
    /// Starts to record the order that begins or ends the evacuation of a zone.
    pub(super) fn handle_set_evacuation(
        &mut self,
        now: Moment,
        zone: ZoneName,
        active: bool,
        caller: CallerConnection,
        reply: Reply<()>,
    ) {
        let newest = self.replica.state.evacuation_orders.newest(&zone);
        let may_propose = self.may_propose_evacuations();
        info!(self.log, "Evacuation ordered"; "zone" => %zone, "active" => active,
            "after" => newest, "may_propose" => may_propose,
            "last_pause_ms" => self.pauses.length.as_millis(),
            "since_pause_ms" => now.since(self.pauses.ended).as_millis());
        let call = EvacuationCall {
            zone,
            active,
            order: PendingOrder::new(newest),
            caller,
            reply,
        };
        self.add_call(now, CallKind::Evacuate(call), CALL_TIMEOUT);
    }

    /// Looks at the operators of all pending orders that were given some time ago.
    pub(super) fn advance_evacuations(&mut self, now: Moment) {
        let is_due = |call: &Call| {
            matches!(call.kind, CallKind::Evacuate(_)) && now.since(call.started_at) >= LOOK_DELAY
        };
        let due = self.calls.pending.iter().filter(|(_, call)| is_due(call));
        let ids: Vec<_> = due.map(|(id, _)| *id).collect();
        for id in ids {
            self.advance_evacuation(now, id);
        }
    }

    /// Proposes an order whose operator waits, and drops one whose operator has left.
    ///
    /// Such an operator may have given a newer order elsewhere.
    pub(super) fn advance_evacuation(&mut self, now: Moment, id: u64) {
        let Some(call) = self.calls.pending.get_mut(&id) else {
            return;
        };
        let CallKind::Evacuate(evacuation) = &mut call.kind else {
            return;
        };
        match evacuation.presence() {
            CallerPresence::Gone => self.drop_evacuation(now, id),
            CallerPresence::Waiting if evacuation.order.caller_waits() => self.send_call(now, id),
            CallerPresence::Waiting | CallerPresence::Unknown => {}
        }
    }

    fn drop_evacuation(&mut self, now: Moment, id: u64) {
        let Some(call) = self.calls.pending.remove(&id) else {
            return;
        };
        let CallKind::Evacuate(evacuation) = call.kind else {
            return;
        };
        let orders = &self.replica.state.evacuation_orders;
        info!(self.log, "Evacuation order dropped, as its operator has left";
            "zone" => %evacuation.zone, "active" => evacuation.active,
            "proposed" => evacuation.order.is_proposed(),
            "after" => evacuation.order.after(), "newest" => orders.newest(&evacuation.zone),
            "age_ms" => now.since(call.started_at).as_millis(),
            "last_pause_ms" => self.pauses.length.as_millis(),
            "since_pause_ms" => now.since(self.pauses.ended).as_millis());
        metrics::count_evacuation_order("dropped");
    }

    /// Whether this VM may append a command to the log: all that replicate it must understand it.
    ///
    /// An order without a number may be late once there were numbered ones.
    pub(super) fn may_append(&mut self, command: &Command) -> bool {
        match command {
            Command::OrderEvacuation { .. } => self.may_propose_orders(),
            Command::SetEvacuation { .. } => {
                self.replica.state.evacuation_orders.is_empty() && self.may_propose_evacuations()
            }
            _ => true,
        }
    }

    /// Returns the form in which an order may be sent to the VM that leads; `None` if in none.
    pub(super) fn order_form(&mut self, leader: &VmId) -> Option<OrderForm> {
        let own = *leader == self.local_peer.vm_id();
        if self.may_propose_orders() && (own || self.order_support.knows(leader)) {
            return Some(OrderForm::Numbered);
        }
        let may_propose = self.may_propose_evacuations();
        let may_send = may_propose && (own || self.evacuation_support.knows(leader));
        may_send.then_some(OrderForm::Unnumbered)
    }

    /// Whether an order without a number may be appended to the log.
    fn may_propose_evacuations(&mut self) -> bool {
        let linked = self.control_peers();
        self.record_evacuation_support(&linked);
        let is_in_log = self.replica.state.evacuations.revision > 0;
        let others = self.other_voters();
        self.evacuation_support.allows(is_in_log, &others, &linked)
    }

    /// Whether a numbered order may be appended to the log.
    fn may_propose_orders(&mut self) -> bool {
        let linked = self.control_peers();
        self.record_evacuation_support(&linked);
        let is_in_log = !self.replica.state.evacuation_orders.is_empty();
        let others = self.other_voters();
        self.order_support.allows(is_in_log, &others, &linked)
    }

    fn other_voters(&self) -> Vec<VmId> {
        let own = self.local_peer.vm_id();
        let voters = self.replica.consensus.voters().iter();
        let others = voters.map(|voter| &voter.vm).filter(|vm| **vm != own);
        others.cloned().collect()
    }

    fn record_evacuation_support(&mut self, linked: &[VmId]) {
        let able = self.links.vms_with(|features| features.evacuations);
        self.evacuation_support
            .record(linked, &able.into_iter().collect());
        let able = self.links.vms_with(|features| features.evacuation_orders);
        self.order_support
            .record(linked, &able.into_iter().collect());
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
