//! The bound on requests to cold servers, in simulations of many VMs under several times that load.

use fastrand::Rng;
use merlinrudder_core::cold::plan::{ColdBounds, ColdRule, Plan};
use merlinrudder_core::directory::ServerRecord;
use merlinrudder_core::names::VmId;

use crate::util::cold_sim::{
    BOUND, ColdSim, News, START_MS, fullest_second, others, report, server, vm_id,
};

/// Servers of the first customer.
const SERVERS: u16 = 69;
/// Cold time of the servers, in milliseconds.
const COLD_MS: u64 = 3_000;
/// Calls a second of each VM at which the VMs have several times what the cold servers take.
const OVERLOAD: f64 = 50.0;

fn whole_views(vms: usize) -> Vec<Vec<VmId>> {
    (0..vms).map(|vm| others(vm, vms)).collect()
}

fn servers() -> Vec<ServerRecord> {
    (0..SERVERS).map(server).collect()
}

/// Checks the bound at each server in a span, and returns the calls that arrived at all of them.
fn assert_bound(sim: &ColdSim, servers: &[ServerRecord], from: u64, to: u64) -> usize {
    let mut all = 0;
    for record in servers {
        let times = sim.arrived(&record.id, from, to);
        let fullest = fullest_second(&times);
        assert!(
            fullest <= BOUND,
            "{fullest} calls in a second at {}",
            record.id
        );
        all += times.len();
    }
    all
}

/// Checks that each server gets calls throughout its cold time, and that callers get most of the rate.
fn assert_used(sim: &ColdSim, servers: &[ServerRecord], least_share: f64) {
    let (from, to) = (START_MS, START_MS + COLD_MS);
    for record in servers {
        let calls = sim.arrived(&record.id, from, to).len();
        assert!(calls >= 10, "{calls} calls in 3 s at {}", record.id);
    }
    let all: usize = servers
        .iter()
        .map(|record| sim.arrived(&record.id, from, to).len())
        .sum();
    let rate = 17.0 / 1.25 * 3.0 * f64::from(SERVERS);
    let share = f64::from(u32::try_from(all).expect("few calls")) / rate;
    assert!(share >= least_share, "{share} of the rate is used");
}

/// Plays a start of all servers at once; VMs hear of each within `delay_ms`.
fn play_cold_start(views: Vec<Vec<VmId>>, seed: u64, delay_ms: u64) -> ColdSim {
    let mut sim = ColdSim::new(views, OVERLOAD, seed);
    for record in servers() {
        sim.add_server(&record, COLD_MS, delay_ms);
    }
    sim.run(COLD_MS);
    sim
}

#[test]
fn a_cold_server_stays_under_the_bound_with_the_vms_of_both_customers() {
    for vms in [75, 145] {
        let sim = play_cold_start(whole_views(vms), 1, 50);
        assert_bound(&sim, &servers(), START_MS, START_MS + COLD_MS);
        assert_used(&sim, &servers(), 0.9);
    }
}

#[test]
fn a_cold_server_stays_under_the_bound_with_few_vms() {
    for vms in 1..=18 {
        let mut sim = ColdSim::new(whole_views(vms), 100.0, 2);
        let records: Vec<_> = (0..3).map(server).collect();
        for record in &records {
            sim.add_server(record, COLD_MS, 20);
        }
        sim.run(COLD_MS);
        let calls = assert_bound(&sim, &records, START_MS, START_MS + COLD_MS);
        // 17 a second, spaced by 1.25 times as much, at three servers for 3 s: 122 calls.
        assert!(calls >= 90, "{calls} calls with {vms} VMs");
    }
}

/// VMs that are cut off from each other send without hearing what others send.
#[test]
fn vms_that_are_cut_off_and_hear_late_keep_the_bound() {
    for seed in 0..3 {
        let sim = play_cold_start(whole_views(75), seed, 900);
        assert_bound(&sim, &servers(), START_MS, START_MS + COLD_MS);
        assert_used(&sim, &servers(), 0.5);
    }
}

/// Guards against senders beyond the plan, where VMs rank by different lists.
#[test]
fn vms_whose_number_of_vms_is_a_tenth_off_keep_the_bound() {
    for (vms, seed) in [(75, 1), (75, 2), (145, 3), (145, 4), (20, 5), (14, 6)] {
        let mut rng = Rng::with_seed(seed);
        for is_over in [false, true] {
            let views = (0..vms).map(|vm| {
                let known = others(vm, vms);
                if is_over {
                    let unknown = (0..vms / 10).map(|n| vm_id(1000 + vm * 100 + n));
                    known.into_iter().chain(unknown).collect()
                } else {
                    known.into_iter().filter(|_| rng.u8(0..10) > 0).collect()
                }
            });
            let sim = play_cold_start(views.collect(), seed, 50);
            assert_bound(&sim, &servers(), START_MS, START_MS + COLD_MS);
        }
    }
}

#[test]
fn a_zone_that_returns_cold_attracts_no_burst_and_costs_no_caller_an_answer() {
    // 122 calls a second, and several times what the cold servers take.
    for demand in [122.0 / 145.0, OVERLOAD] {
        let mut sim = ColdSim::new(whole_views(145), demand, 7);
        let (cold, warm): (Vec<_>, Vec<_>) =
            servers().into_iter().partition(|s| s.zone.as_str() == "z2");
        for record in &warm {
            sim.add_server(record, 0, 20);
        }
        sim.run(2_000);
        sim.refused = 0;
        let back = sim.now;
        for record in &cold {
            sim.add_server(record, COLD_MS, 50);
        }
        sim.run(COLD_MS + 3_000);
        // The cold time and the two halves of the ramp: the spacing halves twice.
        assert_bound(&sim, &cold, back, back + COLD_MS);
        for (from, to, most) in [(0, 500, BOUND), (500, 1000, 2 * BOUND)] {
            let end = back + COLD_MS;
            for record in &cold {
                let calls = sim.arrived(&record.id, end + from, end + to).len();
                assert!(calls <= most, "{calls} calls at {from} after the cold time");
            }
        }
        assert_eq!(sim.refused, 0, "warm servers take what cold ones may not");
        let later = assert_arrivals(&sim, &cold, sim.now - 1_500, sim.now);
        assert!(
            later > 0,
            "no call reaches the returned zone after its ramp"
        );
    }
}

fn assert_arrivals(sim: &ColdSim, servers: &[ServerRecord], from: u64, to: u64) -> usize {
    let arrived = servers.iter().map(|s| sim.arrived(&s.id, from, to).len());
    arrived.sum()
}

/// Guards against warm servers staying out of use after their cold time.
#[test]
fn all_servers_are_used_freely_after_their_cold_time() {
    let mut sim = play_cold_start(whole_views(75), 3, 50);
    sim.run(2_000);
    sim.refused = 0;
    let from = sim.now;
    sim.run(1_000);
    assert_eq!(sim.refused, 0);
    for record in servers() {
        assert!(!sim.arrived(&record.id, from, sim.now).is_empty());
        assert!(!sim.is_cold(0, &record));
    }
}

/// A server that becomes cold again is held back from when VMs hear of it.
#[test]
fn a_server_that_becomes_cold_again_is_held_back() {
    let mut sim = ColdSim::new(whole_views(145), OVERLOAD, 8);
    for record in servers() {
        sim.add_server(&record, 0, 20);
    }
    sim.run(1_000);
    let again: Vec<_> = servers().into_iter().take(5).collect();
    for record in &again {
        for vm in 0..145 {
            let told = News::Report(report(record, 9, COLD_MS));
            sim.tell(vm, told);
        }
    }
    let from = sim.now + 200;
    sim.run(COLD_MS);
    let to = from + COLD_MS - 200;
    assert_bound(&sim, &again, from, to);
    for record in &again {
        // The warm servers take most, as they have no spacing.
        let calls = sim.arrived(&record.id, from, to).len();
        assert!(calls > 0, "{} is shut out", record.id);
    }
}

/// Each second holds the bound whatever the settings leave, with a margin for numbers that differ.
#[test]
fn a_plan_fits_the_settings_of_every_deployment() {
    for per_second in [0.3, 1.0, 2.5, 17.0, 60.0] {
        for (overage, slack) in [(1.5, 5.0), (1.0, 0.0), (0.5, 0.0), (1.1, 2.0), (0.0, 3.0)] {
            let bounds = ColdBounds { overage, slack };
            let rule = ColdRule {
                time: std::time::Duration::from_secs(3),
                per_second,
            };
            let allowed = bounds.requests(&rule);
            for vms in 1..200 {
                let Some(plan) = Plan::new(&rule, &bounds, vms) else {
                    assert!(allowed < 2.0, "no plan for {allowed} requests a second");
                    continue;
                };
                let in_span = (1.2 / plan.spacing.as_secs_f64()).ceil();
                let senders = f64::from(u32::try_from(plan.senders).expect("few VMs"));
                assert!(
                    senders * in_span * 1.1 <= allowed,
                    "{vms} VMs: {plan:?} for {allowed} requests a second"
                );
            }
        }
    }
}
