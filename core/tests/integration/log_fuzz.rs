//! Stateful fuzzing of the control log against a simple oracle.

use std::panic::{AssertUnwindSafe, catch_unwind};

use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::prop_oneof;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use crate::util::{Event, Plant, Sim, second};

/// Cases of a run; a longer run sets `MERLIN_FUZZ_CASES`.
const CASES: u32 = 1500;
/// Seed of the run; `MERLIN_FUZZ_SEED` sets another one.
const SEED: u64 = 20_261_203;

fn from_environment<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn runner() -> TestRunner {
    let seed: u64 = from_environment("MERLIN_FUZZ_SEED", SEED);
    let cases = from_environment("MERLIN_FUZZ_CASES", CASES);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => (1..30_u16).prop_map(Event::Run),
        5 => (30..200_u16).prop_map(Event::Run),
        1 => any::<bool>().prop_map(|_| Event::PowerLoss),
        2 => any::<u8>().prop_map(Event::Crash),
        6 => any::<u8>().prop_map(Event::Restart),
        2 => any::<u8>().prop_map(Event::LoseDisk),
        2 => (0..32_u8).prop_map(Event::Cut),
        2 => any::<bool>().prop_map(|_| Event::Heal),
        1 => (any::<u8>(), 1..30_u8).prop_map(|(host, steps)| Event::Freeze(host, steps)),
        5 => (0..12_u8, any::<bool>()).prop_map(|(n, other)| Event::Publish(n, other)),
        4 => (0..6_u8).prop_map(Event::Claim),
        1 => any::<bool>().prop_map(|_| Event::HandOver),
        1 => any::<u8>().prop_map(Event::Compact),
    ]
}

fn play(replicas: u8, seed: u64, plant: Plant, events: &[Event]) -> Result<(), String> {
    let mut sim = Sim::new(replicas, seed, plant);
    sim.happen(second())?;
    sim.happen(second())?;
    for event in events {
        sim.happen(*event)?;
    }
    sim.settle()
}

fn fuzz(replicas: u8) {
    let input = (any::<u64>(), vec(event(), 10..60));
    let result = runner().run(&input, |(seed, events)| {
        play(replicas, seed, Plant::Nothing, &events).map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn three_replicas_agree_whatever_happens() {
    fuzz(3);
}

#[test]
fn five_replicas_agree_whatever_happens() {
    fuzz(5);
}

/// Whether the oracle sees a planted fault in any of the runner's cases.
fn catches(plant: Plant) -> bool {
    let input = (any::<u64>(), vec(event(), 30..60));
    let result = runner().run(&input, |(seed, events)| {
        // A broken invariant of the replicas counts as seen too.
        let played = catch_unwind(AssertUnwindSafe(|| play(3, seed, plant, &events)));
        match played {
            Ok(Ok(())) => Ok(()),
            Ok(Err(fault)) => Err(TestCaseError::fail(fault)),
            Err(_) => Err(TestCaseError::fail("an invariant broke")),
        }
    });
    result.is_err()
}

#[test]
fn the_oracle_sees_messages_sent_before_the_sync() {
    assert!(catches(Plant::SendUnsynced));
}

#[test]
fn the_oracle_sees_a_new_disk_under_the_old_identity() {
    assert!(catches(Plant::KeepIdentity));
}

/// Found by the fuzzing: a learner whose promotion was lost with its leader stopped introducing
/// itself, and no later leader replicated to it.
#[test]
fn a_learner_whose_promotion_was_lost_is_taken_in_again() {
    let events = [
        Event::LoseDisk(1),
        Event::Cut(28),
        Event::Run(73),
        Event::Cut(17),
        Event::Run(1),
        Event::PowerLoss,
    ];
    assert_eq!(
        play(5, 10_559_761_969_213_486_560, Plant::Nothing, &events),
        Ok(())
    );
}

/// Found by the fuzzing: a snapshot that came late made a replica drop entries after it that it had
/// acknowledged, and the leader never sent them again.
#[test]
fn a_late_snapshot_does_not_drop_acknowledged_entries() {
    let events = [
        Event::LoseDisk(0),
        Event::Publish(0, false),
        Event::Run(6),
        Event::Publish(0, false),
        Event::Publish(0, false),
        Event::Run(30),
        Event::Compact(2),
        Event::Run(1),
        Event::Crash(1),
    ];
    assert_eq!(
        play(3, 5_323_537_453_609_449_007, Plant::Nothing, &events),
        Ok(())
    );
}

/// Publishes a number each second until it is accepted, for a minute at most.
fn publish_until_accepted(sim: &mut Sim, number: u8, seed: u64) {
    for _ in 0..60 {
        for event in [Event::Publish(number, false), second()] {
            assert_eq!(sim.happen(event), Ok(()), "seed {seed}");
        }
        if sim.accepted_number() == Some(u64::from(number)) {
            return;
        }
    }
    panic!("seed {seed}: {number} is not accepted within a minute");
}

/// A sync that takes longer than an election must neither keep a candidate from its lead nor take it
/// from a leader whose voters answer late.
#[test]
fn disks_slower_than_an_election_do_not_stop_the_log() {
    for seed in 0..20 {
        let mut sim = Sim::new(3, seed, Plant::Nothing);
        sim.set_disks(1_000..2_000);
        publish_until_accepted(&mut sim, 1, seed);
        let crashed = u8::try_from(seed % 3).expect("a replica");
        assert_eq!(sim.happen(Event::Crash(crashed)), Ok(()), "seed {seed}");
        publish_until_accepted(&mut sim, 2, seed);
        assert_eq!(sim.settle(), Ok(()), "seed {seed}");
    }
}
