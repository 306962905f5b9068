//! What control VMs and other entry VMs tell: servers, manifests, VMs, placements.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::directory::{Merged, ServerRecord};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::VmId;
use merlinrudder_platform::config;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::WirePeer;
use slog::{debug, error, info};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::sharing;
use super::state::Gateway;
use crate::links::LinkEvent;

/// Time after which another zone may be asked for a manifest.
const PULL_AGAIN: Duration = Duration::from_millis(410);

/// Takes in what happens on links until the process ends.
pub(super) async fn run(gateway: Rc<Gateway>, mut events: UnboundedReceiver<LinkEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            LinkEvent::Up(peer) => link_up(&gateway, &peer),
            LinkEvent::Down(vm) => link_down(&gateway, &vm),
            LinkEvent::Message(from, message) => take(&gateway, &from, message),
        }
    }
}

fn link_up(gateway: &Rc<Gateway>, peer: &WirePeer) {
    if peer.control {
        gateway.fleet.borrow_mut().receives_heartbeats = true;
    } else {
        sharing::tell_all(gateway, &peer.vm_id());
    }
}

fn link_down(gateway: &Rc<Gateway>, vm: &VmId) {
    let now = gateway.now();
    let informed = gateway.links.peers().iter().any(|peer| peer.control);
    gateway.pull.borrow_mut().disconnected(vm);
    let mut fleet = gateway.fleet.borrow_mut();
    fleet.receives_heartbeats = informed;
    fleet.entry_lost(now, vm);
}

fn take(gateway: &Rc<Gateway>, from: &VmId, message: MeshMessage) {
    match message {
        MeshMessage::Servers(servers) => {
            let now = gateway.now();
            for server in servers {
                let heard = server.heard(now);
                merge(gateway, heard, server.into());
            }
        }
        MeshMessage::Peers(peers) => {
            for peer in peers {
                gateway.links.dial(peer.address, false);
            }
        }
        MeshMessage::Newest { number, current } => {
            take_newest(gateway, from, number, current);
        }
        MeshMessage::Manifest { number, bytes, .. } => {
            gateway.pull.borrow_mut().received();
            adopt(gateway, number, &bytes);
            pull(gateway);
        }
        MeshMessage::Placements(placements) => sharing::take(gateway, from, placements),
        other => debug!(gateway.log, "Dropped a message"; "from" => %from, "message" => ?other),
    }
}

fn merge(gateway: &Gateway, heard: merlinrudder_core::time::Moment, record: ServerRecord) {
    let (id, stage) = (record.id.clone(), record.stage);
    let merged = gateway.fleet.borrow_mut().merge(heard, record);
    if merged == Merged::Changed {
        info!(gateway.log, "Backend server changed"; "server" => %id, "stage" => ?stage);
    }
}

fn number(gateway: &Gateway) -> u64 {
    let deployment = gateway.deployment.borrow();
    deployment.as_ref().map_or(0, |d| d.number.0)
}

/// Takes in the newest manifest's number that a control VM has, and asks for it where it is newer.
fn take_newest(gateway: &Rc<Gateway>, from: &VmId, newest: u64, current: bool) {
    let have = number(gateway);
    if newest <= have {
        if current && newest > 0 && !gateway.current.replace(true) {
            info!(gateway.log, "Up to date"; "number" => have, "by" => %from);
        }
        return;
    }
    let peers = gateway.links.peers();
    let near = peers
        .iter()
        .any(|peer| peer.vm_id() == *from && peer.zone == gateway.zone.as_str());
    let now = gateway.now();
    let newest = ManifestNumber(newest);
    gateway
        .pull
        .borrow_mut()
        .advertised(now, from, newest, near);
    pull(gateway);
    spawn_local(pull_later(Rc::clone(gateway)));
}

/// Asks the next VM for a newer manifest, where one is to be asked.
fn pull(gateway: &Gateway) {
    let have = number(gateway);
    let next = gateway
        .pull
        .borrow_mut()
        .next_source(gateway.now(), ManifestNumber(have));
    if let Some(vm) = next {
        gateway.links.send(&vm, &MeshMessage::PullManifest { have });
    }
}

/// Asks another zone, where the own one had nothing meanwhile.
async fn pull_later(gateway: Rc<Gateway>) {
    sleep(PULL_AGAIN).await;
    pull(&gateway);
}

/// Puts a manifest in force, where it is newer.
fn adopt(gateway: &Gateway, newest: u64, bytes: &[u8]) {
    if newest <= number(gateway) {
        return;
    }
    match config::read_config(bytes) {
        Ok(deployment) => {
            info!(gateway.log, "Manifest in force"; "number" => newest, "bytes" => bytes.len(),
                "services" => deployment.services.len());
            *gateway.deployment.borrow_mut() = Some(Arc::new(deployment));
        }
        // Every manifest was checked before it was accepted.
        Err(error) => {
            error!(gateway.log, "Manifest not understood"; "number" => newest, "error" => %error);
        }
    }
}
