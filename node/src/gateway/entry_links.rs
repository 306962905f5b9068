//! Links to the other entry VMs: when they are dialled, and whether enough are open to see the
//! placements of most VMs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::pair_start::MAX_HOLD_TIME;
use merlinrudder_wire::peers::WirePeer;
use slog::info;
use tokio::time::sleep;

use super::cold;
use super::rate_limits;
use super::state::Gateway;
use crate::links::AddressSource;

/// Time after the start after which a VM no longer waits for the placements of VMs that it cannot reach.
const MAX_UNSEEN_TIME: Duration = Duration::from_secs(10);

/// Connects to the VMs that a control VM knows, and counts the entry VMs among them.
pub(super) fn receive(gateway: &Gateway, peers: &[WirePeer]) {
    let now = gateway.now();
    let mut entry_vms = gateway.entry_vms.borrow_mut();
    let mut addresses = Vec::new();
    let linked = gateway.links.peers();
    for peer in peers.iter().chain(&linked) {
        if peer.control {
            gateway.links.dial(peer.address, AddressSource::PeerList);
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
    update_sees_placements(gateway);
}

/// Notes when the placements of most other entry VMs are known here for the first time.
pub(super) fn update_sees_placements(gateway: &Gateway) {
    let linked = gateway.links.peers();
    let linked = linked.iter().filter(|peer| !peer.control).count();
    let sharers = gateway.entry_vms.borrow_mut().sharers(gateway.now());
    if sharers.is_some_and(|sharers| linked * 2 >= sharers - 1) {
        gateway.fleet.borrow_mut().sees_placements = true;
    }
}

/// Dials entry VMs in a random order.
///
/// VMs that start together would otherwise all dial the same ones first.
fn dial_entry_vms(gateway: &Gateway, mut addresses: Vec<SocketAddr>) {
    fastrand::shuffle(&mut addresses);
    for address in addresses {
        gateway.links.dial_pair(address);
    }
}

/// Dials the entry VMs that were learnt while this VM started.
pub(super) fn release(gateway: &Gateway) {
    let addresses = gateway.pair_start.borrow_mut().release();
    if !addresses.is_empty() {
        info!(gateway.log, "Opening links to entry VMs"; "vms" => addresses.len());
        dial_entry_vms(gateway, addresses);
    }
}

/// Ends the hold of links to entry VMs, and later the wait for their placements, in any case.
pub(super) async fn release_later(gateway: Rc<Gateway>) {
    sleep(MAX_HOLD_TIME).await;
    release(&gateway);
    sleep(MAX_UNSEEN_TIME).await;
    gateway.fleet.borrow_mut().sees_placements = true;
}
