//! Pulls newer manifests from other VMs and puts them in force.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::deployment::Deployment;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_pull::other_zone_delay;
use merlinrudder_core::names::VmId;
use merlinrudder_core::rank::ServiceRanks;
use merlinrudder_platform::config;
use merlinrudder_wire::mesh::MeshMessage;
use slog::{debug, error, info};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::cold;
use super::entry_links;
use super::state::Gateway;
use crate::metrics;

/// Time by which a request to another zone follows the end of its delay.
const PULL_MARGIN: Duration = Duration::from_millis(10);

/// Returns the number of the manifest in force; 0 if there is none.
fn manifest_number(gateway: &Gateway) -> u64 {
    let deployment = gateway.deployment.borrow();
    deployment.as_ref().map_or(0, |d| d.number.0)
}

/// Handles a manifest number that a control VM advertises, and pulls a newer manifest.
///
/// `current` tells whether that VM is in contact with the leader. Only then does an equal or
/// lower number confirm that the manifest in force is the newest.
pub(super) fn receive_number(gateway: &Rc<Gateway>, from: &VmId, newest: u64, current: bool) {
    let local_number = manifest_number(gateway);
    if newest <= local_number {
        if current && newest > 0 && !gateway.manifest_confirmed.replace(true) {
            info!(gateway.log, "Manifest confirmed as the newest"; "number" => local_number,
                "by" => %from);
            entry_links::release(gateway);
        }
        return;
    }
    let peers = gateway.links.peers();
    let same_zone = peers
        .iter()
        .any(|peer| peer.vm_id() == *from && peer.zone == gateway.zone.as_str());
    let now = gateway.now();
    gateway.manifest_watch.borrow_mut().heard(now, newest);
    metrics::set_manifest_heard(newest);
    debug!(gateway.log, "Manifest heard"; "number" => newest, "from" => %from,
        "in_force" => local_number, "same_zone" => same_zone, "current" => current);
    let newest = ManifestNumber(newest);
    gateway
        .manifest_pull
        .borrow_mut()
        .advertised(now, from, newest, same_zone);
    pull_manifest(gateway);
    spawn_local(pull_manifest_later(Rc::clone(gateway)));
}

/// Handles a manifest that another VM sent, and asks for a newer one if there is one.
pub(super) fn receive(gateway: &Gateway, from: &VmId, number: u64, bytes: &[u8]) {
    let asked = gateway.manifest_watch.borrow().asked_at(from);
    info!(gateway.log, "Manifest received"; "number" => number, "bytes" => bytes.len(),
        "from" => %from, "in_force" => manifest_number(gateway),
        "took_ms" => asked.map(|at| gateway.now().since(at).as_millis()));
    metrics::count_manifest_received(bytes.len());
    gateway.manifest_pull.borrow_mut().received();
    activate_manifest(gateway, number, bytes);
    pull_manifest(gateway);
}

/// Requests a newer manifest from one VM, unless a request is pending.
fn pull_manifest(gateway: &Gateway) {
    let have = manifest_number(gateway);
    let next = gateway
        .manifest_pull
        .borrow_mut()
        .next_source(gateway.now(), ManifestNumber(have));
    if let Some(vm) = next {
        gateway
            .manifest_watch
            .borrow_mut()
            .asked(gateway.now(), &vm);
        info!(gateway.log, "Manifest requested"; "have" => have, "from" => %vm);
        metrics::count_manifest_pull();
        gateway.links.send(&vm, &MeshMessage::PullManifest { have });
    }
}

/// Pulls after a delay, from another zone if this zone has not delivered.
async fn pull_manifest_later(gateway: Rc<Gateway>) {
    let have = ManifestNumber(manifest_number(&gateway));
    sleep(other_zone_delay(have) + PULL_MARGIN).await;
    pull_manifest(&gateway);
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
