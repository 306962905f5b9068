//! Traces: requests with their time, customer, length and shared prefix, and faults.

use std::time::Duration;

use fastrand::Rng;
use serde::{Deserialize, Serialize};

/// Tokens of a prefix that requests of one kind share.
const SHARED_PREFIX: u64 = 2_048;

/// One request of a trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Arrival {
    /// When it comes, in milliseconds since the start.
    pub at_ms: u64,
    /// Its customer's number; the first two are large.
    pub customer: u32,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Most tokens of its answer.
    pub max_tokens: u64,
    /// Tokens that its answer has.
    pub output_tokens: u64,
    /// Kind of prompt; prompts of one kind share their first tokens.
    pub kind: u32,
    /// Whether it kills each engine that runs it.
    #[serde(default)]
    pub poison: bool,
}

/// A trace with what happens beside it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Trace {
    /// Its name.
    pub name: String,
    /// Requests in order of time.
    pub arrivals: Vec<Arrival>,
    /// Engines that die: time in milliseconds and the engine's number; each is back after 20 s.
    pub losses: Vec<(u64, usize)>,
    /// How late load and cache reports are, in milliseconds.
    pub report_lag_ms: u64,
    /// One in so many announcements loses cache events; zero for none.
    pub gap_one_in: u32,
}

/// A kind of trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Little load.
    QuietDay,
    /// Drafts stream, with some reviews and few consolidations.
    DeadlineSeason,
    /// One large customer sends three times its usual load.
    Flood,
    /// One prompt in fifty is over a hundred thousand tokens.
    LongTail,
    /// Dossiers come in a wave.
    DossierWave,
    /// Engines die at the peak.
    EngineLoss,
    /// Load reports are two seconds late.
    LateReports,
    /// Cache events come with gaps.
    CacheGaps,
    /// A request kills each engine that runs it, and its caller sends it again.
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

    /// Returns the name on the command line.
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

    /// Finds the scenario of a name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == name)
    }

    /// Returns prompt tokens and weights of its mix.
    const fn mix(self) -> &'static [(u64, u32)] {
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

/// What a trace is drawn with.
#[derive(Clone, Copy, Debug)]
pub struct TraceOptions {
    /// The scenario.
    pub scenario: Scenario,
    /// Offered load against the fleet's capacity; 1 is all of it.
    pub load: f64,
    /// Length in seconds.
    pub seconds: u64,
    /// Engines of the fleet.
    pub engines: usize,
    /// Engine seconds that a request of so many prompt and output tokens takes.
    pub cost: fn(u64, u64) -> f64,
    /// Seed.
    pub seed: u64,
}

/// Draws a trace.
#[must_use]
pub fn generate_trace(options: &TraceOptions) -> Trace {
    let mut rng = Rng::with_seed(options.seed);
    let scenario = options.scenario;
    let load = if scenario == Scenario::QuietDay {
        options.load * 0.5
    } else {
        options.load
    };
    let mean = mean_cost(scenario.mix(), options.cost);
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
        arrivals.push(draw_arrival(scenario, at, &mut rng));
    }
    add_extras(options, &mut arrivals, &mut rng);
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

fn mean_cost(mix: &[(u64, u32)], cost: fn(u64, u64) -> f64) -> f64 {
    let total: f64 = mix.iter().map(|(_, weight)| f64::from(*weight)).sum();
    let sum: f64 = mix
        .iter()
        .map(|(tokens, weight)| f64::from(*weight) * cost(*tokens, MEAN_OUTPUT))
        .sum();
    sum / total
}

/// Most tokens of an answer, and the mean of what answers have.
const MAX_OUTPUT: u64 = 200;
const MEAN_OUTPUT: u64 = 150;

fn draw_arrival(scenario: Scenario, at: f64, rng: &mut Rng) -> Arrival {
    let mix = scenario.mix();
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
    // Lengths spread round those of the mix.
    let prompt_tokens = prompt_tokens * rng.u64(75..=125) / 100;
    // Two large customers send half of all.
    let customer = if rng.bool() {
        rng.u32(..2)
    } else {
        2 + rng.u32(..8)
    };
    new_arrival(at, customer, prompt_tokens, rng)
}

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
        max_tokens: MAX_OUTPUT,
        output_tokens: rng.u64(MAX_OUTPUT / 2..=MAX_OUTPUT),
        kind: rng.u32(..20),
        poison: false,
    }
}

/// Adds what the scenario has beside its mix.
fn add_extras(options: &TraceOptions, arrivals: &mut Vec<Arrival>, rng: &mut Rng) {
    let middle = Duration::from_secs(options.seconds).as_secs_f64() / 2.0;
    match options.scenario {
        Scenario::Flood => {
            let own = arrivals
                .iter()
                .filter(|arrival| arrival.customer == 0)
                .count();
            for _ in 0..own * 2 {
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
                arrival.kind = POISON_KIND;
                arrivals.push(arrival);
            }
        }
        _ => {}
    }
}

/// Kind of the poison request; all its resends have one content.
pub const POISON_KIND: u32 = 1_000;

/// Returns the hashes of a prompt's blocks: those of its kind first, then its own.
#[must_use]
pub fn blocks(arrival: &Arrival, index: usize) -> Vec<u64> {
    let count = (arrival.prompt_tokens / 256).min(64);
    let shared = SHARED_PREFIX / 256;
    let own = |block: u64| (index as u64 + 1) << 20 | block;
    let kind = |block: u64| 1 << 60 | u64::from(arrival.kind) << 20 | block;
    (0..count)
        .map(|block| {
            if block < shared {
                kind(block)
            } else {
                own(block)
            }
        })
        .collect()
}
