//! Traces: timed requests with customer, length and shared prefix, and the faults beside them.
//!
//! A trace is generated from a scenario, or read from a JSON file.

use std::time::Duration;

use fastrand::Rng;
use serde::{Deserialize, Serialize};

/// Length of the prefix that prompts of one prefix group share.
const SHARED_PREFIX_TOKENS: u64 = 2_048;

/// A request of a trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Arrival {
    /// Arrival time, in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// Number of the customer, from 0 to 9; customers 0 and 1 are large.
    pub customer: u32,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Upper bound of the output length, as the request states it.
    pub max_tokens: u64,
    /// Actual length of the output.
    pub output_tokens: u64,
    /// Prefix group; prompts of one group start with the same tokens.
    #[serde(rename = "kind")]
    pub prefix_group: u32,
    /// Whether it crashes every engine that runs it.
    #[serde(default)]
    pub poison: bool,
}

/// Requests and faults for one replay.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Trace {
    /// Name that is shown with the results.
    pub name: String,
    /// Requests in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Engine crashes: time in milliseconds and engine number.
    ///
    /// Each crashed engine restarts after 20 s.
    pub losses: Vec<(u64, usize)>,
    /// Lag of announced loads and cache events, in milliseconds.
    pub report_lag_ms: u64,
    /// One in this many announcements, on average, loses a cache event; zero for none.
    pub gap_one_in: u32,
}

/// Pattern of requests and faults from which a trace is generated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Half of the given load.
    QuietDay,
    /// The given load, with many short prompts and few long ones.
    ///
    /// It models a stream of drafts, with some reviews and few consolidations.
    DeadlineSeason,
    /// One large customer sends three times its usual number of requests.
    Flood,
    /// One prompt in fifty has more than 100 000 tokens.
    LongTail,
    /// Dossiers of 200 000 tokens, one per engine, arrive within 5 s.
    DossierWave,
    /// Three engines crash within 15 s, in the middle of the trace.
    EngineLoss,
    /// Announced loads and cache events lag by two seconds.
    LateReports,
    /// One in three announcements, on average, loses a cache event.
    CacheGaps,
    /// A request that crashes each engine that runs it is sent six times.
    Poison,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 9] = [
        Self::QuietDay,
        Self::DeadlineSeason,
        Self::Flood,
        Self::LongTail,
        Self::DossierWave,
        Self::EngineLoss,
        Self::LateReports,
        Self::CacheGaps,
        Self::Poison,
    ];

    /// Returns the name as used on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::QuietDay => "quiet-day",
            Self::DeadlineSeason => "deadline-season",
            Self::Flood => "flood",
            Self::LongTail => "long-tail",
            Self::DossierWave => "dossier-wave",
            Self::EngineLoss => "engine-loss",
            Self::LateReports => "late-reports",
            Self::CacheGaps => "cache-gaps",
            Self::Poison => "poison",
        }
    }

    /// Finds a scenario by its command-line name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == name)
    }

    /// Returns prompt lengths in tokens with their relative frequencies.
    const fn prompt_mix(self) -> &'static [(u64, u32)] {
        match self {
            Self::QuietDay | Self::DeadlineSeason | Self::Flood => &[
                (1_000, 600),
                (3_000, 250),
                (12_000, 120),
                (60_000, 25),
                (300_000, 5),
            ],
            Self::DossierWave => &[
                (1_000, 500),
                (4_000, 300),
                (20_000, 150),
                (150_000, 40),
                (700_000, 3),
            ],
            Self::LongTail
            | Self::EngineLoss
            | Self::LateReports
            | Self::CacheGaps
            | Self::Poison => &[
                (1_000, 600),
                (3_000, 250),
                (12_000, 130),
                (150_000, 16),
                (600_000, 4),
            ],
        }
    }
}

/// Parameters of a generated trace.
#[derive(Clone, Copy, Debug)]
pub struct TraceOptions {
    /// Pattern of requests and faults.
    pub scenario: Scenario,
    /// Offered load as a fraction of the capacity of all engines.
    pub load: f64,
    /// Length of the trace.
    pub seconds: u64,
    /// Number of engines.
    pub engines: usize,
    /// Returns the engine seconds that a request takes, by prompt and output tokens.
    pub cost: fn(u64, u64) -> f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Generates a trace; the requests of the scenario's mix arrive as a Poisson process.
#[must_use]
pub fn generate_trace(options: &TraceOptions) -> Trace {
    let mut rng = Rng::with_seed(options.seed);
    let scenario = options.scenario;
    let load = if scenario == Scenario::QuietDay {
        options.load * 0.5
    } else {
        options.load
    };
    let mean = mean_cost(scenario.prompt_mix(), options.cost);
    #[expect(clippy::cast_precision_loss, reason = "a fleet has few engines")]
    let rate = load * options.engines as f64 / mean;
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let end = Duration::from_secs(options.seconds).as_secs_f64();
    loop {
        at += -(1.0 - rng.f64()).ln() / rate;
        if at >= end {
            break;
        }
        arrivals.push(generate_arrival(scenario, at, &mut rng));
    }
    add_scenario_arrivals(options, &mut arrivals, &mut rng);
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    let middle = options.seconds * 500;
    let losses = match scenario {
        Scenario::EngineLoss => vec![(middle, 0), (middle + 1_000, 1), (middle + 15_000, 2)],
        _ => Vec::new(),
    };
    Trace {
        name: scenario.name().to_owned(),
        arrivals,
        losses,
        report_lag_ms: if scenario == Scenario::LateReports {
            2_000
        } else {
            500
        },
        gap_one_in: if scenario == Scenario::CacheGaps {
            3
        } else {
            0
        },
    }
}

/// Returns the mean cost of a request of this mix, in engine seconds.
fn mean_cost(mix: &[(u64, u32)], cost: fn(u64, u64) -> f64) -> f64 {
    let total: f64 = mix.iter().map(|(_, weight)| f64::from(*weight)).sum();
    let sum: f64 = mix
        .iter()
        .map(|(tokens, weight)| f64::from(*weight) * cost(*tokens, MEAN_OUTPUT_TOKENS))
        .sum();
    sum / total
}

/// Upper bound of the output length of generated requests.
const MAX_OUTPUT_TOKENS: u64 = 200;
/// Mean output length of generated requests.
const MEAN_OUTPUT_TOKENS: u64 = 150;

/// Draws a request with customer and prompt length; `at` is in seconds.
fn generate_arrival(scenario: Scenario, at: f64, rng: &mut Rng) -> Arrival {
    let mix = scenario.prompt_mix();
    let total: u32 = mix.iter().map(|(_, weight)| weight).sum();
    let mut drawn = rng.u32(..total);
    let mut prompt_tokens = mix[0].0;
    for (tokens, weight) in mix {
        if drawn < *weight {
            prompt_tokens = *tokens;
            break;
        }
        drawn -= weight;
    }
    // Lengths vary by up to 25 % around those of the mix.
    let prompt_tokens = prompt_tokens * rng.u64(75..=125) / 100;
    // The two large customers send half of all requests.
    let customer = if rng.bool() {
        rng.u32(..2)
    } else {
        2 + rng.u32(..8)
    };
    new_arrival(at, customer, prompt_tokens, rng)
}

/// Creates a request with random output length and prefix group; `at` is in seconds.
fn new_arrival(at: f64, customer: u32, prompt_tokens: u64, rng: &mut Rng) -> Arrival {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the time is positive and short"
    )]
    let at_ms = (at * 1000.0) as u64;
    Arrival {
        at_ms,
        customer,
        prompt_tokens,
        max_tokens: MAX_OUTPUT_TOKENS,
        output_tokens: rng.u64(MAX_OUTPUT_TOKENS / 2..=MAX_OUTPUT_TOKENS),
        prefix_group: rng.u32(..20),
        poison: false,
    }
}

/// Adds the requests that the scenario has besides its mix.
fn add_scenario_arrivals(options: &TraceOptions, arrivals: &mut Vec<Arrival>, rng: &mut Rng) {
    let middle = Duration::from_secs(options.seconds).as_secs_f64() / 2.0;
    match options.scenario {
        Scenario::Flood => {
            let usual_count = arrivals
                .iter()
                .filter(|arrival| arrival.customer == 0)
                .count();
            for _ in 0..usual_count * 2 {
                let at = middle * (0.5 + rng.f64());
                let arrival = new_arrival(at, 0, 3_000, rng);
                arrivals.push(arrival);
            }
        }
        Scenario::DossierWave => {
            for _ in 0..options.engines {
                let at = middle + rng.f64() * 5.0;
                let arrival = new_arrival(at, 1, 200_000, rng);
                arrivals.push(arrival);
            }
        }
        Scenario::Poison => {
            for resend in 0..6 {
                let mut arrival = new_arrival(middle + f64::from(resend) * 8.0, 5, 2_000, rng);
                arrival.poison = true;
                arrival.prefix_group = POISON_GROUP;
                arrivals.push(arrival);
            }
        }
        _ => {}
    }
}

/// Prefix group of poison requests, which all have the same content.
pub const POISON_GROUP: u32 = 1_000;

/// Returns the block hashes of the prompt at `index` of the trace.
///
/// Blocks have 256 tokens, and at most the first 64 are listed. The blocks of the shared prefix
/// have the same hashes in all prompts of the group; the others are unique to the request.
#[must_use]
pub fn block_hashes(arrival: &Arrival, index: usize) -> Vec<u64> {
    let count = (arrival.prompt_tokens / 256).min(64);
    let shared_count = SHARED_PREFIX_TOKENS / 256;
    let unique_block = |block: u64| (index as u64 + 1) << 20 | block;
    let shared_block = |block: u64| 1 << 60 | u64::from(arrival.prefix_group) << 20 | block;
    (0..count)
        .map(|block| {
            if block < shared_count {
                shared_block(block)
            } else {
                unique_block(block)
            }
        })
        .collect()
}
