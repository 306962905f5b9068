//! What callers get before servers of different and changing speed, with capacities learned or not.

use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::rank::ServiceRanks;

use crate::util::burst_sim::{BurstSim, Kind, Load, Outcome, Record, Trouble};
use crate::util::call_sim::{self, CallLoad};
use crate::util::learning_sim::{EntryVms, LearningSim, Policy};

/// Start and end of the time in which a fifth of the engines is slow, in milliseconds.
const SLOW: (u64, u64) = (4_000, 12_000);
/// Length of a play in milliseconds.
const LENGTH: u64 = 14_000;
/// Factor on the times of a slow engine.
const SLOW_FACTOR: f64 = 4.0;

const PROFILE: EngineProfile = EngineProfile {
    slots: 12,
    kv_capacity: 382_500,
    pass_steps: 52.0,
    step_ms: 0.925,
    sequence_ms: 0.004_83,
    context_ms: 0.002_54,
    prefill_speed: 256.0,
    attention_ms: 0.0917,
    prefill_chunk: 2048.0,
    mean_answer: 1300,
};

/// Returns the kinds of prompts with these objectives in milliseconds.
fn kinds(objectives: [u64; 3]) -> Vec<Kind> {
    let kind = |mean, spread, max, events, objective_ms, pause_ms, value| Kind {
        mean,
        spread,
        max,
        events,
        objective_ms,
        pause_ms,
        deadline_ms: 15_000,
        value,
        rank: 1,
    };
    vec![
        kind(5_000.0, 0.9, 24_000.0, 31, objectives[0], 250, 1.3),
        kind(45_000.0, 0.5, 110_000.0, 18, objectives[1], 600, 3.3),
        kind(300_000.0, 0.55, 1_000_000.0, 15, objectives[2], 1000, 20.0),
    ]
}

/// Returns the load of 69 even engines before 75 entry VMs.
fn first() -> Load {
    load(69, 75, [250, 1500, 8000], [88.0, 14.0, 2.4])
}

/// Returns the load of 78 even engines before 145 entry VMs.
fn second() -> Load {
    load(78, 145, [300, 1500, 4000], [117.0, 10.7, 3.2])
}

fn load(engines: usize, vms: usize, objectives: [u64; 3], rates: [f64; 3]) -> Load {
    Load {
        engines,
        profile: PROFILE,
        kinds: kinds(objectives),
        phases: vec![(LENGTH, rates.to_vec())],
        troubles: Vec::new(),
        entry_vms: EntryVms {
            count: vms,
            ..EntryVms::default()
        },
        knee: None,
        ranks: ServiceRanks::default(),
    }
}

/// Makes a fifth of the engines slow, spread over the zones and over their order.
fn with_slow_fifth(mut load: Load) -> Load {
    let slow = (0..load.engines).step_by(5);
    load.troubles = slow
        .map(|first_engine| Trouble {
            first_engine,
            engines: 1,
            from_ms: SLOW.0,
            to_ms: SLOW.1,
            pace: SLOW_FACTOR,
        })
        .collect();
    load
}

/// What callers got.
#[derive(Clone, Copy, Debug)]
struct Summary {
    /// Share of short prompts whose first token and pauses met their objectives.
    shorts: f64,
    /// The same of the longest kind.
    longs: f64,
    /// Share of the value of all requests that their callers got.
    worth: f64,
}

impl Summary {
    fn mean(plays: &[Self]) -> Self {
        let mean =
            |value: fn(&Self) -> f64| plays.iter().map(value).sum::<f64>() / count(plays.len());
        Self {
            shorts: mean(|summary| summary.shorts),
            longs: mean(|summary| summary.longs),
            worth: mean(|summary| summary.worth),
        }
    }
}

fn share(records: &[Record], kind: usize) -> f64 {
    let of_kind: Vec<_> = records.iter().filter(|r| r.kind == kind).collect();
    let in_time = of_kind.iter().filter(|r| r.outcome == Outcome::InTime);
    count(in_time.count()) / count(of_kind.len())
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("a small count"))
}

/// Plays a load, and sums up the requests that came between two times.
fn play(name: &str, load: &Load, seed: u64, between: (u64, u64)) -> (Summary, LearningSim) {
    let (records, learned) = BurstSim::new(load.clone(), seed).play();
    let came = |r: &&Record| (between.0..between.1).contains(&r.came_at);
    let records: Vec<_> = records.iter().filter(came).copied().collect();
    let gained: f64 = records.iter().map(|record| record.gained).sum();
    let value: f64 = records.iter().map(|record| record.value).sum();
    let summary = Summary {
        shorts: share(&records, 0),
        longs: share(&records, 2),
        worth: gained / value,
    };
    println!(
        "{name}: shorts {:.3}, longs {:.3}, worth {:.3}, sent {:?}, slow {:?}",
        summary.shorts, summary.longs, summary.worth, learned.sent, learned.slow
    );
    (summary, learned)
}

/// Plays a load without and with learned capacities, and returns the means over `seeds`.
fn compare(name: &str, load: &Load, between: (u64, u64), seeds: u64) -> (Summary, Summary) {
    let mean = |learns: bool| {
        let label = if learns { "after" } else { "before" };
        let mut load = load.clone();
        load.entry_vms.learns = learns;
        let plays = (1..=seeds).map(|seed| {
            let name = format!("{name}, {label}, seed {seed}");
            play(&name, &load, seed, between).0
        });
        Summary::mean(&plays.collect::<Vec<_>>())
    };
    (mean(false), mean(true))
}

/// Asserts that short prompts are in time as often as before, by up to 0.01.
fn assert_not_worse((before, after): (Summary, Summary)) {
    assert!(
        after.shorts >= before.shorts - 0.01,
        "{before:?}, {after:?}"
    );
}

/// Guards against engines that turn slow and keep their share of the load.
#[test]
fn a_fifth_of_69_engines_slow() {
    let load = with_slow_fifth(first());
    let (before, after) = compare("69 slow", &load, SLOW, 2);
    assert!(after.worth >= before.worth + 0.01, "{before:?}, {after:?}");
    assert!(after.shorts >= before.shorts, "{before:?}, {after:?}");
    for policy in [Policy::FixedWeights, Policy::LeastLoaded] {
        let mut naive = load.clone();
        naive.entry_vms.policy = policy;
        let (other, _) = play(&format!("69 slow, {policy:?}"), &naive, 1, SLOW);
        assert!(
            after.worth > other.worth,
            "{policy:?}: {other:?}, {after:?}"
        );
    }
}

/// Guards against engines that turn slow and keep their share of the load.
#[test]
fn a_fifth_of_78_engines_slow() {
    let (before, after) = compare("78 slow", &with_slow_fifth(second()), SLOW, 2);
    assert!(after.worth >= before.worth + 0.01, "{before:?}, {after:?}");
    assert!(after.shorts >= before.shorts, "{before:?}, {after:?}");
}

/// Guards against errors of the prediction being taken for slow engines.
#[test]
fn even_engines_are_used_as_before() {
    assert_not_worse(compare("69 even", &first(), (0, LENGTH), 1));
    assert_not_worse(compare("78 even", &second(), (0, LENGTH), 1));
}

/// Guards against observers that report nonsense, lose packets or are far from a zone.
#[test]
fn even_engines_with_wrong_observers_are_used_as_before() {
    let mut load = first();
    load.entry_vms.liars = 7;
    load.entry_vms.lossy = 15;
    load.entry_vms.far_ms = 60;
    assert_not_worse(compare("69 even, wrong observers", &load, (0, LENGTH), 1));
}

/// Guards against one observer in ten that hides slow engines, and a VM that hears nothing.
#[test]
fn slow_engines_are_found_beside_wrong_observers() {
    let mut load = with_slow_fifth(first());
    load.entry_vms.liars = 7;
    load.entry_vms.cut = (2_000, 8_000);
    let (before, after) = compare("69 slow, one liar in ten", &load, SLOW, 1);
    assert!(after.worth >= before.worth, "{before:?}, {after:?}");
}

/// Guards against engines that are filled although they slow down long before that.
#[test]
fn engines_that_slow_with_load() {
    let mut load = first();
    load.knee = Some((23, 5, 3.0));
    assert_not_worse(compare("69, a third with a knee", &load, (0, LENGTH), 1));
}

/// Guards against estimates that are too old for speeds that change all the time.
#[test]
fn speeds_that_drift() {
    let mut load = first();
    for first_engine in 0..load.engines {
        for second in 0..LENGTH / 1000 {
            let phase =
                count(first_engine) + f64::from(u32::try_from(second).expect("small")) / 8.0;
            load.troubles.push(Trouble {
                first_engine,
                engines: 1,
                from_ms: second * 1000 + 1,
                to_ms: second * 1000 + 1001,
                pace: 1.5 + phase.sin(),
            });
        }
    }
    assert_not_worse(compare("69 drifting", &load, (0, LENGTH), 1));
}

/// Returns the share of calls in time while some servers are slow, and while none is.
fn play_calls(load: CallLoad, objective: u64) -> (f64, f64) {
    let (calls, _) = call_sim::play(load, 1);
    let in_time = |from: u64, to: u64| {
        let came: Vec<_> = calls.iter().filter(|c| (from..to).contains(&c.0)).collect();
        count(came.iter().filter(|c| c.1 <= objective).count()) / count(came.len())
    };
    let shares = (
        in_time(load.slow_from, load.slow_to),
        in_time(0, load.slow_from),
    );
    println!("{} servers, {load:?}: {shares:.3?}", load.servers);
    shares
}

/// Guards against application servers without a model that keep their share while slow.
#[test]
fn calls_to_slow_application_servers() {
    for (servers, vms, rate, slow, objective) in [(3, 75, 18.0, 1, 120), (7, 145, 16.0, 2, 300)] {
        let play = |policy, learns| {
            let vms = EntryVms {
                count: vms,
                policy,
                learns,
                ..EntryVms::default()
            };
            let load = CallLoad {
                servers,
                vms,
                rate,
                mean_ms: 50.0,
                slow,
                slow_from: 100_000,
                slow_to: 108_000,
                slow_factor: 4.0,
                length: 120_000,
            };
            play_calls(load, objective)
        };
        let (before, even_before) = play(Policy::Predicted, false);
        let (after, even_after) = play(Policy::Predicted, true);
        assert!(after >= before + 0.05, "{servers}: {before}, {after}");
        assert!(even_after >= even_before - 0.01, "{servers}: {even_after}");
        for policy in [Policy::FixedWeights, Policy::LeastLoaded] {
            assert!(after >= play(policy, false).0, "{servers}, {policy:?}");
        }
    }
}
