//! What one VM knows of cold servers, and when it sends to them.

use std::time::Duration;

use merlinrudder_core::cold::plan::ColdBounds;
use merlinrudder_core::cold::reports::{ColdChange, ColdReports};
use merlinrudder_core::cold::{ColdTable, Warmth};
use merlinrudder_core::directory::ServerRecord;
use merlinrudder_core::fleet::{Fleet, NoChoice};
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::rate_limit::return_times::ReturnTimes;

use crate::fleets;
use crate::util::cold_sim::{
    RULE, START_MS, at, fleet, fullest_second, others, report, send, server, service,
};

/// Returns a VM that has known for long that it is one of three.
fn settled() -> Fleet {
    let mut fleet = fleet(0);
    fleet.cold.set_vms(at(0), Some(others(0, 3)));
    fleet
}

fn is_cold(fleet: &Fleet, now: u64, record: &ServerRecord) -> bool {
    matches!(fleet.cold.warmth(at(now), record), Warmth::Cold(_))
}

/// Returns the times at which a VM sends that tries each millisecond of a span.
fn sends(fleet: &mut Fleet, from: u64, to: u64) -> Vec<u64> {
    let times = from..to;
    times.filter(|now| send(fleet, *now).is_some()).collect()
}

#[test]
fn a_cold_server_gets_spaced_requests_and_a_warm_one_takes_the_rest() {
    let mut fleet = settled();
    let (cold, warm) = (server(0), server(1));
    fleet.merge(at(START_MS), cold.clone());
    fleet.merge(at(START_MS), warm.clone());
    fleet
        .cold
        .record_report(at(START_MS), &report(&cold, 1, 3_000));
    fleet.cold.record_report(at(START_MS), &report(&warm, 1, 0));
    let chosen: Vec<_> = (START_MS..START_MS + 1_000)
        .filter_map(|now| send(&mut fleet, now))
        .collect();
    assert_eq!(chosen.len(), 1_000);
    let at_cold = chosen.iter().filter(|id| **id == cold.id).count();
    // One VM of three: 17 / 1.25 / 3 a second.
    assert!((4..=5).contains(&at_cold), "{at_cold}");
}

#[test]
fn only_cold_servers_are_refused_with_later_and_later_times() {
    let mut fleet = settled();
    let cold = server(0);
    fleet.merge(at(START_MS), cold.clone());
    fleet
        .cold
        .record_report(at(START_MS), &report(&cold, 1, 3_000));
    assert!(send(&mut fleet, START_MS).is_some());
    let refused = fleet.choose_server(at(START_MS + 1), &service(), &[]);
    assert_eq!(refused, Err(NoChoice::Cold));
    assert!(fleet.are_all_cold(at(START_MS + 1), &service(), &[]));
    let outlook = |ahead| fleet.cold_outlook(at(START_MS + 1), &service(), &[], ahead);
    // The spacing is 221 ms, of which one has passed.
    assert_eq!(outlook(0).wait, Duration::from_millis(220));
    assert_eq!(outlook(2).wait, Duration::from_millis(3 * 221 - 1));
    // The server takes requests of all at the end of its cold time.
    assert_eq!(outlook(60).wait, Duration::from_millis(2_999));
    let mut times = ReturnTimes::default();
    let promised: Vec<_> = (0..5)
        .map(|_| times.promise_after(at(START_MS), outlook(0).wait, outlook(0).rate))
        .collect();
    assert!(promised.is_sorted_by(|a, b| a < b), "{promised:?}");
}

#[test]
fn the_spacing_halves_twice_within_a_second_of_the_cold_time() {
    let mut fleet = settled();
    let (returned, warm) = (server(0), server(1));
    fleet.merge(at(START_MS), returned.clone());
    fleet.merge(at(START_MS), warm.clone());
    fleet
        .cold
        .record_report(at(START_MS), &report(&returned, 1, 3_000));
    fleet.cold.record_report(at(START_MS), &report(&warm, 1, 0));
    let counts: Vec<_> = [
        (2_000, 3_000),
        (3_000, 3_500),
        (3_500, 4_000),
        (4_000, 4_500),
    ]
    .into_iter()
    .map(|(from, to)| {
        let span = START_MS + from..START_MS + to;
        let chosen = span.filter_map(|now| send(&mut fleet, now));
        chosen.filter(|id| *id == returned.id).count()
    })
    .collect();
    // 4.5 a second, then 9 and 18 a second for half a second each, then any number.
    assert!((4..=5).contains(&counts[0]), "{counts:?}");
    assert!((4..=5).contains(&counts[1]), "{counts:?}");
    assert!((8..=10).contains(&counts[2]), "{counts:?}");
    assert!(counts[3] > 100, "{counts:?}");
}

/// Without other servers, one whose cold time is over takes what comes.
#[test]
fn the_ramp_refuses_nobody() {
    let mut fleet = settled();
    fleet.merge(at(START_MS), server(0));
    fleet
        .cold
        .record_report(at(START_MS), &report(&server(0), 1, 1_000));
    let sent = sends(&mut fleet, START_MS + 1_000, START_MS + 1_100);
    assert_eq!(sent.len(), 100);
}

#[test]
fn a_server_of_which_nothing_is_heard_counts_as_cold_for_its_cold_time() {
    let mut fleet = settled();
    fleet.merge(at(START_MS), server(0));
    assert!(is_cold(&fleet, START_MS + 2_999, &server(0)));
    assert!(!is_cold(&fleet, START_MS + 3_000, &server(0)));
    // A later lifetime starts cold again; a report says otherwise.
    let restarted = ServerRecord {
        born: 200,
        ..server(0)
    };
    fleet.merge(at(START_MS + 9_000), restarted.clone());
    assert!(is_cold(&fleet, START_MS + 9_000, &restarted));
    fleet
        .cold
        .record_report(at(START_MS + 9_010), &report(&restarted, 2, 0));
    assert_eq!(
        fleet.cold.warmth(at(START_MS + 9_010), &restarted),
        Warmth::Warm
    );
}

/// Guards against refusals where control VMs of earlier versions report nothing.
#[test]
fn servers_count_as_warm_where_nothing_is_ever_told_or_the_service_has_no_rule() {
    let mut untold = fleet(0);
    untold.cold = ColdTable::new(VmId::from("entry-0"), ColdBounds::default());
    untold.cold.set_rules([(service(), RULE)].into_iter());
    untold.merge(at(START_MS), server(0));
    assert_eq!(sends(&mut untold, START_MS, START_MS + 100).len(), 100);
    let mut without_rule = settled();
    without_rule.cold.set_rules(std::iter::empty());
    without_rule.merge(at(START_MS), server(0));
    let cold = report(&server(0), 1, 3_000);
    without_rule.cold.record_report(at(START_MS), &cold);
    assert_eq!(
        sends(&mut without_rule, START_MS, START_MS + 100).len(),
        100
    );
}

#[test]
fn late_heartbeats_change_nothing_and_a_second_cold_time_is_news() {
    let mut reports = ColdReports::default();
    let record = server(0);
    let mut told = |now, sequence, left| reports.record(at(now), &report(&record, sequence, left));
    assert_eq!(told(0, 5, 3_000), ColdChange::BecameCold);
    assert_eq!(told(10, 4, 0), ColdChange::Stale);
    assert_eq!(told(20, 5, 2_980), ColdChange::Confirmed);
    assert_eq!(told(1_000, 6, 2_010), ColdChange::Confirmed);
    assert_eq!(told(1_500, 7, 3_000), ColdChange::Extended);
    assert_eq!(told(2_000, 8, 0), ColdChange::BecameWarm);
    assert_eq!(told(2_100, 7, 2_500), ColdChange::Stale);
    assert_eq!(told(9_000, 9, 1_000), ColdChange::BecameCold);
    let until = reports.cold_until(&record.id, record.born);
    assert_eq!(until, Some(Some(at(10_000))));
    // Reports on an earlier lifetime are stale, and say nothing of a later one.
    let restarted = ServerRecord {
        born: 200,
        ..record.clone()
    };
    assert_eq!(reports.cold_until(&record.id, 200), None);
    assert_eq!(
        reports.record(at(9_100), &report(&restarted, 1, 3_000)),
        ColdChange::BecameCold
    );
    assert_eq!(
        reports.record(at(9_200), &report(&record, 10, 0)),
        ColdChange::Stale
    );
}

#[test]
fn servers_of_a_reopened_zone_count_as_cold_until_a_later_heartbeat() {
    let reopened = |fleet: &mut Fleet| {
        for number in [0, 1] {
            fleet.merge(at(START_MS), server(number));
            let warm = report(&server(number), 1, 0);
            fleet.cold.record_report(at(START_MS), &warm);
        }
        fleet.zone_reopened(at(START_MS + 100), &ZoneName::from("z0"));
        assert!(is_cold(fleet, START_MS + 100, &server(0)));
        assert!(!is_cold(fleet, START_MS + 100, &server(1)));
    };
    let mut fleet = settled();
    reopened(&mut fleet);
    // Neither a report that is repeated nor one that may have been sent before ends it.
    let repeated = report(&server(0), 1, 0);
    fleet.cold.record_report(at(START_MS + 1_000), &repeated);
    let early = ServerRecord {
        sequence: 2,
        ..server(0)
    };
    fleet.cold.record_heartbeat(at(START_MS + 200), &early);
    assert!(is_cold(&fleet, START_MS + 1_000, &server(0)));
    let later = ServerRecord {
        sequence: 3,
        ..server(0)
    };
    fleet.cold.record_heartbeat(at(START_MS + 1_300), &later);
    assert!(!is_cold(&fleet, START_MS + 1_300, &server(0)));
    // Without a heartbeat, it ends after 3 s; one that reports cold holds for longer.
    for (left, ends) in [(None, 3_100), (Some(4_000), 5_300)] {
        let mut fleet = settled();
        reopened(&mut fleet);
        if let Some(left) = left {
            let cold = report(&server(0), 3, left);
            fleet.cold.record_report(at(START_MS + 1_300), &cold);
            let record = ServerRecord {
                sequence: 3,
                ..server(0)
            };
            fleet.cold.record_heartbeat(at(START_MS + 1_300), &record);
        }
        assert!(is_cold(&fleet, START_MS + ends - 1, &server(0)));
        assert!(!is_cold(&fleet, START_MS + ends, &server(0)));
    }
}

/// Guards against many VMs that each believe to be one of few just after all have started.
#[test]
fn a_vm_relies_on_the_number_of_vms_only_once_it_has_settled() {
    let mut fleet = fleet(0);
    fleet.merge(at(0), server(0));
    fleet.merge(at(0), server(1));
    fleet
        .cold
        .record_report(at(0), &report(&server(0), 1, 60_000));
    fleet.cold.record_report(at(0), &report(&server(1), 1, 0));
    let used = |fleet: &mut Fleet, now| send(fleet, now).is_some_and(|id| id == server(0).id);
    for (now, vms) in [(1_000, 3), (1_500, 9), (2_500, 12)] {
        fleet.cold.set_vms(at(now), Some(others(0, vms)));
        assert!((now..now + 1_000).all(|now| !used(&mut fleet, now)));
    }
    assert!((2_500..4_500).all(|now| !used(&mut fleet, now)));
    assert!(used(&mut fleet, 4_500));
    // One more VM of many does not stop the use.
    fleet.cold.set_vms(at(6_000), Some(others(0, 13)));
    assert!(used(&mut fleet, 6_001));
}

/// Guards against a burst of VMs that were never told of each other, and against shutting out.
#[test]
fn vms_that_were_never_told_of_others_use_cold_servers_only_if_no_other_is_left() {
    let mut arrivals = Vec::new();
    for vm in 0..145 {
        let mut fleet = fleet(vm);
        fleet.merge(at(0), server(0));
        fleet
            .cold
            .record_report(at(0), &report(&server(0), 1, 200_000));
        let times = (0..90_000).step_by(20);
        let own: Vec<_> = times
            .filter(|now| send(&mut fleet, *now).is_some())
            .collect();
        assert!(own.len() >= 2, "VM {vm} is shut out");
        arrivals.extend(own);
        // A warm server takes all.
        fleet.merge(at(0), server(1));
        fleet.cold.record_report(at(0), &report(&server(1), 1, 0));
        let mut times = (90_000..125_000).step_by(20);
        assert!(times.all(|now| send(&mut fleet, now) == Some(server(1).id)));
    }
    assert!(fullest_second(&arrivals) <= 30);
}

#[test]
fn left_out_servers_are_counted() {
    let mut fleet = settled();
    fleet.merge(at(START_MS), server(0));
    fleet
        .cold
        .record_report(at(START_MS), &report(&server(0), 1, 3_000));
    assert!(send(&mut fleet, START_MS).is_some());
    assert_eq!(fleet.cold.take_left_out(), 0);
    assert!(send(&mut fleet, START_MS + 1).is_none());
    assert_eq!(fleet.cold.take_left_out(), 1);
    assert_eq!(fleet.cold.take_left_out(), 0);
    assert_eq!(fleet.cold_servers(at(START_MS + 1)), [&server(0)]);
}

/// Guards against orders of helpers and reservations, which would reach a cold server as well.
#[test]
fn a_cold_engine_takes_whole_prompts_only() {
    let choose = |left: u64| {
        let mut fleet = fleets::fleet(8);
        fleet
            .cold
            .set_rules([(fleets::service(), RULE)].into_iter());
        fleet.cold.set_vms(at(0), Some(others(0, 3)));
        for number in 0..8 {
            let report = report(&fleets::server("a", number), 1, left);
            fleet.cold.record_report(at(START_MS), &report);
        }
        let chosen = fleet.choose_engines(
            at(START_MS),
            &fleets::service(),
            &fleets::profile(),
            &fleets::long(),
            &[],
        );
        chosen.expect("engines are eligible").0.helpers.len()
    };
    assert!(choose(0) > 0);
    assert_eq!(choose(3_000), 0);
}
