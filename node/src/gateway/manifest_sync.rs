//! Pulls newer manifests from other VMs and puts them in force.

use std::rc::Rc;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use anyhow::Error;
use merlinrudder_core::deployment::Deployment;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_pull::PullRequest;
use merlinrudder_core::names::VmId;
use merlinrudder_core::rank::ServiceRanks;
use merlinrudder_wire::mesh::MeshMessage;
use slog::{debug, error, info};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::sleep;

use super::cold;
use super::control_contact;
use super::entry_links;
use super::manifest_decode::{DecodedManifest, ReceivedManifest};
use super::state::Gateway;
use crate::metrics;

/// Handles a manifest number that a control VM advertises; a newer manifest is pulled.
///
/// `current` tells whether that VM is in contact with the leader. Only then does an equal or
/// lower number confirm that the manifest in force is the newest.
pub(super) fn receive_number(
    gateway: &Rc<Gateway>,
    from: &VmId,
    newest: ManifestNumber,
    current: bool,
) {
    let peers = gateway.links.peers();
    let same_zone = peers
        .iter()
        .any(|peer| peer.vm_id() == *from && peer.zone == gateway.zone.as_str());
    let mut pull = gateway.manifests.pull.borrow_mut();
    pull.advertised(from, newest, same_zone);
    drop(pull);
    if current {
        control_contact::confirmed(gateway, from, newest);
    }
    let local_number = gateway.manifest_number();
    if newest <= local_number {
        confirm(gateway);
        return;
    }
    let now = gateway.now();
    gateway.manifests.watch.borrow_mut().heard(now, newest.0);
    metrics::set_manifest_heard(newest.0);
    debug!(gateway.log, "Manifest heard"; "number" => newest.0, "from" => %from,
        "in_force" => local_number.0, "same_zone" => same_zone, "current" => current);
    gateway.manifests.wake.notify_one();
}

/// Confirms the manifest in force if a VM in contact with the leader has told of no newer one.
fn confirm(gateway: &Rc<Gateway>) {
    let number = gateway.manifest_number();
    let contact = gateway.manifests.contact.borrow();
    let newest = contact.last().map(|last| last.number);
    let is_newest = newest.is_some_and(|newest| newest > ManifestNumber(0) && newest <= number);
    if is_newest && !gateway.manifests.confirmed.replace(true) {
        info!(gateway.log, "Manifest confirmed as the newest"; "number" => number.0);
        gateway.manifests.changed.notify_waiters();
        entry_links::release(gateway);
    }
}

/// Handles a manifest that another VM sent, and decodes it beside the traffic.
///
/// It is skipped if it is not newer, does not build on the one in force, or another one is being
/// decoded.
pub(super) fn receive(gateway: &Rc<Gateway>, from: &VmId, received: ReceivedManifest) {
    let (number, base) = (received.number(), received.base());
    let asked = gateway.manifests.watch.borrow().asked_at(from);
    let in_force = gateway.manifest_number();
    let mut pull = gateway.manifests.pull.borrow_mut();
    let builds_on = base_document(gateway, base);
    let skipped = number <= in_force || pull.is_decoding() || builds_on.is_none();
    info!(gateway.log, "Manifest received"; "number" => number.0, "base" => base.0,
        "bytes" => received.bytes(), "from" => %from, "in_force" => in_force.0,
        "skipped" => skipped,
        "took_ms" => asked.map(|at| gateway.now().since(at).as_millis()));
    metrics::count_manifest_received(received.bytes());
    if let Some(document) = builds_on.filter(|_| !skipped) {
        pull.received(from);
        let decoding = decode(Rc::clone(gateway), from.clone(), received, document);
        spawn_local(decoding);
    }
}

/// Returns the document that a manifest builds on, if this VM has it; empty for number 0.
fn base_document(gateway: &Gateway, base: ManifestNumber) -> Option<Arc<[u8]>> {
    if base == ManifestNumber(0) {
        return Some(Arc::from([]));
    }
    let document = gateway.manifests.document.borrow();
    let known = document.as_ref().filter(|known| known.number == base);
    known.map(|known| Arc::clone(&known.bytes))
}

/// Decodes a manifest on another thread and puts it in force; a still newer one is pulled then.
async fn decode(gateway: Rc<Gateway>, from: VmId, received: ReceivedManifest, document: Arc<[u8]>) {
    let number = received.number();
    let started_at = gateway.now();
    let reader = Arc::clone(&gateway.manifests.reader);
    let decoding = spawn_blocking(move || {
        // What a panic left in the reader is only text that it has decoded.
        let mut reader = reader.lock().unwrap_or_else(PoisonError::into_inner);
        received.decode(&document, &mut reader)
    });
    let decoded = decoding.await.map_err(Error::from).flatten();
    let decode_time = gateway.now().since(started_at);
    match decoded {
        Ok(decoded) => {
            put_in_force(&gateway, decoded, decode_time);
            gateway.manifests.pull.borrow_mut().decoded();
            confirm(&gateway);
            gateway.manifests.changed.notify_waiters();
        }
        // Unexpected: every manifest was validated before it was accepted.
        Err(error) => {
            error!(gateway.log, "Cannot decode manifest"; "number" => number.0, "from" => %from,
                "error" => format!("{error:#}"));
            metrics::count_manifest_rejected();
            // A whole document is requested next.
            *gateway.manifests.document.borrow_mut() = None;
            let now = gateway.now();
            gateway.manifests.pull.borrow_mut().rejected(now, &from);
        }
    }
    gateway.manifests.wake.notify_one();
}

/// Forgets what a VM advertised that is no longer linked.
pub(super) fn link_down(gateway: &Gateway, vm: &VmId) {
    gateway.manifests.pull.borrow_mut().disconnected(vm);
    gateway.manifests.wake.notify_one();
}

/// Requests newer manifests until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        let wait = request_if_due(&gateway);
        tokio::select! {
            () = gateway.manifests.wake.notified() => {}
            () = sleep(wait) => {}
        }
    }
}

/// Requests a newer manifest if that is due; returns the time until it may be due next.
fn request_if_due(gateway: &Gateway) -> Duration {
    let have = gateway.manifest_number();
    let now = gateway.now();
    let mut pull = gateway.manifests.pull.borrow_mut();
    if let Some(request) = pull.next_request(now, have) {
        send_request(gateway, &request, have);
    }
    let due = pull.next_due(now, have);
    due.map_or(Duration::MAX, |due| due.since(now))
}

fn send_request(gateway: &Gateway, request: &PullRequest, have: ManifestNumber) {
    let now = gateway.now();
    gateway.manifests.watch.borrow_mut().asked(now, &request.vm);
    info!(gateway.log, "Manifest requested"; "have" => have.0, "from" => %request.vm,
        "reason" => ?request.reason);
    metrics::count_manifest_pull(request.reason);
    let document = gateway.manifests.document.borrow();
    let have = document.as_ref().map_or(0, |document| document.number.0);
    let message = MeshMessage::PullManifest { have };
    gateway.links.send(&request.vm, &message);
}

/// Describes the ranks of each service for the log, as in `drafts 0 1, calls 2`.
fn ranks(deployment: &Deployment) -> String {
    let services = deployment.services.keys().map(|service| {
        let ranks = deployment
            .ranks(service)
            .into_iter()
            .flat_map(ServiceRanks::iter);
        let ranks: Vec<_> = ranks.map(|rank| rank.to_string()).collect();
        format!("{service} {}", ranks.join(" "))
    });
    services.collect::<Vec<_>>().join(", ")
}

/// Puts a newer manifest in force.
fn put_in_force(gateway: &Gateway, decoded: DecodedManifest, decode_time: Duration) {
    let DecodedManifest {
        manifest,
        deployment,
    } = decoded;
    let number = manifest.number.0;
    let waited = gateway
        .manifests
        .watch
        .borrow_mut()
        .in_force(gateway.now(), number);
    info!(gateway.log, "Manifest in force"; "number" => number, "bytes" => manifest.bytes.len(),
        "heard_ms" => waited.time.as_millis(), "overtaken" => waited.overtaken,
        "decode_ms" => decode_time.as_millis(),
        "services" => deployment.services.len(), "ranks" => ranks(&deployment));
    metrics::observe_manifest_in_force(number, waited.time);
    cold::update_rules(gateway, &deployment);
    *gateway.deployment.borrow_mut() = Some(Arc::new(deployment));
    *gateway.manifests.document.borrow_mut() = Some(manifest);
}
