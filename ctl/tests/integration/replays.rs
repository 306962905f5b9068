//! Replays generated traces; the bounds are objectives of users and design.

use merlinrudder_core::manifest::Policy as DispatchPolicy;
use merlinrudder_ctl::commands::replay::engine_seconds;
use merlinrudder_ctl::replay::result::ReplayResult;
use merlinrudder_ctl::replay::trace::{Scenario, TraceOptions, generate_trace};
use merlinrudder_ctl::replay::{PlacementPolicy, ReplayOptions, replay};
use merlinrudder_fakes::engine::model::EngineConfig;

const ENGINES: usize = 16;
const SECONDS: u64 = 40;
const SEED: u64 = 1;

fn run(scenario: Scenario, load: f64, dispatch_policy: DispatchPolicy) -> ReplayResult {
    let cost = engine_seconds;
    let options = TraceOptions {
        scenario,
        load,
        seconds: SECONDS,
        engines: ENGINES,
        cost,
        seed: SEED,
    };
    let trace = generate_trace(&options);
    let policy = PlacementPolicy::Dispatcher(dispatch_policy);
    let config = EngineConfig::default();
    replay(
        &trace,
        ReplayOptions {
            policy,
            engines: ENGINES,
            config,
            seed: SEED,
        },
    )
    .0
}

#[test]
fn long_prompts_complete_in_time_and_no_memory_leaks_at_80_percent_load() {
    for scenario in Scenario::ALL {
        for dispatch_policy in [DispatchPolicy::FIRST_TOKEN, DispatchPolicy::SHORT_SLOWDOWN] {
            let result = run(scenario, 0.8, dispatch_policy);
            let name = scenario.name();
            assert_eq!((result.unfinished, result.memory_left), (0, 0), "{name}");
            assert_eq!(
                result.long_prompts.0, result.long_prompts.1,
                "{name}: all long prompts complete in time"
            );
        }
    }
}

#[test]
fn retries_stay_within_10_percent_of_the_requests_when_engines_crash() {
    let result = run(Scenario::EngineLoss, 0.8, DispatchPolicy::FIRST_TOKEN);
    assert!(
        result.retry_percent > 0.0 && result.retry_percent <= 10.0,
        "{result:?}"
    );
    assert_eq!(
        result.completed, result.requests,
        "requests of crashed engines complete on other engines"
    );
}

#[test]
fn a_poison_request_sent_six_times_crashes_two_engines() {
    let result = run(Scenario::Poison, 0.8, DispatchPolicy::FIRST_TOKEN);
    assert_eq!(result.poisoned, 2);
    assert_eq!(
        result.completed, result.requests,
        "all other requests complete"
    );
}

#[test]
fn a_flood_of_one_customer_does_not_starve_the_others() {
    let result = run(Scenario::Flood, 0.8, DispatchPolicy::FIRST_TOKEN);
    assert!(result.fairness >= 0.95, "{result:?}");
}

#[test]
fn the_same_seed_gives_the_same_results() {
    let one = run(Scenario::CacheGaps, 0.8, DispatchPolicy::FIRST_TOKEN);
    let two = run(Scenario::CacheGaps, 0.8, DispatchPolicy::FIRST_TOKEN);
    assert_eq!(format!("{one:?}"), format!("{two:?}"));
}
