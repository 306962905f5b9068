//! Evacuated zones at an entry VM, as control VMs tell them.

use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_wire::evacuation::WireEvacuations;
use slog::info;
use tokio::time::sleep;

use super::state::Gateway;
use crate::metrics;

/// Interval at which the gauges are set.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Applies the evacuated zones that a control VM tells, unless a newer set is known.
pub(super) fn receive(gateway: &Gateway, from: &VmId, newer: WireEvacuations) {
    let mut fleet = gateway.fleet.borrow_mut();
    if fleet.update_evacuations(gateway.now(), newer.into()) {
        let known = fleet.evacuations();
        let zones: Vec<_> = known.zones.iter().map(ZoneName::as_str).collect();
        info!(gateway.log, "Evacuated zones changed"; "zones" => zones.join(" "),
            "revision" => known.revision, "by" => %from);
    }
}

/// Sets the gauges until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        set_gauges(&gateway);
        sleep(GAUGE_INTERVAL).await;
    }
}

/// Sets the gauges of evacuated zones and of this VM's requests that still run there.
fn set_gauges(gateway: &Gateway) {
    let fleet = gateway.fleet.borrow();
    let zones = fleet.evacuations().zones.len();
    let mut requests = 0;
    if zones > 0 {
        let outbox = gateway.outbox.borrow();
        requests = outbox.placements_at(|server| fleet.is_evacuated(server));
        requests += fleet.evacuated_calls() as usize;
    }
    metrics::set_evacuated_zones(zones);
    metrics::set_evacuated_requests(requests);
}
