//! Fleets of the simulated entry VMs, and the names of engines and placements.

use std::net::SocketAddr;

use merlinrudder_core::directory::{ServerRecord, ServerStage};
use merlinrudder_core::engine_placement::loads::PlacementKey;
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, VmId, ZoneName};
use merlinrudder_core::time::Moment;

use super::{Load, ZONES};
use crate::fleets::{rates, service};

pub(super) fn build_fleet(zone: &str, load: &Load) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from(zone), rates());
    for (engine, port) in (0..load.engines).zip(1000..) {
        let record = ServerRecord {
            id: server_id(engine),
            born: 1,
            sequence: 1,
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: ZoneName::from(ZONES[engine % ZONES.len()]),
            slots: load.profile.slots,
            stage: ServerStage::Ready,
        };
        fleet.merge(Moment::default(), record);
    }
    fleet
}

pub(super) fn server_id(engine: usize) -> ServerId {
    ServerId::from(format!("{engine:03}"))
}

pub(super) fn engine_index(server: &ServerId) -> usize {
    server.as_str().parse().expect("the number of an engine")
}

pub(super) fn placement_key(number: u64) -> PlacementKey {
    PlacementKey {
        entry: VmId::from("entry"),
        number,
    }
}
