//! Shares placements among entry VMs, so that each knows the load of all engines.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use merlinrudder_core::engine_placement::length_shares::PromptClass;
use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::placement_batches::{ChangeKind, PlacementBatches};
use merlinrudder_core::rank::ServiceRanks;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::{WirePeer, WirePlacement, WirePlacementChange, WirePlacements};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::state::Gateway;

/// Placements made by this VM, and changes not yet sent to others.
#[derive(Debug)]
pub(super) struct Outbox {
    /// Number of the newest placement; numbers are unique while the process runs.
    last_number: u64,
    /// Active placements by number.
    active: BTreeMap<u64, ActivePlacement>,
    /// Linked entry VMs, and the changes for their next messages.
    batches: PlacementBatches<WirePlacementChange>,
    /// Wakes the task that sends the changes.
    wake: Rc<Notify>,
}

/// A placement that has not ended.
#[derive(Debug)]
struct ActivePlacement {
    service: ServiceName,
    placed: PlacedPrompt,
    /// Zones of its engines.
    zones: BTreeSet<ZoneName>,
    /// Whether its first event has arrived.
    is_prefilled: bool,
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
        let engines = std::iter::once(&placed.lead).chain(&placed.helpers);
        let zones = zones_of(gateway, engines);
        outbox.push(now, &WirePlacementChange::Made(wire_placement), &zones);
        let active_placement = ActivePlacement {
            service: service.clone(),
            placed,
            zones,
            is_prefilled: false,
        };
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
        if let Some(active) = outbox.active.get_mut(&self.number) {
            active.is_prefilled = true;
            let zones = active.zones.clone();
            let change = WirePlacementChange::FirstEvent(self.number);
            outbox.push(gateway.now(), &change, &zones);
        }
        let key = placement_key(&gateway.vm, self.number);
        gateway.fleet.borrow_mut().loads.mark_prefilled(&key);
    }
}

impl Drop for LocalPlacement {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let mut outbox = gateway.outbox.borrow_mut();
        if let Some(active) = outbox.active.remove(&self.number) {
            let change = WirePlacementChange::Ended(self.number);
            outbox.push(gateway.now(), &change, &active.zones);
        }
        let key = placement_key(&gateway.vm, self.number);
        gateway.fleet.borrow_mut().loads.remove(gateway.now(), &key);
    }
}

impl Outbox {
    /// Creates the outbox of a VM in a zone.
    pub(super) fn new(zone: ZoneName) -> Self {
        Self {
            last_number: 0,
            active: BTreeMap::new(),
            batches: PlacementBatches::new(zone),
            wake: Rc::default(),
        }
    }

    /// Counts the active placements with a lead or helper that matches.
    pub(super) fn placements_at(&self, matches: impl Fn(&ServerId) -> bool) -> usize {
        let engines =
            |placed: &PlacedPrompt| matches(&placed.lead) || placed.helpers.iter().any(&matches);
        let placed = self
            .active
            .values()
            .filter(|active| engines(&active.placed));
        placed.count()
    }

    /// Queues a change that names engines in `zones`, and wakes the sending task if need be.
    fn push(&mut self, now: Moment, change: &WirePlacementChange, zones: &BTreeSet<ZoneName>) {
        if self.batches.push(now, change, zones) {
            self.wake.notify_one();
        }
    }
}

/// Returns the zones of those engines that are known.
fn zones_of<'a>(
    gateway: &Gateway,
    engines: impl Iterator<Item = &'a ServerId>,
) -> BTreeSet<ZoneName> {
    let fleet = gateway.fleet.borrow();
    let records = engines.filter_map(|engine| fleet.directory.get(engine));
    records.map(|record| record.zone.clone()).collect()
}

fn change_kind(change: &WirePlacementChange) -> ChangeKind {
    match change {
        WirePlacementChange::Made(placement) => ChangeKind::Made(placement.number),
        WirePlacementChange::FirstEvent(number) => ChangeKind::Updated(*number),
        WirePlacementChange::Ended(number) => ChangeKind::Ended(*number),
        WirePlacementChange::ServerFailed(_) => ChangeKind::Other,
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
        let zones = zones_of(gateway, std::iter::once(server));
        gateway.outbox.borrow_mut().push(now, &change, &zones);
    }
}

/// Sends queued changes to the other entry VMs until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let wake = Rc::clone(&gateway.outbox.borrow().wake);
    loop {
        let next_due = gateway.outbox.borrow().batches.next_due();
        match next_due {
            None => wake.notified().await,
            // An earlier batch wakes the task as well; whatever ends the wait, it looks again.
            Some(due) => {
                let wait = due.since(gateway.now());
                drop(timeout(wait, wake.notified()).await);
            }
        }
        let now = gateway.now();
        let due = gateway
            .outbox
            .borrow_mut()
            .batches
            .take_due(now, change_kind);
        for batch in due {
            let message = MeshMessage::Placements(WirePlacements {
                is_snapshot: false,
                changes: batch.changes,
            });
            gateway.links.send_all(&batch.vms, &message);
        }
    }
}

/// Sends all active placements to an entry VM whose link has just opened, and changes from now on.
pub(super) fn link_up(gateway: &Gateway, peer: &WirePeer) {
    let zone = ZoneName::from(peer.zone.as_str());
    let mut outbox = gateway.outbox.borrow_mut();
    outbox.batches.opened(peer.vm_id(), zone);
    drop(outbox);
    send_all(gateway, &peer.vm_id());
}

/// Sends a VM nothing more until its link opens again.
pub(super) fn link_down(gateway: &Gateway, vm: &VmId) {
    gateway.outbox.borrow_mut().batches.lost(vm);
}

fn send_all(gateway: &Gateway, to: &VmId) {
    let now = gateway.now();
    let outbox = gateway.outbox.borrow();
    let mut changes = Vec::new();
    for (number, active) in &outbox.active {
        let wire_placement = WirePlacement::new(now, *number, &active.service, &active.placed);
        changes.push(WirePlacementChange::Made(wire_placement));
        if active.is_prefilled {
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
        let class = PromptClass::new(service, placed.ttft_objective);
        fleet.shares.record_placed(&class, placed.prompt_tokens);
        fleet.add_placement(now, &placement_key(entry, number), profile, placed);
    }
}
