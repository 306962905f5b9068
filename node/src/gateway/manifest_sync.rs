//! Pulls newer manifests from other VMs and puts them in force.

use merlinrudder_core::deployment::Deployment;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_pull::PullRequest;
use merlinrudder_core::names::VmId;
use merlinrudder_core::rank::ServiceRanks;
use merlinrudder_platform::config;
use merlinrudder_wire::mesh::MeshMessage;
use slog::{debug, error, info};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

use super::cold;
use super::entry_links;
use super::state::Gateway;
use crate::metrics;

/// Returns the number of the manifest in force; 0 if there is none.
fn manifest_number(gateway: &Gateway) -> u64 {
    let deployment = gateway.deployment.borrow();
    deployment.as_ref().map_or(0, |d| d.number.0)
}

/// Handles a manifest number that a control VM advertises; a newer manifest is pulled.
///
/// `current` tells whether that VM is in contact with the leader. Only then does an equal or
/// lower number confirm that the manifest in force is the newest.
pub(super) fn receive_number(gateway: &Rc<Gateway>, from: &VmId, newest: u64, current: bool) {
    let peers = gateway.links.peers();
    let same_zone = peers
        .iter()
        .any(|peer| peer.vm_id() == *from && peer.zone == gateway.zone.as_str());
    let mut pull = gateway.manifest_pull.borrow_mut();
    pull.advertised(from, ManifestNumber(newest), same_zone);
    drop(pull);
    let local_number = manifest_number(gateway);
    if newest <= local_number {
        if current && newest > 0 && !gateway.manifest_confirmed.replace(true) {
            info!(gateway.log, "Manifest confirmed as the newest"; "number" => local_number,
                "by" => %from);
            entry_links::release(gateway);
        }
        return;
    }
    let now = gateway.now();
    gateway.manifest_watch.borrow_mut().heard(now, newest);
    metrics::set_manifest_heard(newest);
    debug!(gateway.log, "Manifest heard"; "number" => newest, "from" => %from,
        "in_force" => local_number, "same_zone" => same_zone, "current" => current);
    gateway.manifest_wake.notify_one();
}

/// Handles a manifest that another VM sent; a still newer one is pulled.
pub(super) fn receive(gateway: &Gateway, from: &VmId, number: u64, bytes: &[u8]) {
    let asked = gateway.manifest_watch.borrow().asked_at(from);
    info!(gateway.log, "Manifest received"; "number" => number, "bytes" => bytes.len(),
        "from" => %from, "in_force" => manifest_number(gateway),
        "took_ms" => asked.map(|at| gateway.now().since(at).as_millis()));
    metrics::count_manifest_received(bytes.len());
    gateway.manifest_pull.borrow_mut().received(from);
    activate_manifest(gateway, number, bytes);
    gateway.manifest_wake.notify_one();
}

/// Forgets what a VM advertised that is no longer linked.
pub(super) fn link_down(gateway: &Gateway, vm: &VmId) {
    gateway.manifest_pull.borrow_mut().disconnected(vm);
    gateway.manifest_wake.notify_one();
}

/// Requests newer manifests until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        let wait = request_if_due(&gateway);
        tokio::select! {
            () = gateway.manifest_wake.notified() => {}
            () = sleep(wait) => {}
        }
    }
}

/// Requests a newer manifest if that is due; returns the time until it may be due next.
fn request_if_due(gateway: &Gateway) -> Duration {
    let have = ManifestNumber(manifest_number(gateway));
    let now = gateway.now();
    let mut pull = gateway.manifest_pull.borrow_mut();
    if let Some(request) = pull.next_request(now, have) {
        send_request(gateway, &request, have);
    }
    let due = pull.next_due(now, have);
    due.map_or(Duration::MAX, |due| due.since(now))
}

fn send_request(gateway: &Gateway, request: &PullRequest, have: ManifestNumber) {
    let now = gateway.now();
    gateway.manifest_watch.borrow_mut().asked(now, &request.vm);
    info!(gateway.log, "Manifest requested"; "have" => have.0, "from" => %request.vm,
        "reason" => ?request.reason);
    metrics::count_manifest_pull(request.reason);
    let message = MeshMessage::PullManifest { have: have.0 };
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

/// Decodes a manifest and puts it in force; ignores one that is not newer.
fn activate_manifest(gateway: &Gateway, number: u64, bytes: &[u8]) {
    if number <= manifest_number(gateway) {
        return;
    }
    match config::read_config(bytes) {
        Ok(deployment) => {
            let now = gateway.now();
            let waited = gateway.manifest_watch.borrow_mut().in_force(now, number);
            info!(gateway.log, "Manifest in force"; "number" => number, "bytes" => bytes.len(),
                "heard_ms" => waited.time.as_millis(), "overtaken" => waited.overtaken,
                "services" => deployment.services.len(), "ranks" => ranks(&deployment));
            metrics::observe_manifest_in_force(number, waited.time);
            cold::update_rules(gateway, &deployment);
            *gateway.deployment.borrow_mut() = Some(Arc::new(deployment));
        }
        // Unexpected: every manifest was validated before it was accepted.
        Err(error) => {
            error!(gateway.log, "Cannot decode manifest"; "number" => number, "error" => %error);
        }
    }
}
