//! Directory of backend servers: late, repeated and contradictory records.

use std::net::SocketAddr;

use merlinrudder_core::directory::{Directory, Merged, ServerRecord, ServerStage};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, ServiceName, ZoneName};
use merlinrudder_core::time::Moment;
use proptest::prelude::*;

use crate::fleets::rates;

fn record(id: &str, born: u64, sequence: u64, port: u16, stage: ServerStage) -> ServerRecord {
    ServerRecord {
        id: ServerId::from(id),
        born,
        sequence,
        service: ServiceName::from("drafts"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: ZoneName::from("a"),
        slots: 16,
        stage,
    }
}

fn stage(directory: &Directory, id: &str) -> Option<ServerStage> {
    directory
        .get(&ServerId::from(id))
        .map(|record| record.stage)
}

/// Guards against a late answer to a request of an earlier lifetime, which throws out the next one.
#[test]
fn a_late_misdirection_concerns_the_lifetime_that_was_asked() {
    let now = Moment::default();
    let mut fleet = Fleet::new(ZoneName::from("a"), rates());
    let asked = record("s", 5, 1, 1, ServerStage::Ready);
    fleet.merge(now, asked.clone());
    fleet.merge(now, record("s", 9, 1, 1, ServerStage::Ready));
    fleet.mark_replaced(now, &asked.incarnation());
    assert_eq!(stage(&fleet.directory, "s"), Some(ServerStage::Ready));
    let next = record("s", 9, 1, 1, ServerStage::Ready).incarnation();
    fleet.mark_replaced(now, &next);
    assert_eq!(stage(&fleet.directory, "s"), Some(ServerStage::Gone));
}

#[test]
fn a_late_heartbeat_does_not_revive_a_server() {
    let now = Moment::default();
    let mut directory = Directory::default();
    directory.merge(now, record("s", 5, 1, 1, ServerStage::Ready));
    directory.merge(now, record("s", 5, 3, 1, ServerStage::Draining));
    let late = directory.merge(now, record("s", 5, 2, 1, ServerStage::Ready));
    assert_eq!(late, Merged::Stale);
    let contradictory = directory.merge(now, record("s", 5, 9, 1, ServerStage::Ready));
    assert_eq!(contradictory, Merged::Refreshed);
    assert_eq!(stage(&directory, "s"), Some(ServerStage::Draining));
}

#[test]
fn a_new_incarnation_under_the_same_id_takes_work_again() {
    let now = Moment::default();
    let mut directory = Directory::default();
    directory.merge(now, record("s", 5, 7, 1, ServerStage::Draining));
    directory.leave(now, &ServerId::from("s"), Some(5));
    assert_eq!(stage(&directory, "s"), Some(ServerStage::Gone));
    let merged = directory.merge(now, record("s", 6, 1, 1, ServerStage::Ready));
    assert_eq!(merged, Merged::Changed);
    assert_eq!(stage(&directory, "s"), Some(ServerStage::Ready));
    let stale = directory.leave(now, &ServerId::from("s"), Some(5));
    assert_eq!(stale, Merged::Stale);
}

#[test]
fn the_later_incarnation_keeps_the_address_in_any_order_of_records() {
    let now = Moment::default();
    let old = record("old", 5, 1, 1, ServerStage::Ready);
    let new = record("new", 9, 1, 1, ServerStage::Ready);
    for order in [[&old, &new], [&new, &old]] {
        let mut directory = Directory::default();
        for record in order {
            directory.merge(now, record.clone());
        }
        assert_eq!(stage(&directory, "old"), Some(ServerStage::Gone));
        assert_eq!(stage(&directory, "new"), Some(ServerStage::Ready));
    }
}

fn any_record() -> impl Strategy<Value = ServerRecord> {
    let stages = prop_oneof![
        Just(ServerStage::Ready),
        Just(ServerStage::Draining),
        Just(ServerStage::Gone)
    ];
    (0..2_u64, 0..4_u64, stages).prop_map(|(born, sequence, stage)| {
        // The address is constant: a server keeps it within an incarnation.
        record("s", born, sequence, 1, stage)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..ProptestConfig::default() })]

    #[test]
    fn records_of_a_server_merge_in_any_order(records in prop::collection::vec(any_record(), 1..8)) {
        let now = Moment::default();
        let mut forward = Directory::default();
        let mut backward = Directory::default();
        for record in &records {
            forward.merge(now, record.clone());
        }
        for record in records.iter().rev() {
            backward.merge(now, record.clone());
        }
        let id = ServerId::from("s");
        let facts = |directory: &Directory| directory.get(&id).map(|r| (r.born, r.stage));
        prop_assert_eq!(facts(&forward), facts(&backward));
    }
}
