//! Ranks of requests: their weights, and what callers of each rank get in a burst.

use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::deployment::{CallKind, CustomerRule, RouteRule};
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::engine_placement::decision::{
    PlacementDecision, Pressure, decide_placement,
};
use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::engine_placement::{
    ExternalCost, Placement, PlacementRequest, prompt_value,
};
use merlinrudder_core::names::{CustomerName, ServerId, ServiceName, VmId};
use merlinrudder_core::rank::{ServiceRanks, Standing};
use merlinrudder_core::time::Moment;

use crate::fleets::{
    LONG as LONG_TOKENS, SHORT as SHORT_TOKENS, fleet, long, place, placement_request, profile,
    server,
};
use crate::util::burst_sim::{BurstSim, Kind, Load, Outcome, Record};
use crate::util::learning_sim::EntryVms;

/// Plays of the load, each with a seed of its own.
const PLAYS: u64 = 10;
/// Indices of the shortest and the longest kind.
const SHORT: usize = 0;
const LONG: usize = 2;
/// Largest loss of the least urgent rank, as a share of its requests.
const MAX_LOSS: f64 = 0.05;

fn route(rank: u8, objective: u64) -> RouteRule {
    RouteRule {
        name: Arc::from("r"),
        host: Arc::from("h"),
        prefix: Arc::from("/"),
        kind: CallKind::Stream {
            resumable: true,
            pause: Duration::from_millis(250),
        },
        timeout: Duration::from_secs(10),
        objective: Duration::from_millis(objective),
        priority: rank,
        targets: vec![(ServiceName::from("drafts"), 1)],
        max_attempts: 2,
        public: false,
    }
}

fn customer(priority: Option<u8>) -> CustomerRule {
    CustomerRule {
        name: CustomerName::from("c"),
        priority,
    }
}

fn assert_same(one: f64, other: f64) {
    assert!(one.to_bits() == other.to_bits(), "{one} {other}");
}

/// Guards against ranks that change anything for a service whose requests have the same rank.
#[test]
fn equal_ranks_weigh_exactly_one() {
    for rank in [0, 2, 9, 255] {
        let (route, customers) = (route(rank, 300), [customer(None), customer(Some(rank))]);
        let ranks = ServiceRanks::new([&route, &route].into_iter(), customers.iter());
        let standing = ranks.standing_of(&route, Some(&customers[1]));
        assert_eq!(standing, Standing::default());
        assert!(standing.weight.to_bits() == 1.0_f64.to_bits());
        let by_objectives = ranks.weight_by_objectives(route.objective, Duration::from_millis(250));
        assert!(by_objectives.to_bits() == 1.0_f64.to_bits());
    }
}

/// Guards against a difference that grows with the numbers or the count of ranks.
#[test]
fn only_the_order_of_ranks_counts() {
    let weights = |ranks: &[u8]| -> Vec<f64> {
        let service: ServiceRanks = ranks.iter().copied().collect();
        let standings = ranks.iter().map(|rank| service.standing(*rank));
        standings.map(|standing| standing.weight).collect()
    };
    assert_eq!(weights(&[0, 1, 2]), weights(&[3, 7, 200]));
    assert_eq!(
        weights(&[0, 1]),
        [weights(&[0, 1, 2])[0], weights(&[0, 1, 2])[2]]
    );
    let many = weights(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
    assert!(many.is_sorted_by(|more, less| more > less), "{many:?}");
    assert_same(many[0], weights(&[0, 1])[0]);
}

#[test]
fn the_rank_of_a_customer_goes_before_that_of_the_route() {
    let routes = [route(0, 300), route(1, 1500)];
    let customers = [customer(Some(2)), customer(None)];
    let ranks = ServiceRanks::new(routes.iter(), customers.iter());
    let standing = |route, customer| ranks.standing_of(route, customer);
    let weight = |route, customer| standing(route, customer).weight;
    let profile = first_profile();
    let priority = |route, customer| standing(route, customer).engine_priority(&profile, 5_000);
    assert!(weight(&routes[0], None) > weight(&routes[1], None));
    assert_eq!(
        standing(&routes[0], Some(&customers[1])),
        standing(&routes[0], None)
    );
    // At an engine the customer's rank counts, in the choice of engines the route's.
    assert!(priority(&routes[0], Some(&customers[0])) > priority(&routes[1], None));
    assert!(priority(&routes[0], None) < priority(&routes[1], None));
    assert_same(
        weight(&routes[0], Some(&customers[0])),
        weight(&routes[0], None),
    );
    let pause = Duration::from_millis(250);
    let placed = ranks.weight_by_objectives(Duration::from_micros(1_500_400), pause);
    assert_same(placed, weight(&routes[1], None));
    assert_same(
        ranks.weight_by_objectives(Duration::from_millis(900), pause),
        1.0,
    );
}

/// Guards against a short prompt that waits at an engine behind the prefill of a long one.
#[test]
fn a_short_prompt_of_the_most_urgent_rank_goes_before_longer_ones_at_an_engine() {
    let ranks: ServiceRanks = [0, 1, 2].into_iter().collect();
    let profile = first_profile();
    let priority = |rank, tokens| ranks.standing(rank).engine_priority(&profile, tokens);
    for short in [100, 5_000, 23_800] {
        for (rank, tokens) in [(1, 30_000), (1, 110_000), (2, 45_000), (2, 1_000_000)] {
            assert!(
                priority(0, short) < priority(rank, tokens),
                "{short} {rank} {tokens}"
            );
        }
    }
    assert!(priority(2, 1_000) < priority(0, 300_000));
    let equal = |tokens| Standing::default().engine_priority(&profile, tokens);
    assert_eq!([equal(5_000), equal(45_000), equal(300_000)], [2, 4, 6]);
}

/// Guards against decisions that leave out the weight.
#[test]
fn a_less_urgent_prompt_is_placed_later_than_a_more_urgent_one() {
    let placement = Placement {
        lead: ServerId::from("a-0"),
        helpers: Vec::new(),
        helper_tokens: 0,
        predicted_ttft: Duration::from_millis(100),
        nominal_ttft: Duration::from_millis(100),
        external_cost: ExternalCost {
            delays: prompt_value(LONG_TOKENS),
            pauses: 0.0,
        },
    };
    let pressure = Pressure {
        busy_fraction: 0.5,
        taken_fraction: 0.5,
    };
    let decide = |weight: f64| {
        let waited = Duration::from_secs(3);
        let request = PlacementRequest {
            weight,
            waited,
            ttft_objective: Duration::from_secs(10),
            ..long()
        };
        decide_placement(&profile(), &request, &placement, pressure)
    };
    assert!(matches!(decide(0.5), PlacementDecision::Refuse(_)));
    assert_eq!(decide(2.0), PlacementDecision::Place);
}

/// Guards against a weight of placed prompts that others do not have to weigh.
#[test]
fn an_engine_with_an_urgent_prompt_is_left_to_a_less_urgent_one() {
    let mut fleet = fleet(2);
    for (number, engine) in [(1, 0), (2, 1)] {
        let placed = PlacedPrompt {
            lead: server("a", engine).id,
            helpers: Vec::new(),
            helper_tokens: 0,
            prompt_tokens: SHORT_TOKENS,
            answer_tokens: 100,
            received_at: Moment::from_millis(800),
            ttft_objective: Duration::from_millis(300),
            pause_objective: Duration::from_millis(250),
            weight: if engine == 0 { 3.0 } else { 1.0 },
        };
        let key = PlacementKey {
            entry: VmId::from("entry"),
            number,
        };
        fleet.add_placement(Moment::from_millis(1000), &key, &profile(), &placed);
    }
    let (placement, _) = place(
        &mut fleet,
        Moment::from_millis(1000),
        3,
        &placement_request(11_000, 3000, 250),
    );
    assert_eq!(placement.lead, server("a", 1).id);
}

fn first_profile() -> EngineProfile {
    EngineProfile {
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
    }
}

/// Returns the first customer's load: a burst of the longest prompts and of short ones.
fn first_customer(ranks: &[u8]) -> Load {
    let kind = |mean, spread, max, events, objective_ms, pause_ms, value, rank| Kind {
        mean,
        spread,
        max,
        events,
        objective_ms,
        pause_ms,
        deadline_ms: if rank == 2 { 15_000 } else { 10_000 },
        value,
        rank,
    };
    Load {
        engines: 69,
        profile: first_profile(),
        kinds: vec![
            kind(5_000.0, 0.9, 23_800.0, 31, 250, 250, 1.3, 0),
            kind(45_000.0, 0.5, 110_000.0, 18, 1_500, 600, 3.3, 1),
            kind(300_000.0, 0.55, 1_000_000.0, 15, 8_000, 1_000, 20.0, 2),
        ],
        phases: vec![
            (2_000, vec![88.0, 14.0, 2.4]),
            (6_500, vec![88.0 * 1.6, 14.0, 2.4 * 2.6]),
            (4_000, vec![88.0, 14.0, 2.4]),
        ],
        troubles: Vec::new(),
        entry_vms: EntryVms::default(),
        knee: None,
        ranks: ranks.iter().copied().collect(),
    }
}

fn play(ranks: &[u8]) -> Vec<Record> {
    let load = first_customer(ranks);
    let runs = (0..PLAYS).map(|seed| BurstSim::new(load.clone(), seed).run());
    runs.flatten().collect()
}

fn share(records: &[Record], matches: impl Fn(&Record) -> bool) -> f64 {
    let count = |count: usize| f64::from(u32::try_from(count).expect("a small count"));
    count(records.iter().filter(|record| matches(record)).count()) / count(records.len())
}

fn of_kind(records: &[Record], kind: usize) -> Vec<Record> {
    let mut of_kind: Vec<_> = records.iter().filter(|r| r.kind == kind).copied().collect();
    of_kind.sort_by_key(|record| record.prompt);
    of_kind
}

fn served(records: &[Record]) -> f64 {
    share(records, |record| record.outcome.is_served())
}

fn in_time(records: &[Record]) -> f64 {
    share(records, |record| record.outcome == Outcome::InTime)
}

/// Guards against ranks that decide nothing, and against a rank or a length that starves by them.
#[test]
fn ranks_help_the_most_urgent_and_starve_none_in_a_burst_of_the_first_customer() {
    let (before, after) = (play(&[]), play(&[0, 1, 2]));
    for kind in 0..3 {
        let (before, after) = (of_kind(&before, kind), of_kind(&after, kind));
        println!(
            "kind {kind}: in time {:.4} to {:.4}, served {:.4} to {:.4}",
            in_time(&before),
            in_time(&after),
            served(&before),
            served(&after)
        );
    }
    let short = [of_kind(&before, SHORT), of_kind(&after, SHORT)].map(|r| in_time(&r));
    assert!(short[1] > short[0], "short prompts in time: {short:?}");
    let (before, after) = (of_kind(&before, LONG), of_kind(&after, LONG));
    let (old, new) = (served(&before), served(&after));
    assert!(
        new >= old - MAX_LOSS,
        "longest prompts served: {old:.3} to {new:.3}"
    );
    let largest = served(&after[after.len() * 9 / 10..]);
    assert!(
        largest >= new / 2.0,
        "largest tenth: {largest:.3} of {new:.3}"
    );
}
