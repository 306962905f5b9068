//! Entry VMs tell each other what they placed, so that each sees the load of all.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::{ServerId, ServiceName, VmId};
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::{WirePlacement, WirePlacementChange, WirePlacements};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::state::Gateway;

/// Time in which changes are gathered into one message.
const GATHER_TIME: Duration = Duration::from_millis(8);

/// Placements of this VM, and the changes that others were not told.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    next: u64,
    /// Own placements that have not ended, and whether their first event came.
    open: BTreeMap<u64, (ServiceName, PlacedPrompt, bool)>,
    changes: Vec<WirePlacementChange>,
    /// Wakes the task that tells the changes.
    wake: Rc<Notify>,
}

/// A placement of this VM; it ends when this is dropped.
#[derive(Debug)]
pub(super) struct OwnPlacement {
    gateway: Rc<Gateway>,
    number: u64,
}

impl OwnPlacement {
    /// Enters a placement and tells the other entry VMs.
    pub(super) fn new(gateway: &Rc<Gateway>, service: &ServiceName, placed: PlacedPrompt) -> Self {
        let now = gateway.now();
        let mut outbox = gateway.outbox.borrow_mut();
        outbox.next += 1;
        let number = outbox.next;
        add(gateway, now, &gateway.vm, number, service, &placed);
        let wire = WirePlacement::new(now, number, service, &placed);
        outbox.push(WirePlacementChange::Made(wire));
        let entry = (service.clone(), placed, false);
        outbox.open.insert(number, entry);
        Self {
            gateway: Rc::clone(gateway),
            number,
        }
    }

    /// Notes that the first event came.
    pub(super) fn first_event(&self) {
        let gateway = &self.gateway;
        let mut outbox = gateway.outbox.borrow_mut();
        if let Some((_, _, first)) = outbox.open.get_mut(&self.number) {
            *first = true;
        }
        outbox.push(WirePlacementChange::FirstEvent(self.number));
        let key = key(&gateway.vm, self.number);
        gateway.fleet.borrow_mut().loads.mark_prefilled(&key);
    }
}

impl Drop for OwnPlacement {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let mut outbox = gateway.outbox.borrow_mut();
        outbox.open.remove(&self.number);
        outbox.push(WirePlacementChange::Ended(self.number));
        let key = key(&gateway.vm, self.number);
        gateway.fleet.borrow_mut().loads.remove(gateway.now(), &key);
    }
}

impl Outbox {
    fn push(&mut self, change: WirePlacementChange) {
        self.changes.push(change);
        self.wake.notify_one();
    }
}

/// Notes how a server served a request here; others are told of failures.
pub(super) fn note_served(gateway: &Gateway, server: &ServerId, result: ServerOutcome) {
    let now = gateway.now();
    gateway
        .fleet
        .borrow_mut()
        .record_outcome(now, server, result);
    if result == ServerOutcome::Failed {
        let change = WirePlacementChange::ServerFailed(server.to_string());
        gateway.outbox.borrow_mut().push(change);
    }
}

/// Tells changes until the process ends.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let wake = Rc::clone(&gateway.outbox.borrow().wake);
    loop {
        wake.notified().await;
        sleep(GATHER_TIME).await;
        let changes = std::mem::take(&mut gateway.outbox.borrow_mut().changes);
        if changes.is_empty() {
            continue;
        }
        let whole = false;
        let message = MeshMessage::Placements(WirePlacements { whole, changes });
        for peer in gateway.links.peers().iter().filter(|peer| !peer.control) {
            gateway.links.send(&peer.vm_id(), &message);
        }
    }
}

/// Tells everything to a VM whose link has just opened.
pub(super) fn tell_all(gateway: &Gateway, to: &VmId) {
    let now = gateway.now();
    let outbox = gateway.outbox.borrow();
    let mut changes = Vec::new();
    for (number, (service, placed, first)) in &outbox.open {
        let wire = WirePlacement::new(now, *number, service, placed);
        changes.push(WirePlacementChange::Made(wire));
        if *first {
            changes.push(WirePlacementChange::FirstEvent(*number));
        }
    }
    let whole = true;
    let message = MeshMessage::Placements(WirePlacements { whole, changes });
    gateway.links.send(to, &message);
}

/// Takes in what another entry VM placed.
pub(super) fn take(gateway: &Gateway, from: &VmId, placements: WirePlacements) {
    let now = gateway.now();
    if placements.whole {
        let made = placements.changes.iter().filter_map(|change| match change {
            WirePlacementChange::Made(placement) => Some(placement.number),
            _ => None,
        });
        let made: BTreeSet<_> = made.collect();
        gateway.fleet.borrow_mut().loads.keep_only(now, from, &made);
    }
    for change in placements.changes {
        match change {
            WirePlacementChange::Made(placement) => {
                let number = placement.number;
                let (service, placed) = placement.placed(now);
                add(gateway, now, from, number, &service, &placed);
            }
            WirePlacementChange::FirstEvent(number) => {
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.loads.mark_prefilled(&key(from, number));
            }
            WirePlacementChange::ServerFailed(server) => {
                let server = ServerId::from(server);
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.record_outcome(now, &server, ServerOutcome::Failed);
            }
            WirePlacementChange::Ended(number) => {
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.loads.remove(now, &key(from, number));
            }
        }
    }
}

fn key(entry: &VmId, number: u64) -> PlacementKey {
    let entry = entry.clone();
    PlacementKey { entry, number }
}

fn add(
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
        fleet.add_placement(now, &key(entry, number), profile, placed);
    }
}
