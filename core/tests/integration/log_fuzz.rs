//! Stateful fuzzing of the control log, with invariants checked by an oracle.

use std::panic::{AssertUnwindSafe, catch_unwind};

use merlinrudder_core::consensus::LOST_VOTER_TIMEOUT;
use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::prop_oneof;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use crate::util::{Event, InjectedFault, Sim, one_second};

/// Default number of cases; `MERLIN_FUZZ_CASES` overrides it.
const CASES: u32 = 1500;
/// Default seed; `MERLIN_FUZZ_SEED` overrides it.
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

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => (1..30_u16).prop_map(Event::Run),
        5 => (30..200_u16).prop_map(Event::Run),
        1 => any::<bool>().prop_map(|_| Event::PowerLoss),
        2 => any::<u8>().prop_map(Event::Crash),
        6 => any::<u8>().prop_map(Event::Restart),
        2 => any::<u8>().prop_map(Event::LoseDisk),
        2 => (0..32_u8).prop_map(Event::Partition),
        2 => any::<bool>().prop_map(|_| Event::Heal),
        1 => (any::<u8>(), 1..30_u8).prop_map(|(host, steps)| Event::Pause(host, steps)),
        2 => (any::<u8>(), 1..60_u8).prop_map(|(host, steps)| Event::FillDisk(host, steps)),
        5 => (0..12_u8, any::<bool>()).prop_map(|(n, alternative)| Event::Publish(n, alternative)),
        4 => (0..6_u8).prop_map(Event::Claim),
        1 => any::<bool>().prop_map(|_| Event::TransferLeadership),
        1 => any::<u8>().prop_map(Event::Compact),
    ]
}

fn run_events(
    replicas: u8,
    seed: u64,
    fault: InjectedFault,
    events: &[Event],
) -> Result<(), String> {
    let mut sim = Sim::new(replicas, seed, fault);
    sim.run_event(one_second())?;
    sim.run_event(one_second())?;
    for event in events {
        sim.run_event(*event)?;
    }
    sim.heal_and_check()
}

fn fuzz(replicas: u8) {
    let input = (any::<u64>(), vec(any_event(), 10..60));
    let result = runner().run(&input, |(seed, events)| {
        run_events(replicas, seed, InjectedFault::Nothing, &events).map_err(TestCaseError::fail)
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

/// Whether any of the runner's cases detects an injected fault.
fn detects(fault: InjectedFault) -> bool {
    let input = (any::<u64>(), vec(any_event(), 30..60));
    let result = runner().run(&input, |(seed, events)| {
        // A failed assertion in a replica counts as detected too.
        let outcome = catch_unwind(AssertUnwindSafe(|| run_events(3, seed, fault, &events)));
        match outcome {
            Ok(Ok(())) => Ok(()),
            Ok(Err(violation)) => Err(TestCaseError::fail(violation)),
            Err(_) => Err(TestCaseError::fail("a replica panicked")),
        }
    });
    result.is_err()
}

#[test]
fn the_oracle_detects_messages_sent_before_the_sync() {
    assert!(detects(InjectedFault::SendBeforeSync));
}

#[test]
fn the_oracle_detects_a_new_disk_with_the_old_incarnation() {
    assert!(detects(InjectedFault::ReuseIncarnation));
}

/// Guards against a learner that no leader replicates to any more.
///
/// The entry that made it a voter was lost with its leader. It had stopped introducing itself, so
/// no later leader knew it. Found by the fuzzing.
#[test]
fn a_learner_whose_promotion_was_lost_is_replicated_to_again() {
    let events = [
        Event::LoseDisk(1),
        Event::Partition(28),
        Event::Run(73),
        Event::Partition(17),
        Event::Run(1),
        Event::PowerLoss,
    ];
    assert_eq!(
        run_events(
            5,
            10_559_761_969_213_486_560,
            InjectedFault::Nothing,
            &events
        ),
        Ok(())
    );
}

/// Guards against a delayed snapshot that drops acknowledged entries after it.
///
/// The leader never sent the dropped entries again. Found by the fuzzing.
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
        run_events(
            3,
            5_323_537_453_609_449_007,
            InjectedFault::Nothing,
            &events
        ),
        Ok(())
    );
}

/// Publishes a manifest every second until it is accepted, for at most a minute.
fn publish_until_accepted(sim: &mut Sim, number: u8, seed: u64) {
    for _ in 0..60 {
        for event in [Event::Publish(number, false), one_second()] {
            assert_eq!(sim.run_event(event), Ok(()), "seed {seed}");
        }
        if sim.highest_accepted() == Some(u64::from(number)) {
            return;
        }
    }
    panic!("seed {seed}: manifest {number} was not accepted within a minute");
}

/// Guards against syncs longer than an election timeout that leave the log leaderless.
///
/// They must neither keep a candidate from being elected nor depose a leader whose voters reply
/// late, be it that they sync entries or only a vote.
#[test]
fn disks_slower_than_an_election_do_not_stop_the_log() {
    for seed in 0..400 {
        let mut sim = Sim::new(3, seed, InjectedFault::Nothing);
        sim.set_sync_times(1_000..2_000);
        publish_until_accepted(&mut sim, 1, seed);
        let crashed = u8::try_from(seed % 3).expect("a replica");
        assert_eq!(sim.run_event(Event::Crash(crashed)), Ok(()), "seed {seed}");
        publish_until_accepted(&mut sim, 2, seed);
        assert_eq!(sim.heal_and_check(), Ok(()), "seed {seed}");
    }
}

/// Guards against changes that are refused while or after disks are full one after the other.
#[test]
fn changes_are_accepted_while_one_disk_after_the_other_is_full() {
    for seed in 0..50 {
        let mut sim = Sim::new(3, seed, InjectedFault::Nothing);
        publish_until_accepted(&mut sim, 1, seed);
        for number in 2..9 {
            let events = [
                Event::FillDisk(number, 50),
                Event::Run(20),
                Event::Compact(number),
                Event::Compact(number + 1),
            ];
            for event in events {
                assert_eq!(sim.run_event(event), Ok(()), "seed {seed}");
            }
            let before = sim.seconds();
            publish_until_accepted(&mut sim, number, seed);
            let took = sim.seconds() - before;
            assert!(took <= 4, "seed {seed}: {took} s with one full disk");
            assert_eq!(sim.run_event(Event::Run(600)), Ok(()), "seed {seed}");
        }
        assert_eq!(sim.heal_and_check(), Ok(()), "seed {seed}");
    }
}

/// Guards against a voter that counts as lost while its disk has no room for a snapshot.
#[test]
fn a_voter_that_cannot_sync_a_snapshot_is_not_taken_for_lost() {
    for seed in 0..50 {
        let mut sim = Sim::new(3, seed, InjectedFault::Nothing);
        sim.set_lossless();
        publish_until_accepted(&mut sim, 1, seed);
        let run = |sim: &mut Sim, event| assert_eq!(sim.run_event(event), Ok(()), "seed {seed}");
        run(&mut sim, Event::Crash(2));
        publish_until_accepted(&mut sim, 2, seed);
        run(&mut sim, one_second());
        run(&mut sim, Event::Compact(0));
        run(&mut sim, Event::Compact(1));
        run(&mut sim, Event::FillDisk(2, 120));
        run(&mut sim, Event::Restart(2));
        run(&mut sim, one_second());
        for _ in 0..100 {
            run(&mut sim, Event::Run(10));
            let silence = sim.longest_silence().expect("a leader");
            assert!(silence < LOST_VOTER_TIMEOUT / 2, "seed {seed}: {silence:?}");
        }
        assert_eq!(sim.heal_and_check(), Ok(()), "seed {seed}");
    }
}

/// Returns the time from the start of `voters` replicas, all but `missing`, until one leads.
///
/// The time is in steps of 10 ms. All lost power before; packets take up to 40 ms.
fn steps_to_leader(voters: u8, missing: u8, seed: u64) -> u32 {
    let mut sim = Sim::new(voters, seed, InjectedFault::Nothing);
    sim.set_lossless();
    sim.set_sync_times(1..10);
    let mut events = vec![one_second(), one_second(), one_second(), Event::PowerLoss];
    events.push(Event::Run(50));
    events.extend((missing..voters).map(Event::Restart));
    for event in events {
        assert_eq!(sim.run_event(event), Ok(()), "seed {seed}");
    }
    let mut steps = 0;
    while !sim.has_leader() {
        assert_eq!(sim.run_event(Event::Run(1)), Ok(()), "seed {seed}");
        steps += 1;
        assert!(steps < 2_000, "seed {seed}: nobody leads");
    }
    steps
}

/// Guards against callers that wait for a whole election timeout after a loss of all power.
///
/// Also where the voters that are left are just a quorum, so that a split vote elects nobody.
#[test]
fn a_leader_is_elected_soon_after_all_voters_start() {
    for (voters, missing) in [(3, 0), (3, 1), (5, 0), (5, 2), (6, 0), (6, 2)] {
        let steps: Vec<_> = (0..100)
            .map(|seed| steps_to_leader(voters, missing, seed))
            .collect();
        let in_time = steps.iter().filter(|steps| **steps <= 60).count();
        assert!(
            in_time >= 95,
            "{voters} voters, {missing} missing: {steps:?}"
        );
    }
}
