//! Handles links and messages from control VMs and other entry VMs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::directory::{Merged, ServerRecord};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::pair_start::MAX_HOLD_TIME;
use merlinrudder_platform::config;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::WirePeer;
use slog::{debug, error, info};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::capacity;
use super::cold;
use super::crash_verdict;
use super::crash_watch;
use super::evacuation;
use super::placement_sync;
use super::rate_limits;
use super::reach;
use super::server_notices;
use super::state::Gateway;
use crate::links::LinkEvent;

/// Time after the start from which a VM does not wait for the placements of VMs that it cannot reach.
const MAX_BLIND_TIME: Duration = Duration::from_secs(10);
/// Delay after which a newer manifest may be requested from another zone.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(410);

/// Handles link events until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>, mut events: UnboundedReceiver<LinkEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            LinkEvent::Up(peer) => link_up(&gateway, &peer),
            LinkEvent::Down(vm) => link_down(&gateway, &vm),
            LinkEvent::Message(from, message) => handle_message(&gateway, &from, message),
        }
    }
}

/// Sends the active placements to an entry VM that connected.
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
        update_sight(gateway);
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

/// Forgets the placements and the advertised manifest of a lost VM.
///
/// Without a link to a control VM, missing heartbeats no longer count against a server.
fn link_down(gateway: &Rc<Gateway>, vm: &VmId) {
    let now = gateway.now();
    let has_control_link = gateway.links.peers().iter().any(|peer| peer.control);
    gateway.manifest_pull.borrow_mut().disconnected(vm);
    gateway.crashes.borrow_mut().exchange.link_down(vm);
    gateway.relays.borrow_mut().remove(vm);
    placement_sync::link_down(gateway, vm);
    let mut fleet = gateway.fleet.borrow_mut();
    fleet.receives_heartbeats = has_control_link;
    fleet.entry_lost(now, vm);
    if let Some(zone) = fleet.zone_links.lost(now, vm) {
        info!(gateway.log, "All links to an availability zone lost"; "zone" => %zone);
    }
    drop(fleet);
    rate_limits::update_vms(gateway);
    update_sight(gateway);
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
        MeshMessage::Peers(peers) => handle_peers(gateway, &peers),
        MeshMessage::NewestManifest { number, current } => {
            handle_newest_manifest(gateway, from, number, current);
        }
        MeshMessage::Manifest { number, bytes, .. } => {
            gateway.manifest_pull.borrow_mut().received();
            activate_manifest(gateway, number, &bytes);
            pull_manifest(gateway);
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
        MeshMessage::Placements(placements) => placement_sync::apply(gateway, from, placements),
        other => debug!(gateway.log, "Unhandled message"; "from" => %from, "message" => ?other),
    }
}

/// Connects to the VMs that a control VM knows, and counts the entry VMs among them.
fn handle_peers(gateway: &Gateway, peers: &[WirePeer]) {
    let now = gateway.now();
    let mut entry_vms = gateway.entry_vms.borrow_mut();
    let mut addresses = Vec::new();
    let linked = gateway.links.peers();
    for peer in peers.iter().chain(&linked) {
        if peer.control {
            gateway.links.dial(peer.address, false);
        } else if peer.vm_id() != gateway.vm {
            addresses.push(peer.address);
            entry_vms.record(now, peer.vm_id());
        }
    }
    entry_vms.mark_complete();
    drop(entry_vms);
    cold::update_vms(gateway);
    let addresses = gateway.pair_start.borrow_mut().learnt(addresses);
    dial_entry_vms(gateway, addresses);
    rate_limits::update_vms(gateway);
    update_sight(gateway);
}

/// Notes when the placements of most other entry VMs are known here for the first time.
fn update_sight(gateway: &Gateway) {
    let linked = gateway.links.peers();
    let linked = linked.iter().filter(|peer| !peer.control).count();
    let sharers = gateway.entry_vms.borrow_mut().sharers(gateway.now());
    if sharers.is_some_and(|sharers| linked * 2 >= sharers - 1) {
        gateway.fleet.borrow_mut().sees_placements = true;
    }
}

/// Dials entry VMs in a random order, so that VMs that start together do not all dial the same ones.
fn dial_entry_vms(gateway: &Gateway, mut addresses: Vec<SocketAddr>) {
    fastrand::shuffle(&mut addresses);
    for address in addresses {
        gateway.links.dial_pair(address);
    }
}

/// Dials the entry VMs that were learnt while this VM started.
fn release_entry_links(gateway: &Gateway) {
    let addresses = gateway.pair_start.borrow_mut().release();
    if !addresses.is_empty() {
        info!(gateway.log, "Opening links to entry VMs"; "vms" => addresses.len());
        dial_entry_vms(gateway, addresses);
    }
}

/// Ends the hold of links to entry VMs, and later the wait for their placements, in any case.
pub(super) async fn release_later(gateway: Rc<Gateway>) {
    sleep(MAX_HOLD_TIME).await;
    release_entry_links(&gateway);
    sleep(MAX_BLIND_TIME).await;
    gateway.fleet.borrow_mut().sees_placements = true;
}

/// Merges a record of a backend server, which was current at `heard_at`.
///
/// A later lifetime shows that an earlier one, which has not said goodbye, has crashed.
fn merge_server(
    gateway: &Rc<Gateway>,
    heard_at: merlinrudder_core::time::Moment,
    record: ServerRecord,
) {
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

/// Returns the number of the manifest in force; 0 if there is none.
fn manifest_number(gateway: &Gateway) -> u64 {
    let deployment = gateway.deployment.borrow();
    deployment.as_ref().map_or(0, |d| d.number.0)
}

/// Handles a manifest number that a control VM advertises, and pulls a newer manifest.
///
/// `current` tells whether that VM is in contact with the leader. Only then does an equal or
/// lower number confirm that the manifest in force is the newest.
fn handle_newest_manifest(gateway: &Rc<Gateway>, from: &VmId, newest: u64, current: bool) {
    let local_number = manifest_number(gateway);
    if newest <= local_number {
        if current && newest > 0 && !gateway.manifest_confirmed.replace(true) {
            info!(gateway.log, "Manifest confirmed as the newest"; "number" => local_number,
                "by" => %from);
            release_entry_links(gateway);
        }
        return;
    }
    let peers = gateway.links.peers();
    let same_zone = peers
        .iter()
        .any(|peer| peer.vm_id() == *from && peer.zone == gateway.zone.as_str());
    let now = gateway.now();
    let newest = ManifestNumber(newest);
    gateway
        .manifest_pull
        .borrow_mut()
        .advertised(now, from, newest, same_zone);
    pull_manifest(gateway);
    spawn_local(pull_manifest_later(Rc::clone(gateway)));
}

/// Requests a newer manifest from one VM, unless a request is pending.
fn pull_manifest(gateway: &Gateway) {
    let have = manifest_number(gateway);
    let next = gateway
        .manifest_pull
        .borrow_mut()
        .next_source(gateway.now(), ManifestNumber(have));
    if let Some(vm) = next {
        gateway.links.send(&vm, &MeshMessage::PullManifest { have });
    }
}

/// Pulls after a delay, from another zone if this zone has not delivered.
async fn pull_manifest_later(gateway: Rc<Gateway>) {
    sleep(PULL_RETRY_DELAY).await;
    pull_manifest(&gateway);
}

/// Decodes a manifest and puts it in force; ignores one that is not newer.
fn activate_manifest(gateway: &Gateway, number: u64, bytes: &[u8]) {
    if number <= manifest_number(gateway) {
        return;
    }
    match config::read_config(bytes) {
        Ok(deployment) => {
            info!(gateway.log, "Manifest in force"; "number" => number, "bytes" => bytes.len(),
                "services" => deployment.services.len());
            cold::update_rules(gateway, &deployment);
            *gateway.deployment.borrow_mut() = Some(Arc::new(deployment));
        }
        // Unexpected: every manifest was validated before it was accepted.
        Err(error) => {
            error!(gateway.log, "Cannot decode manifest"; "number" => number, "error" => %error);
        }
    }
}
