//! Finds out whether this VM is cut off from the servers of a service, and tells the other VMs.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::names::{ServerId, ServiceName, VmId};
use merlinrudder_wire::mesh::MeshMessage;
use slog::info;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::server_probe::{self, Probe};
use super::state::Gateway;

/// Interval at which a VM checks whether it must try to connect again.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Records that a connection to a server failed; may begin to try further servers.
pub(super) fn record_failure(gateway: &Rc<Gateway>, service: &ServiceName, server: &ServerId) {
    let known = ready_servers(gateway, service).len();
    let now = gateway.now();
    let mut reach = gateway.reach.borrow_mut();
    if reach.record_failure(now, service, server, known) {
        spawn_local(probe(Rc::clone(gateway), service.clone()));
    }
}

/// Tries to connect again while this VM is cut off, until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let due = gateway.reach.borrow_mut().take_due_probes(gateway.now());
        for service in due {
            spawn_local(probe(Rc::clone(&gateway), service));
        }
    }
}

/// Connects to some servers of a service; the first connection that is established decides.
async fn probe(gateway: Rc<Gateway>, service: ServiceName) {
    let ready = ready_servers(&gateway, &service);
    let chosen = gateway.reach.borrow_mut().choose_probes(&service, &ready);
    let mut probes: Vec<_> = Vec::new();
    for server in chosen {
        let gateway = Rc::clone(&gateway);
        probes.push(spawn_local(
            async move { is_reached(&gateway, &server).await },
        ));
    }
    let mut reached = false;
    for probe in probes {
        reached |= probe.await.unwrap_or(false);
    }
    let now = gateway.now();
    let changed = gateway
        .reach
        .borrow_mut()
        .record_probes(now, &service, reached);
    if changed {
        cut_changed(&gateway, &service, reached);
    }
}

/// Whether a connection to a server can be established and stays open.
pub(super) async fn is_reached(gateway: &Gateway, server: &ServerId) -> bool {
    let record = gateway.fleet.borrow().directory.get(server).cloned();
    match record {
        Some(record) => server_probe::probe(gateway, record.address).await == Probe::Accepted,
        None => false,
    }
}

/// Logs and tells the other VMs that this VM was cut off from a service, or reaches it again.
fn cut_changed(gateway: &Gateway, service: &ServiceName, reached: bool) {
    if reached {
        let mut fleet = gateway.fleet.borrow_mut();
        for server in ready_ids(&fleet.directory, service) {
            fleet.health.forget(&server);
        }
    }
    // Connections from before the cut may hang.
    gateway.pool.clear();
    info!(gateway.log, "Connections to a service"; "service" => %service, "cut_off" => !reached);
    for vm in gateway.links.vms_with(|features| features.relay.is_some()) {
        tell(gateway, &vm);
    }
}

/// Tells a VM the services that this one is cut off from.
pub(super) fn tell(gateway: &Gateway, vm: &VmId) {
    let services = gateway.reach.borrow().cut_off();
    let names = services.iter().map(ToString::to_string).collect();
    gateway.links.send(vm, &MeshMessage::CutOff(names));
}

/// Handles the services that another VM is cut off from.
pub(super) fn receive(gateway: &Gateway, from: &VmId, services: Vec<String>) {
    let services: BTreeSet<_> = services.into_iter().map(ServiceName::from).collect();
    gateway.relays.borrow_mut().set_cut_off(from, services);
}

/// Returns the other servers of a server's service that take work, in random order.
pub(super) fn other_servers(gateway: &Gateway, server: &ServerId) -> Vec<ServerId> {
    let fleet = gateway.fleet.borrow();
    let Some(record) = fleet.directory.get(server) else {
        return Vec::new();
    };
    let mut others = ready_ids(&fleet.directory, &record.service);
    others.retain(|other| other != server);
    fastrand::shuffle(&mut others);
    others
}

/// Returns the servers of a service that take work.
fn ready_servers(gateway: &Gateway, service: &ServiceName) -> Vec<ServerId> {
    ready_ids(&gateway.fleet.borrow().directory, service)
}

fn ready_ids(
    directory: &merlinrudder_core::directory::Directory,
    service: &ServiceName,
) -> Vec<ServerId> {
    let ready = directory.ready(service);
    ready.map(|(record, _)| record.id.clone()).collect()
}
