//! Learned capacity of backend servers: samples, messages to other entry VMs, log and metrics.
//!
//! The decisions are those of `merlinrudder_core::capacity`. Without `--learn-capacity` there are no
//! samples, and nothing is sent.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::capacity::{CapacityChange, Report, Sample};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::time::Moment;
use merlinrudder_wire::capacities::WireCapacity;
use merlinrudder_wire::mesh::MeshMessage;
use slog::info;
use tokio::time::sleep;

use super::state::Gateway;
use crate::metrics;

/// Interval at which capacities are computed and estimates are sent.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Servers with metrics of their own; changes of further ones are only logged.
const MAX_SERVER_SERIES: usize = 64;

/// Requests whose answers are samples, and the servers with metrics.
#[derive(Debug, Default)]
pub(super) struct CapacityWatch {
    last_number: Cell<u64>,
    awaited: RefCell<BTreeMap<u64, Awaited>>,
    series: RefCell<BTreeSet<ServerId>>,
}

/// A request whose first event or whole answer is awaited.
#[derive(Clone, Debug)]
pub(super) struct Awaited {
    pub(super) service: ServiceName,
    /// Zone of the first server.
    pub(super) zone: ZoneName,
    /// Servers of the request, the one that answers first.
    pub(super) servers: Vec<Incarnation>,
    /// Requests at the first server before this one.
    pub(super) busy: u32,
    pub(super) selected_at: Moment,
    /// Time to first event that is predicted at the nominal pace; `None` for a plain call.
    pub(super) nominal: Option<Duration>,
    /// Whether it was recorded as overdue.
    pub(super) is_overdue: bool,
}

impl Awaited {
    fn sample(&self, now: Moment) -> Sample<'_> {
        Sample {
            service: &self.service,
            zone: &self.zone,
            servers: &self.servers,
            busy: self.busy,
            took: now.since(self.selected_at),
        }
    }
}

/// A request that is a sample once it is answered.
///
/// Dropping it before, as when its attempt fails or is overtaken by a hedge, leaves no sample.
#[derive(Debug)]
pub(super) struct PendingSample {
    gateway: Rc<Gateway>,
    number: u64,
}

impl PendingSample {
    /// Begins to wait for an answer; `None` if capacities are not learned.
    pub(super) fn new(gateway: &Rc<Gateway>, awaited: Awaited) -> Option<Self> {
        gateway.fleet.borrow().capacities.as_ref()?;
        let watch = &gateway.capacity;
        let number = watch.last_number.get() + 1;
        watch.last_number.set(number);
        watch.awaited.borrow_mut().insert(number, awaited);
        Some(Self {
            gateway: Rc::clone(gateway),
            number,
        })
    }

    /// Records the answer as a sample.
    pub(super) fn answered(self) {
        let gateway = &self.gateway;
        let awaited = gateway.capacity.awaited.borrow_mut().remove(&self.number);
        let mut fleet = gateway.fleet.borrow_mut();
        let (Some(awaited), Some(capacities)) = (awaited, &mut fleet.capacities) else {
            return;
        };
        let now = gateway.now();
        match awaited.nominal {
            Some(nominal) => capacities.record_prompt(now, &awaited.sample(now), nominal),
            None => capacities.record_call(now, &awaited.sample(now)),
        }
    }
}

impl Drop for PendingSample {
    fn drop(&mut self) {
        let mut awaited = self.gateway.capacity.awaited.borrow_mut();
        awaited.remove(&self.number);
    }
}

/// Computes capacities and sends estimates until the process exits, if they are learned.
pub(super) async fn run(gateway: Rc<Gateway>) {
    while gateway.fleet.borrow().capacities.is_some() {
        sleep(TICK_INTERVAL).await;
        record_overdue(&gateway);
        let now = gateway.now();
        let changes = gateway.fleet.borrow_mut().refresh_capacities(now);
        for change in &changes {
            log_change(&gateway, change);
        }
        set_gauges(&gateway, &changes);
        let mut fleet = gateway.fleet.borrow_mut();
        let capacities = fleet.capacities.as_mut();
        let reports = capacities.map(|capacities| capacities.take_outgoing(now));
        drop(fleet);
        let receivers = || gateway.links.vms_with(|features| features.capacity);
        if let Some(reports) = reports.filter(|reports| !reports.is_empty()) {
            send(&gateway, &receivers(), &reports);
        }
    }
}

/// Records requests that are late already, so that a slow server is seen before it answers.
fn record_overdue(gateway: &Gateway) {
    let now = gateway.now();
    let mut fleet = gateway.fleet.borrow_mut();
    let Some(capacities) = &mut fleet.capacities else {
        return;
    };
    let mut awaited = gateway.capacity.awaited.borrow_mut();
    for awaited in awaited.values_mut().filter(|awaited| !awaited.is_overdue) {
        let sample = awaited.sample(now);
        awaited.is_overdue = capacities.record_overdue(now, &sample, awaited.nominal);
    }
}

/// Sends this VM's estimates to a VM that has just linked.
pub(super) fn link_up(gateway: &Gateway, vm: &VmId) {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    let capacities = fleet.capacities.as_ref();
    let reports = capacities.map(|capacities| capacities.snapshot(now));
    drop(fleet);
    let supports = || gateway.links.supports(vm, |features| features.capacity);
    if let Some(reports) = reports.filter(|reports| !reports.is_empty() && supports()) {
        send(gateway, std::slice::from_ref(vm), &reports);
    }
}

/// Handles the estimates of another entry VM.
pub(super) fn receive(gateway: &Gateway, from: &VmId, reports: Vec<WireCapacity>) {
    let now = gateway.now();
    let reports = reports.into_iter().map(|report| report.into_core(now));
    if let Some(capacities) = &mut gateway.fleet.borrow_mut().capacities {
        capacities.receive(now, from, reports.collect());
    }
}

fn send(gateway: &Gateway, receivers: &[VmId], reports: &[Report]) {
    let now = gateway.now();
    let reports = reports.iter().map(|report| WireCapacity::new(now, report));
    let message = MeshMessage::Capacities(reports.collect());
    gateway.links.send_all(receivers, &message);
}

fn log_change(gateway: &Gateway, change: &CapacityChange) {
    let pace = change.capacity.map_or(1.0, |capacity| capacity.pace);
    info!(gateway.log, "Learned capacity changed"; "server" => %change.server, "pace" => pace,
        "limit" => change.capacity.and_then(|capacity| capacity.limit),
        "observers" => change.observers, "reason" => change.reason.as_str());
}

/// Sets the gauges of servers that changed, and the ages of all that differ from nominal.
fn set_gauges(gateway: &Gateway, changes: &[CapacityChange]) {
    let mut series = gateway.capacity.series.borrow_mut();
    let fleet = gateway.fleet.borrow();
    for change in changes {
        if series.len() < MAX_SERVER_SERIES {
            series.insert(change.server.clone());
        }
        if series.contains(&change.server) {
            let slots = fleet.directory.get(&change.server).map_or(0, |r| r.slots);
            let learned = fleet.loads.learned();
            let limit = learned.limit(&change.server, slots);
            metrics::set_capacity_gauges(
                change.server.as_str(),
                learned.pace(&change.server),
                limit,
            );
        }
    }
    let Some(capacities) = &fleet.capacities else {
        return;
    };
    for server in series.iter() {
        let age = capacities.age(gateway.now(), server);
        metrics::set_capacity_age(server.as_str(), age.unwrap_or_default());
    }
}
