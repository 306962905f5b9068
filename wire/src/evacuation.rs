//! Evacuated zones, in messages between VMs and in snapshots of the control state.

use merlinrudder_core::evacuation::Evacuations;
use merlinrudder_core::names::ZoneName;
use serde::{Deserialize, Serialize};

/// The evacuated zones with the revision of the set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireEvacuations {
    revision: u64,
    zones: Vec<String>,
}

/// A zone with the number of the newest order about it, in snapshots.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireZoneOrders {
    zone: String,
    newest: u64,
}

impl From<(&ZoneName, u64)> for WireZoneOrders {
    fn from((zone, newest): (&ZoneName, u64)) -> Self {
        let zone = zone.to_string();
        Self { zone, newest }
    }
}

impl From<WireZoneOrders> for (ZoneName, u64) {
    fn from(wire: WireZoneOrders) -> Self {
        (ZoneName::from(wire.zone), wire.newest)
    }
}

impl From<Evacuations> for WireEvacuations {
    fn from(evacuations: Evacuations) -> Self {
        let zones = evacuations.zones.iter().map(ToString::to_string);
        Self {
            revision: evacuations.revision,
            zones: zones.collect(),
        }
    }
}

impl From<WireEvacuations> for Evacuations {
    fn from(wire: WireEvacuations) -> Self {
        Self {
            revision: wire.revision,
            zones: wire.zones.into_iter().map(ZoneName::from).collect(),
        }
    }
}
