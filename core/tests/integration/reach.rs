//! VMs that are cut off from servers: how they find out, and by way of which VM they send requests.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::reach::ReachTable;
use merlinrudder_core::relays::RelayTable;
use merlinrudder_core::time::Moment;

const VMS: usize = 64;
const ZONES: usize = 3;
/// Rounds of the simulation that a request takes.
const REQUEST_ROUNDS: u64 = 5;

fn service() -> ServiceName {
    ServiceName::from("app")
}

fn servers(count: usize) -> Vec<ServerId> {
    (0..count)
        .map(|number| ServerId::from(format!("i-{number}")))
        .collect()
}

fn vm(number: usize) -> VmId {
    VmId::from(format!("vm-{number}"))
}

fn zone(number: usize) -> ZoneName {
    ZoneName::from(format!("z{}", number % ZONES))
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn one_failed_server_raises_no_question_and_two_do() {
    let (mut reach, known) = (ReachTable::default(), servers(18));
    for time in 0..20 {
        assert!(!reach.record_failure(at(time), &service(), &known[0], known.len()));
    }
    assert!(reach.record_failure(at(20), &service(), &known[1], known.len()));
    assert!(!reach.record_failure(at(21), &service(), &known[2], known.len()));
    assert!(reach.may_be_cut_off(&service()) && !reach.is_cut_off(&service()));
}

#[test]
fn servers_that_fail_far_apart_or_with_answers_in_between_raise_no_question() {
    let (mut reach, known) = (ReachTable::default(), servers(18));
    assert!(!reach.record_failure(at(0), &service(), &known[0], known.len()));
    assert!(!reach.record_failure(at(1500), &service(), &known[1], known.len()));
    reach.record_answer(&service());
    assert!(!reach.record_failure(at(1600), &service(), &known[2], known.len()));
}

#[test]
fn a_zone_of_servers_that_is_lost_is_no_cut_of_the_vm() {
    let (mut reach, known) = (ReachTable::default(), servers(18));
    reach.record_failure(at(0), &service(), &known[0], known.len());
    assert!(reach.record_failure(at(1), &service(), &known[3], known.len()));
    let probes = reach.choose_probes(&service(), &known);
    assert!(probes.len() >= 4, "{probes:?}");
    assert!(
        !probes.contains(&known[0]) && !probes.contains(&known[3]),
        "{probes:?}"
    );
    assert!(!reach.record_probes(at(160), &service(), true));
    assert!(!reach.may_be_cut_off(&service()));
}

#[test]
fn a_cut_is_known_within_a_second_and_its_end_too() {
    let (mut reach, known) = (ReachTable::default(), servers(3));
    reach.record_failure(at(150), &service(), &known[0], known.len());
    assert!(reach.record_failure(at(300), &service(), &known[1], known.len()));
    assert!(reach.record_probes(at(450), &service(), false));
    assert!(reach.is_cut_off(&service()));
    assert_eq!(reach.cut_off(), [service()]);
    assert!(reach.take_due_probes(at(700)).is_empty());
    assert_eq!(reach.take_due_probes(at(750)), [service()]);
    assert!(reach.take_due_probes(at(760)).is_empty());
    assert!(!reach.record_probes(at(900), &service(), false));
    // An answer to a request from before the cut shows nothing.
    reach.record_answer(&service());
    assert!(reach.is_cut_off(&service()));
    assert_eq!(reach.take_due_probes(at(1200)), [service()]);
    assert!(reach.record_probes(at(1210), &service(), true));
    assert!(!reach.is_cut_off(&service()) && reach.cut_off().is_empty());
}

#[test]
fn all_servers_are_tried_in_turn_during_a_cut() {
    let (mut reach, known) = (ReachTable::default(), servers(7));
    reach.record_failure(at(0), &service(), &known[0], 1);
    reach.record_probes(at(100), &service(), false);
    let mut tried: Vec<_> = (0..7)
        .flat_map(|_| reach.choose_probes(&service(), &known))
        .collect();
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), known.len());
}

/// Returns the other VMs as one VM sees them.
fn relays(own: usize) -> RelayTable {
    let mut table = RelayTable::default();
    for other in (0..VMS).filter(|other| *other != own) {
        table.insert(vm(other), zone(other));
    }
    table
}

#[test]
fn fifty_six_of_64_vms_find_the_other_eight_and_share_them_evenly() {
    let sound = [0, 7, 13, 22, 35, 41, 50, 62];
    let mut tables: Vec<_> = (0..VMS).map(relays).collect();
    let mut rng = Rng::with_seed(4);
    let (mut served, mut refused) = (BTreeMap::new(), 0);
    let mut running = VecDeque::new();
    for round in 0..200_u64 {
        let now = at(round * 50);
        while running.front().is_some_and(|(_, _, end)| *end <= round) {
            let (own, chosen, _): (usize, VmId, u64) = running.pop_front().expect("a request");
            tables[own].ended(&chosen);
        }
        for own in (0..VMS).filter(|own| !sound.contains(own)) {
            let mut excluded = Vec::new();
            let table = &mut tables[own];
            while let Some(chosen) =
                table.choose(now, &service(), &zone(own), &excluded, rng.u64(..))
            {
                let number = (0..VMS).find(|number| vm(*number) == chosen);
                let number = number.expect("a known VM");
                if sound.contains(&number) {
                    *served.entry(number).or_insert(0_usize) += 1;
                    table.began(&chosen);
                    running.push_back((own, chosen, round + REQUEST_ROUNDS));
                    break;
                }
                refused += 1;
                table.record_refusal(now, &chosen, &service());
                excluded.push(chosen);
            }
        }
    }
    let total: usize = served.values().sum();
    assert_eq!(total, 200 * 56);
    let most = served.values().max().copied().unwrap_or_default();
    assert!(most <= total / sound.len() * 2, "{served:?}");
    // Without any news, each VM asks each other one about once a second.
    assert!(refused <= 56 * 64 * 12, "{refused} refusals");
}

#[test]
fn a_vm_that_tells_of_its_cut_is_not_asked() {
    let mut table = relays(0);
    for other in 1..VMS - 1 {
        table.set_cut_off(&vm(other), [service()].into());
    }
    let choose = |table: &RelayTable| table.choose(at(0), &service(), &zone(0), &[], 9);
    assert_eq!(choose(&table), Some(vm(VMS - 1)));
    table.set_cut_off(&vm(VMS - 1), [service()].into());
    assert_eq!(choose(&table), None);
    let other_service = ServiceName::from("other");
    assert!(
        table
            .choose(at(0), &other_service, &zone(0), &[], 9)
            .is_some()
    );
    table.set_cut_off(&vm(5), [].into());
    assert_eq!(choose(&table), Some(vm(5)));
}

#[test]
fn the_own_zone_goes_first_until_its_vms_are_busier() {
    let mut table = RelayTable::default();
    table.insert(vm(0), zone(0));
    table.insert(vm(1), zone(1));
    let mut chosen = Vec::new();
    for seed in 0..12 {
        let next = table.choose(at(0), &service(), &zone(0), &[], seed);
        let next = next.expect("a VM");
        table.began(&next);
        chosen.push(next);
    }
    assert!(chosen[..4].iter().all(|next| *next == vm(0)), "{chosen:?}");
    let near = chosen.iter().filter(|next| **next == vm(0)).count();
    assert!((6..=9).contains(&near), "{chosen:?}");
    table.record_failure(at(0), &vm(0));
    let excluded = [vm(1)];
    let choose = |now| table.choose(now, &service(), &zone(0), &excluded, 1);
    assert_eq!(choose(at(500)), None);
    assert_eq!(choose(at(0) + Duration::from_secs(1)), Some(vm(0)));
}
