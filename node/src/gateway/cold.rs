//! Cold servers: feeds the decisions of `merlinrudder_core::cold` with messages, and logs changes.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::cold::reports::ColdReport;
use merlinrudder_core::deployment::Deployment;
use merlinrudder_core::directory::ServerRecord;
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::time::Moment;
use merlinrudder_wire::peers::WireColdServer;
use slog::info;
use tokio::time::sleep;

use super::request::CallerRequest;
use super::selection::Selection;
use super::state::Gateway;
use super::waiting;
use crate::metrics;

/// Interval at which the servers that are cold are counted.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which linked entry VMs are recorded; they are remembered for ten minutes.
const RECORD_INTERVAL: Duration = Duration::from_secs(30);
/// Divisor for the part of its objective that a request may wait for a turn: an eighth.
const WAIT_DIVISOR: u32 = 8;

/// Records that a control VM was linked, which may tell which servers are cold.
pub(super) fn control_link_up(gateway: &Gateway, vm: &VmId) {
    if gateway.links.supports(vm, |features| features.cold) {
        gateway.fleet.borrow_mut().cold.expect_reports();
    }
}

/// Records what a control VM knows of cold servers.
pub(super) fn receive(gateway: &Gateway, servers: Vec<WireColdServer>) {
    let now = gateway.now();
    let mut fleet = gateway.fleet.borrow_mut();
    for server in servers {
        fleet.cold.record_report(now, &ColdReport::from(server));
    }
}

/// Records the heartbeat that a record shows, if its sender would have told of a cold server.
///
/// That VM heard it at `heard_at`.
pub(super) fn record_heartbeat(
    gateway: &Gateway,
    from: &VmId,
    heard_at: Moment,
    record: &ServerRecord,
) {
    let mut fleet = gateway.fleet.borrow_mut();
    if fleet.cold.has_rules() && gateway.links.supports(from, |features| features.cold) {
        fleet.cold.record_heartbeat(heard_at, record);
    }
}

/// Applies the rules for cold servers of a deployment that is put in force.
pub(super) fn update_rules(gateway: &Gateway, deployment: &Deployment) {
    let services = deployment.services.iter();
    let rules = services.filter_map(|(name, rule)| Some((name.clone(), rule.cold?)));
    gateway.fleet.borrow_mut().cold.set_rules(rules);
}

/// Records the linked entry VMs, which share limits also while no control VM names them.
fn record_linked(gateway: &Gateway) {
    let mut entry_vms = gateway.entry_vms.borrow_mut();
    for peer in gateway.links.peers().iter().filter(|peer| !peer.control) {
        entry_vms.record(gateway.now(), peer.vm_id());
    }
}

/// Updates the VMs that share the turns at cold servers.
pub(super) fn update_vms(gateway: &Gateway) {
    let now = gateway.now();
    let others = gateway.entry_vms.borrow_mut().others(now);
    gateway.fleet.borrow_mut().cold.set_vms(now, others);
}

/// Decides whether a request waits for a turn at a cold server.
///
/// It waits for an eighth of its objective at most.
pub(super) fn outlook(
    gateway: &Gateway,
    call: &CallerRequest,
    excluded: &[ServerId],
    is_waiting: bool,
) -> Selection {
    let now = gateway.now();
    let waiting = gateway.wait_queues.borrow().waiting(&call.service);
    let ahead = if is_waiting { 0 } else { waiting };
    let fleet = gateway.fleet.borrow();
    let outlook = fleet.cold_outlook(now, &call.service, excluded, ahead);
    drop(fleet);
    let give_up_at = call.received_at + call.route.objective / WAIT_DIVISOR;
    if now < give_up_at && now + outlook.wait <= give_up_at {
        Selection::AwaitTurn
    } else {
        Selection::Cold(waiting::return_after_turn(gateway, &call.service, &outlook))
    }
}

/// Counts the servers that choices left out.
pub(super) fn count_left_out(gateway: &Gateway) {
    let left_out = gateway.fleet.borrow().cold.take_left_out();
    if left_out > 0 {
        metrics::count_cold_left_out(left_out);
    }
}

/// Logs which servers become cold and warm, and forgets those that are gone, until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let mut before = BTreeMap::new();
    let mut next_record = gateway.now();
    loop {
        sleep(TICK_INTERVAL).await;
        if gateway.now() >= next_record {
            next_record = gateway.now() + RECORD_INTERVAL;
            record_linked(&gateway);
        }
        if !gateway.fleet.borrow().cold.has_rules() {
            continue;
        }
        update_vms(&gateway);
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.forget_gone_cold();
        fleet.cold.update_ranks();
        let cold = fleet.cold_servers(gateway.now()).into_iter();
        let cold: BTreeMap<_, _> = cold
            .map(|record| (record.id.clone(), record.born))
            .collect();
        drop(fleet);
        for (server, born) in cold.iter().filter(|(id, _)| !before.contains_key(*id)) {
            info!(gateway.log, "Backend server is cold"; "server" => %server, "born" => born);
        }
        for (server, born) in before.iter().filter(|(id, _)| !cold.contains_key(*id)) {
            info!(gateway.log, "Backend server is no longer cold"; "server" => %server, "born" => born);
        }
        metrics::set_cold_gauge(cold.len());
        before = cold;
    }
}
