//! Shares placements among entry VMs, so that each knows the load of all engines.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::{ServerId, ServiceName, VmId};
use merlinrudder_core::rank::ServiceRanks;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::{WirePlacement, WirePlacementChange, WirePlacements};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::state::Gateway;

/// Delay for which changes are collected into one message.
const BATCH_DELAY: Duration = Duration::from_millis(8);

/// Placements made by this VM, and changes not yet sent to others.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Number of the newest placement; numbers are unique while the process runs.
    last_number: u64,
    /// Active placements by number, and whether their first event has arrived.
    active: BTreeMap<u64, (ServiceName, PlacedPrompt, bool)>,
    /// Changes for the next message, in order.
    unsent: Vec<WirePlacementChange>,
    /// Wakes the task that sends the changes.
    wake: Rc<Notify>,
}

/// A placement made by this VM.
///
/// Dropping it ends the placement here and at the other entry VMs.
#[derive(Debug)]
pub(super) struct LocalPlacement {
    gateway: Rc<Gateway>,
    number: u64,
    /// Whether the first event of its engine has arrived.
    is_prefilled: Cell<bool>,
}

impl LocalPlacement {
    /// Adds a placement to the load table and queues it for the other entry VMs.
    pub(super) fn new(gateway: &Rc<Gateway>, service: &ServiceName, placed: PlacedPrompt) -> Self {
        let now = gateway.now();
        let mut outbox = gateway.outbox.borrow_mut();
        outbox.last_number += 1;
        let number = outbox.last_number;
        add_to_load_table(gateway, now, &gateway.vm, number, service, &placed);
        let wire_placement = WirePlacement::new(now, number, service, &placed);
        outbox.push(WirePlacementChange::Made(wire_placement));
        let active_placement = (service.clone(), placed, false);
        outbox.active.insert(number, active_placement);
        Self {
            gateway: Rc::clone(gateway),
            number,
            is_prefilled: Cell::new(false),
        }
    }

    /// Records that an event has arrived; the first one shows that the prompt is prefilled.
    pub(super) fn record_event(&self) {
        if self.is_prefilled.replace(true) {
            return;
        }
        let gateway = &self.gateway;
        let mut outbox = gateway.outbox.borrow_mut();
        if let Some((_, _, first_received)) = outbox.active.get_mut(&self.number) {
            *first_received = true;
        }
        outbox.push(WirePlacementChange::FirstEvent(self.number));
        let key = placement_key(&gateway.vm, self.number);
        gateway.fleet.borrow_mut().loads.mark_prefilled(&key);
    }
}

impl Drop for LocalPlacement {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let mut outbox = gateway.outbox.borrow_mut();
        outbox.active.remove(&self.number);
        outbox.push(WirePlacementChange::Ended(self.number));
        let key = placement_key(&gateway.vm, self.number);
        gateway.fleet.borrow_mut().loads.remove(gateway.now(), &key);
    }
}

impl Outbox {
    /// Queues a change and wakes the sending task.
    fn push(&mut self, change: WirePlacementChange) {
        self.unsent.push(change);
        self.wake.notify_one();
    }
}

/// Records how a server handled a request, and shares failures with other entry VMs.
pub(super) fn record_request_outcome(
    gateway: &Gateway,
    server: &ServerId,
    server_outcome: ServerOutcome,
) {
    let now = gateway.now();
    gateway
        .fleet
        .borrow_mut()
        .record_outcome(now, server, server_outcome);
    // A VM that is cut off would take its own fault for the servers'.
    let is_certain = !gateway.reach.borrow().is_uncertain();
    if server_outcome == ServerOutcome::Failed && is_certain {
        let change = WirePlacementChange::ServerFailed(server.to_string());
        gateway.outbox.borrow_mut().push(change);
    }
}

/// Sends queued changes to the other entry VMs until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let wake = Rc::clone(&gateway.outbox.borrow().wake);
    loop {
        wake.notified().await;
        sleep(BATCH_DELAY).await;
        let changes = std::mem::take(&mut gateway.outbox.borrow_mut().unsent);
        if changes.is_empty() {
            continue;
        }
        let is_snapshot = false;
        let message = MeshMessage::Placements(WirePlacements {
            is_snapshot,
            changes,
        });
        for peer in gateway.links.peers().iter().filter(|peer| !peer.control) {
            gateway.links.send(&peer.vm_id(), &message);
        }
    }
}

/// Sends all active placements to an entry VM whose link has just opened.
pub(super) fn send_all(gateway: &Gateway, to: &VmId) {
    let now = gateway.now();
    let outbox = gateway.outbox.borrow();
    let mut changes = Vec::new();
    for (number, (service, placed, first_received)) in &outbox.active {
        let wire_placement = WirePlacement::new(now, *number, service, placed);
        changes.push(WirePlacementChange::Made(wire_placement));
        if *first_received {
            changes.push(WirePlacementChange::FirstEvent(*number));
        }
    }
    let is_snapshot = true;
    let message = MeshMessage::Placements(WirePlacements {
        is_snapshot,
        changes,
    });
    gateway.links.send(to, &message);
}

/// Applies placement changes from another entry VM.
///
/// A message with `is_snapshot` set lists all its active placements; any others have ended.
pub(super) fn apply(gateway: &Gateway, from: &VmId, placements: WirePlacements) {
    let now = gateway.now();
    if placements.is_snapshot {
        let listed = placements.changes.iter().filter_map(|change| match change {
            WirePlacementChange::Made(placement) => Some(placement.number),
            _ => None,
        });
        let listed: BTreeSet<_> = listed.collect();
        gateway
            .fleet
            .borrow_mut()
            .loads
            .keep_only(now, from, &listed);
    }
    for change in placements.changes {
        match change {
            WirePlacementChange::Made(placement) => {
                let number = placement.number;
                let (service, mut placed) = placement.into_core(now);
                placed.weight = weight_by_objectives(gateway, &service, &placed);
                add_to_load_table(gateway, now, from, number, &service, &placed);
            }
            WirePlacementChange::FirstEvent(number) => {
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.loads.mark_prefilled(&placement_key(from, number));
            }
            WirePlacementChange::ServerFailed(server) => {
                let server = ServerId::from(server);
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.record_outcome(now, &server, ServerOutcome::Failed);
            }
            WirePlacementChange::Ended(number) => {
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.loads.remove(now, &placement_key(from, number));
            }
        }
    }
}

/// Returns the weight of a prompt that another VM placed, by what is known of its route.
fn weight_by_objectives(gateway: &Gateway, service: &ServiceName, placed: &PlacedPrompt) -> f64 {
    let deployment = gateway.deployment();
    let ranks = deployment.as_ref().and_then(|d| d.ranks(service));
    let weight = |ranks: &ServiceRanks| {
        ranks.weight_by_objectives(placed.ttft_objective, placed.pause_objective)
    };
    ranks.map_or(1.0, weight)
}

fn placement_key(entry: &VmId, number: u64) -> PlacementKey {
    let entry = entry.clone();
    PlacementKey { entry, number }
}

/// Adds a placement to the load table, unless its service has no known engines.
fn add_to_load_table(
    gateway: &Gateway,
    now: Moment,
    entry: &VmId,
    number: u64,
    service: &ServiceName,
    placed: &PlacedPrompt,
) {
    let Some(deployment) = gateway.deployment() else {
        return;
    };
    let rule = deployment.services.get(service);
    if let Some(profile) = rule.and_then(|rule| rule.engine.as_ref()) {
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.add_placement(now, &placement_key(entry, number), profile, placed);
    }
}
