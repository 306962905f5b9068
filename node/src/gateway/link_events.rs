//! Handles links and messages from control VMs and other entry VMs.

use std::rc::Rc;

use merlinrudder_core::control::PublishedManifest;
use merlinrudder_core::directory::{Merged, ServerRecord};
use merlinrudder_core::link_policy::LinkLoss;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::WirePeer;
use slog::{debug, info};
use tokio::sync::mpsc::UnboundedReceiver;

use super::capacity;
use super::cold;
use super::control_contact;
use super::crash_verdict;
use super::crash_watch;
use super::entry_links;
use super::evacuation;
use super::length_shares;
use super::manifest_decode::ReceivedManifest;
use super::manifest_sync;
use super::placement_sync;
use super::rate_limits;
use super::reach;
use super::server_notices;
use super::state::Gateway;
use crate::links::LinkEvent;

/// Handles link events until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>, mut events: UnboundedReceiver<LinkEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            LinkEvent::Up(peer) => link_up(&gateway, &peer),
            LinkEvent::Down(vm, loss) => link_down(&gateway, &vm, loss),
            LinkEvent::Message(from, message) => handle_message(&gateway, &from, message),
        }
    }
}

/// Records a link that has opened, and sends the other VM what it missed while there was none.
///
/// With a link to a control VM, missing heartbeats count against a server.
fn link_up(gateway: &Rc<Gateway>, peer: &WirePeer) {
    let zone = ZoneName::from(peer.zone.as_str());
    let mut fleet = gateway.fleet.borrow_mut();
    fleet.zone_links.opened(peer.vm_id(), zone);
    drop(fleet);
    crash_watch::link_up(gateway, peer);
    server_notices::link_up(gateway, &peer.vm_id());
    if peer.control {
        gateway.fleet.borrow_mut().receives_heartbeats = true;
        cold::control_link_up(gateway, &peer.vm_id());
    } else {
        let mut entry_vms = gateway.entry_vms.borrow_mut();
        entry_vms.record(gateway.now(), peer.vm_id());
        drop(entry_vms);
        placement_sync::link_up(gateway, peer);
        rate_limits::link_up(gateway, &peer.vm_id());
        capacity::link_up(gateway, &peer.vm_id());
        relay_link_up(gateway, peer);
        entry_links::update_sees_placements(gateway);
    }
}

/// Adds a VM that makes attempts for others.
fn relay_link_up(gateway: &Gateway, peer: &WirePeer) {
    let vm = peer.vm_id();
    if gateway.links.relay(&vm).is_some() {
        let zone = ZoneName::from(peer.zone.as_str());
        gateway.relays.borrow_mut().insert(vm.clone(), zone);
        reach::tell(gateway, &vm);
    }
}

/// Forgets the advertised manifest of a lost VM, and its placements unless engines go on with them.
///
/// Without a link to a control VM, missing heartbeats no longer count against a server.
fn link_down(gateway: &Rc<Gateway>, vm: &VmId, loss: LinkLoss) {
    let now = gateway.now();
    let has_control_link = gateway.links.peers().iter().any(|peer| peer.control);
    manifest_sync::link_down(gateway, vm);
    gateway.crashes.borrow_mut().exchange.link_down(vm);
    gateway.relays.borrow_mut().remove(vm);
    placement_sync::link_down(gateway, vm);
    let mut fleet = gateway.fleet.borrow_mut();
    fleet.receives_heartbeats = has_control_link;
    fleet.entry_lost(now, vm, loss);
    if let Some(zone) = fleet.zone_links.lost(now, vm) {
        info!(gateway.log, "All links to an availability zone lost"; "zone" => %zone);
    }
    drop(fleet);
    rate_limits::update_vms(gateway);
    entry_links::update_sees_placements(gateway);
}

fn handle_message(gateway: &Rc<Gateway>, from: &VmId, message: MeshMessage) {
    match message {
        MeshMessage::Servers(servers) => {
            let now = gateway.now();
            for server in servers {
                let heard_at = server.heard_at(now);
                let record = ServerRecord::from(server);
                cold::record_heartbeat(gateway, from, heard_at, &record);
                merge_server(gateway, heard_at, record);
            }
        }
        MeshMessage::ColdServers(servers) => cold::receive(gateway, servers),
        MeshMessage::Peers(peers) if is_entry_vm(gateway, from) => {
            control_contact::receive(gateway, &peers);
        }
        MeshMessage::Peers(peers) => entry_links::receive(gateway, &peers),
        MeshMessage::PullControlVms => control_contact::answer(gateway, from),
        MeshMessage::NewestManifest { number, current } => {
            manifest_sync::receive_number(gateway, from, ManifestNumber(number), current);
        }
        MeshMessage::Manifest { number, bytes, .. } => {
            let number = ManifestNumber(number);
            let document = PublishedManifest { number, bytes };
            manifest_sync::receive(gateway, from, ReceivedManifest::Document(document));
        }
        MeshMessage::ManifestUpdate(update) => {
            manifest_sync::receive(gateway, from, ReceivedManifest::Update(update));
        }
        MeshMessage::PullQuarantineList { have } => {
            let now = gateway.now();
            let mut crashes = gateway.crashes.borrow_mut();
            let exchange = &mut crashes.exchange;
            exchange.answer_pull(now, &gateway.links, from, have);
        }
        MeshMessage::TrialStarted(content) => crash_verdict::receive_trial(gateway, content),
        MeshMessage::CrashReports(reports) => crash_watch::receive(gateway, from, reports),
        MeshMessage::CutOff(services) => reach::receive(gateway, from, services),
        MeshMessage::Evacuations(newer) => evacuation::receive(gateway, from, newer),
        MeshMessage::Capacities(reports) => capacity::receive(gateway, from, reports),
        MeshMessage::Rates(message) => rate_limits::receive(gateway, from, message),
        MeshMessage::PromptReceived(received) => length_shares::receive(gateway, received),
        MeshMessage::Placements(placements) => placement_sync::apply(gateway, from, placements),
        other => debug!(gateway.log, "Unhandled message"; "from" => %from, "message" => ?other),
    }
}

fn is_entry_vm(gateway: &Gateway, vm: &VmId) -> bool {
    let linked = gateway.links.peers();
    linked
        .iter()
        .any(|peer| !peer.control && peer.vm_id() == *vm)
}

/// Merges a record of a backend server, which was current at `heard_at`.
///
/// A later lifetime shows that an earlier one, which has not said goodbye, has crashed.
fn merge_server(gateway: &Rc<Gateway>, heard_at: Moment, record: ServerRecord) {
    let (id, stage, born) = (record.id.clone(), record.stage, record.born);
    let mut fleet = gateway.fleet.borrow_mut();
    let ended = fleet.directory.ended_by(&record);
    let merged = fleet.merge(heard_at, record);
    drop(fleet);
    if merged == Merged::Changed {
        for incarnation in &ended {
            crash_watch::record_crash(gateway, incarnation);
        }
        info!(gateway.log, "Backend server changed"; "server" => %id, "stage" => ?stage,
            "born" => born);
    }
}
