//! Rules by which capacities of servers are learned from samples and estimates.

use std::time::Duration;

use merlinrudder_core::capacity::{CapacityTable, Estimate, Report, Sample};
use merlinrudder_core::directory::{Directory, Incarnation};
use merlinrudder_core::names::{ServerId, VmId, ZoneName};
use merlinrudder_core::time::Moment;

use crate::fleets::{server, service};

const SERVERS: u16 = 69;
const NOMINAL: Duration = Duration::from_millis(100);

fn directory(born: u64) -> Directory {
    let mut directory = Directory::default();
    for number in 0..SERVERS {
        let mut record = server("a", number);
        record.born = born;
        directory.merge(Moment::default(), record);
    }
    directory
}

fn incarnation(number: u16) -> Incarnation {
    server("a", number).incarnation()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn table() -> CapacityTable {
    CapacityTable::new(VmId::from("entry-0"))
}

/// Returns a report of a sample at `taken`.
fn report(number: u16, pace: f64, taken: Moment) -> Report {
    let server = incarnation(number);
    let (weight, busy) = (1.0, 8);
    let at = taken;
    let estimate = Estimate {
        pace,
        weight,
        busy,
        at,
    };
    Report { server, estimate }
}

/// Lets VM `observer` report a server.
fn tell(table: &mut CapacityTable, observer: usize, number: u16, pace: f64, now: Moment) {
    let from = VmId::from(format!("vm-{observer}"));
    table.receive(now, &from, vec![report(number, pace, now)]);
}

fn pace(table: &CapacityTable, number: u16) -> f64 {
    table.learned().pace(&incarnation(number).server)
}

/// Records the time to first event of a prompt at one server.
fn sample(table: &mut CapacityTable, now: u64, zone: &str, number: u16, took: u64) {
    let sample = Sample {
        service: &service(),
        zone: &ZoneName::from(zone),
        servers: &[incarnation(number)],
        busy: 4,
        took: Duration::from_millis(took),
    };
    table.record_prompt(at(now), &sample, NOMINAL);
}

/// Guards against one VM with a bad link or clock that takes work from sound servers.
#[test]
fn one_observer_changes_nothing_and_two_do() {
    let (directory, mut table) = (directory(1), table());
    for millis in (1_000..3_000).step_by(100) {
        tell(&mut table, 1, 5, 4.0, at(millis));
    }
    assert!(table.refresh(at(3_000), &directory).is_empty());
    tell(&mut table, 2, 5, 4.0, at(3_000));
    let changes = table.refresh(at(3_000), &directory);
    assert_eq!(changes.len(), 1);
    assert!((pace(&table, 5) - 4.0).abs() < 1e-9);
    assert_eq!(table.learned().limit(&incarnation(5).server, 16), 5);
}

/// Guards against nonsense of one observer in ten, about every server.
#[test]
fn one_liar_in_ten_makes_no_server_slow() {
    let (directory, mut table) = (directory(1), table());
    for second in 1..20 {
        for liar in 0..14 {
            for number in 0..SERVERS {
                tell(&mut table, liar, number, 8.0, at(second * 1000));
            }
        }
        table.refresh(at(second * 1000), &directory);
        assert_eq!(table.learned().iter().count(), 0, "second {second}");
    }
}

/// Guards against a burst that makes the whole service late and is taken for slow servers.
#[test]
fn a_service_that_is_late_as_a_whole_has_no_slow_server() {
    let (directory, mut table) = (directory(1), table());
    for number in 0..SERVERS {
        for observer in 0..3 {
            let observer = usize::from(number) * 3 + observer;
            tell(&mut table, observer, number, 3.0, at(1_000));
        }
    }
    table.refresh(at(1_000), &directory);
    assert_eq!(table.learned().iter().count(), 0);
}

/// Guards against servers that never get work again, and against jumps of their limits.
#[test]
fn capacities_grow_back_within_ten_seconds_without_samples() {
    let (directory, mut table) = (directory(1), table());
    for observer in 0..20 {
        tell(&mut table, observer, 5, 4.0, at(1_000));
    }
    table.refresh(at(1_000), &directory);
    let mut grown = 0;
    for millis in (1_100..=20_000).step_by(100) {
        table.refresh(at(millis), &directory);
        if pace(&table, 5) > 1.0 {
            grown = millis;
        }
    }
    assert!((1_000..=11_000).contains(&grown), "slow until {grown}");
    assert_eq!(table.learned().iter().count(), 0);
}

/// Guards against a restarted server that is taken for its slow earlier lifetime.
#[test]
fn a_new_lifetime_has_its_nominal_pace() {
    let mut table = table();
    for observer in 0..3 {
        tell(&mut table, observer, 5, 4.0, at(1_000));
    }
    table.refresh(at(1_000), &directory(1));
    assert!(pace(&table, 5) > 1.0);
    table.refresh(at(1_100), &directory(2));
    assert!((pace(&table, 5) - 1.0).abs() < 1e-9);
}

/// Guards against values of other VMs that are no numbers or have no bounds.
#[test]
fn values_without_meaning_are_dropped_or_bounded() {
    let (directory, mut table) = (directory(1), table());
    for (observer, value) in [f64::NAN, f64::INFINITY, -3.0, 0.0].into_iter().enumerate() {
        tell(&mut table, observer, 5, value, at(1_000));
        tell(&mut table, observer, 6, 1e300, at(1_000));
    }
    table.refresh(at(1_000), &directory);
    assert!((pace(&table, 5) - 1.0).abs() < 1e-9);
    assert!((pace(&table, 6) - 8.0).abs() < 1e-9);
}

/// Guards against longer prompts, far zones and lost packets being taken for slow servers.
#[test]
fn a_far_zone_is_not_slow() {
    let (directory, mut table) = (directory(1), table());
    for round in 0..200 {
        let (zone, delay) = if round % 3 == 0 { ("c", 80) } else { ("a", 0) };
        let number = u16::try_from(round % u64::from(SERVERS)).expect("a small number");
        sample(&mut table, round * 500, zone, number, 150 + delay);
        table.refresh(at(round * 500), &directory);
        assert!(table.take_outgoing(at(round * 500)).is_empty(), "{round}");
    }
}

/// Guards against a slow server that is only seen after its answers, and against chatter.
#[test]
fn late_answers_are_sent_once_and_messages_are_spaced() {
    let (directory, mut table) = (directory(1), table());
    for round in 0..20 {
        sample(&mut table, round * 500, "a", 1, 150);
    }
    table.refresh(at(10_000), &directory);
    assert!(table.take_outgoing(at(10_000)).is_empty());
    sample(&mut table, 10_100, "a", 2, 600);
    let sent = table.take_outgoing(at(10_100));
    assert_eq!(sent.len(), 1);
    assert!(sent[0].estimate.pace > 3.0, "{sent:?}");
    sample(&mut table, 10_200, "a", 3, 600);
    assert!(table.take_outgoing(at(10_500)).is_empty(), "too early");
    assert_eq!(table.take_outgoing(at(10_600)).len(), 1);
    assert!(table.take_outgoing(at(11_100)).is_empty(), "unchanged");
    assert_eq!(table.snapshot(at(11_100)).len(), 2);
}

/// Guards against waiting for the answer of a slow server before it counts as slow.
#[test]
fn a_request_without_an_answer_is_late_in_time() {
    let mut table = table();
    for round in 0..20 {
        sample(&mut table, round * 500, "a", 1, 150);
    }
    let servers = [incarnation(2)];
    let overdue = |table: &mut CapacityTable, millis: u64| {
        let sample = Sample {
            service: &service(),
            zone: &ZoneName::from("a"),
            servers: &servers,
            busy: 4,
            took: Duration::from_millis(millis),
        };
        table.record_overdue(at(10_000 + millis), &sample, Some(NOMINAL))
    };
    assert!(!overdue(&mut table, 250));
    assert!(overdue(&mut table, 400));
    assert_eq!(table.take_outgoing(at(10_400)).len(), 1);
}

/// Guards against blame of sound engines for a prompt that one slow engine delays.
#[test]
fn a_late_prompt_on_several_engines_is_explained_by_the_slow_one() {
    let (directory, mut table) = (directory(1), table());
    for round in 0..20 {
        sample(&mut table, round * 500, "a", 1, 150);
    }
    for observer in 0..3 {
        tell(&mut table, observer, 5, 4.0, at(10_000));
    }
    table.refresh(at(10_000), &directory);
    let servers: Vec<_> = (3..8).map(incarnation).collect();
    let late = Sample {
        service: &service(),
        zone: &ZoneName::from("a"),
        servers: &servers,
        busy: 4,
        took: Duration::from_millis(600),
    };
    table.record_prompt(at(10_100), &late, NOMINAL);
    let sent = table.take_outgoing(at(10_100));
    let blamed: Vec<_> = sent.iter().map(|r| r.server.server.clone()).collect();
    assert_eq!(blamed, [ServerId::from("a-5")]);
}

/// Guards against a VM that starts or was cut off and has to learn everything by itself.
#[test]
fn a_vm_that_links_begins_with_the_estimates_of_the_others() {
    let (directory, mut joined) = (directory(1), table());
    for observer in ["vm-1", "vm-2"] {
        let mut other = CapacityTable::new(VmId::from(observer));
        for round in 0..20 {
            sample(&mut other, round * 500, "a", 1, 150);
        }
        sample(&mut other, 10_000, "a", 2, 600);
        let now = at(11_000);
        joined.receive(now, &VmId::from(observer), other.snapshot(now));
    }
    joined.refresh(at(11_000), &directory);
    assert!(pace(&joined, 2) > 3.0);
    assert_eq!(joined.learned().iter().count(), 1);
}
