//! Orders to evacuate zones, and that no choice of servers reaches an evacuated zone.

use std::collections::BTreeSet;
use std::time::Duration;

use merlinrudder_core::control::{Answer, Command, ControlState};
use merlinrudder_core::directory::{Incarnation, ServerRecord, ServerStage};
use merlinrudder_core::evacuation::{CommandSupport, Evacuations};
use merlinrudder_core::fleet::{Fleet, NoChoice};
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::{ServerId, VmId, ZoneName};
use merlinrudder_core::rate_limit::limits::{Observation, Rate};
use merlinrudder_core::time::Moment;

use crate::fleets::{long, profile, rates, server, service, short};

/// Requests of each kind that are placed in a test of where they go.
const ROUNDS: u64 = 50;
/// Time without heartbeats after which a server counts as dead.
const SILENCE: Duration = Duration::from_mins(1);

fn order(state: &mut ControlState, zone: &str, active: bool) -> u64 {
    let zone = ZoneName::from(zone);
    match state.apply(Command::SetEvacuation { zone, active }) {
        Answer::Evacuations(revision) => revision,
        answer => panic!("{answer:?}"),
    }
}

fn evacuated(revision: u64, zones: &[&str]) -> Evacuations {
    Evacuations {
        revision,
        zones: zones.iter().map(|zone| ZoneName::from(*zone)).collect(),
    }
}

/// Returns a fleet with three engines in each of the zones a, b and c, seen from zone a.
fn fleet_in_three_zones() -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("a"), rates());
    for (at, zone) in ["a", "b", "c"].into_iter().enumerate() {
        for number in 0..3 {
            let number = u16::try_from(at * 10 + number).expect("a small number");
            fleet.merge(Moment::default(), server(zone, number));
        }
    }
    fleet
}

fn servers_of(fleet: &Fleet, zones: &[&str]) -> Vec<ServerId> {
    let records = fleet.directory.records().map(|(record, _)| record);
    let chosen = records.filter(|record| zones.contains(&record.zone.as_str()));
    chosen.map(|record| record.id.clone()).collect()
}

/// Returns the servers that prompts of two lengths and plain calls are sent to, helpers included.
fn reached(fleet: &Fleet, now: Moment, tried: &[ServerId]) -> BTreeSet<ServerId> {
    let mut reached = BTreeSet::new();
    for random_seed in 0..ROUNDS {
        for mut request in [short(), long()] {
            request.random_seed = random_seed;
            let chosen = fleet.choose_engines(now, &service(), &profile(), &request, tried);
            if let Ok((placement, _)) = chosen {
                reached.insert(placement.lead);
                reached.extend(placement.helpers);
            }
        }
        reached.extend(fleet.choose_server(now, &service(), tried));
    }
    reached
}

/// Guards against an order that counts again when it is resent after its answer was lost.
#[test]
fn an_order_that_is_already_satisfied_changes_nothing() {
    let mut state = ControlState::default();
    assert_eq!(order(&mut state, "a", false), 0);
    assert_eq!(order(&mut state, "a", true), 1);
    assert_eq!(order(&mut state, "a", true), 1);
    assert_eq!(order(&mut state, "b", true), 2);
    assert_eq!(state.evacuations, evacuated(2, &["a", "b"]));
    assert_eq!(order(&mut state, "a", false), 3);
    assert_eq!(order(&mut state, "a", false), 3);
    assert_eq!(state.evacuations, evacuated(3, &["b"]));
}

/// Guards against an entry VM that a control VM behind the others takes back to an earlier set.
#[test]
fn a_vm_keeps_the_set_with_the_highest_revision() {
    let mut known = Evacuations::default();
    assert_eq!(known.replace(Evacuations::default()), None);
    assert_eq!(known.replace(evacuated(4, &["a", "b"])), Some(Vec::new()));
    for older in [evacuated(4, &[]), evacuated(3, &["c"]), evacuated(0, &[])] {
        assert_eq!(known.replace(older), None);
        assert_eq!(known, evacuated(4, &["a", "b"]));
    }
    let reopened = known.replace(evacuated(5, &["b", "c"]));
    assert_eq!(reopened, Some(vec![ZoneName::from("a")]));
    assert_eq!(known, evacuated(5, &["b", "c"]));
}

#[test]
fn nothing_is_sent_to_an_evacuated_zone_until_it_is_reopened() {
    let mut fleet = fleet_in_three_zones();
    let now = Moment::default();
    let in_zone =
        |ids: &BTreeSet<ServerId>, zone: &str| ids.iter().any(|id| id.as_str().starts_with(zone));
    assert!(in_zone(&reached(&fleet, now, &[]), "a"));
    assert!(fleet.update_evacuations(now, evacuated(1, &["a"])));
    let ids = reached(&fleet, now, &[]);
    assert!(!ids.is_empty() && !in_zone(&ids, "a"), "{ids:?}");
    assert!(fleet.update_evacuations(now, evacuated(2, &[])));
    assert!(in_zone(&reached(&fleet, now, &[]), "a"));
}

/// Guards against fallbacks that use every ready server once no other one is left.
#[test]
fn no_fallback_reaches_an_evacuated_zone() {
    let now = Moment::default() + SILENCE;
    let mut fleet = fleet_in_three_zones();
    fleet.update_evacuations(now, evacuated(1, &["a"]));
    let others = servers_of(&fleet, &["b", "c"]);
    assert!(reached(&fleet, now, &others).is_empty(), "all others tried");
    let is_evacuated = |id: &ServerId| id.as_str().starts_with('a');

    // No heartbeat of any server arrives any more, so that all of them count as dead.
    fleet.receives_heartbeats = true;
    let ids = reached(&fleet, now, &[]);
    assert!(!ids.is_empty() && !ids.iter().any(is_evacuated), "{ids:?}");

    // Those of the evacuated zone are alive, and all others suspended and in unreachable zones.
    for id in servers_of(&fleet, &["a"]) {
        let mut record = fleet.directory.get(&id).cloned().expect("a known server");
        record.sequence += 1;
        fleet.merge(now, record);
    }
    for _ in 0..5 {
        for id in &others {
            fleet.record_outcome(now, id, ServerOutcome::Unreachable);
        }
    }
    let ids = reached(&fleet, now, &[]);
    assert!(!ids.iter().any(is_evacuated), "{ids:?}");

    for id in &others {
        let record = fleet.directory.get(id).expect("a known server");
        let asked = record.incarnation();
        fleet.mark_replaced(now, &asked);
    }
    let chosen = fleet.choose_server(now, &service(), &[]);
    assert_eq!(chosen, Err(NoChoice::NoServer), "all others dead");
    let chosen = fleet.choose_engines(now, &service(), &profile(), &long(), &[]);
    assert_eq!(chosen.err(), Some(NoChoice::NoServer));
}

/// Guards against requests that wait for permits of servers which they may not be sent to.
#[test]
fn no_permit_is_asked_for_a_server_in_an_evacuated_zone() {
    let now = Moment::default() + Duration::from_secs(1);
    let mut fleet = fleet_in_three_zones();
    fleet.rates.set_vms(std::iter::empty(), Some(1));
    let record = |fleet: &Fleet, id: &ServerId| -> ServerRecord {
        fleet.directory.get(id).cloned().expect("a known server")
    };
    for id in servers_of(&fleet, &["a"]) {
        let Incarnation { server, born } = record(&fleet, &id).incarnation();
        fleet.rates.observe(
            now,
            Observation {
                incarnation: Incarnation { server, born },
                rate: Rate::new(4.0),
                requested_at: now,
                heard_at: now,
            },
        );
    }
    let others = servers_of(&fleet, &["b", "c"]);
    assert!(fleet.are_all_limited(&service(), &others));
    assert!(fleet.fair_rate(now, &service()) > 0.0);
    fleet.update_evacuations(now, evacuated(1, &["a"]));
    fleet.request_permits(now, &service(), &others);
    assert_eq!(fleet.promised_permits(now, &service(), &others), 0);
    assert!(!fleet.are_all_limited(&service(), &others));
    assert!(fleet.fair_rate(now, &service()) <= 0.0);
    let chosen = fleet.choose_server(now, &service(), &others);
    assert_eq!(chosen, Err(NoChoice::NoServer));
}

#[test]
fn calls_that_still_run_in_an_evacuated_zone_are_counted_there() {
    let mut fleet = fleet_in_three_zones();
    let (inside, outside) = (ServerId::from("a-0"), ServerId::from("b-10"));
    for id in [&inside, &inside, &outside] {
        fleet.call_began(id);
    }
    assert_eq!(fleet.evacuated_calls(), 0);
    fleet.update_evacuations(Moment::default(), evacuated(1, &["a"]));
    assert_eq!(fleet.evacuated_calls(), 2);
    fleet.call_ended(&inside);
    assert_eq!(fleet.evacuated_calls(), 1);
    let mut gone = server("a", 0);
    gone.stage = ServerStage::Draining;
    fleet.merge(Moment::default(), gone);
    assert_eq!(fleet.evacuated_calls(), 1, "a draining server counts too");
}

/// Guards against a command that a control VM of an earlier version cannot decode, and stops at.
#[test]
fn the_command_waits_until_all_voters_are_known_to_apply_it() {
    let vms = ["c-1", "c-2", "c-3", "c-4"].map(VmId::from);
    let [first, second, third, learner] = &vms;
    let voters = [first, second, third];
    let able = |vms: &[&VmId]| vms.iter().map(|vm| (*vm).clone()).collect::<BTreeSet<_>>();
    let mut support = CommandSupport::default();
    assert!(!support.allows(false, voters, &[]));
    support.record(&vms[..2], &able(&[first, second]));
    assert!(
        !support.allows(false, voters, &vms[..2]),
        "one was not seen"
    );
    support.record(&vms[1..3], &able(&[second, third]));
    assert!(
        support.allows(false, voters, &vms[..1]),
        "all were seen once"
    );

    support.record(&vms, &able(&[first, second, third]));
    assert!(
        !support.allows(false, voters, &vms),
        "a learner is not able"
    );
    assert!(!support.knows(learner));
    assert!(support.allows(true, voters, &vms), "nothing to protect");

    support.record(&vms[..3], &able(&[first, third]));
    assert!(
        !support.knows(second),
        "it returned with an earlier version"
    );
    assert!(!support.allows(false, voters, &vms[..3]));
}
