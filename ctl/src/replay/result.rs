//! What a replay measured.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Prompts with fewer tokens count as short in the results.
pub const SHORT_TOKENS: u64 = 10_000;
/// Upper bounds of the length classes, in prompt tokens.
const CLASSES: [u64; 4] = [2_000, 10_000, 100_000, u64::MAX];

/// How one request ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ended {
    /// Time to the first token, in milliseconds.
    pub first_ms: Option<u64>,
    /// Time to the end, in milliseconds, where the answer is whole and in time.
    pub whole_ms: Option<u64>,
    /// Whether it was refused.
    pub refused: bool,
    /// Attempts after the first.
    pub retries: u32,
}

/// Results of a replay.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ReplayResult {
    /// Time to the first token by length class: bound, then p50, p95, p99 in milliseconds.
    pub first_token_ms: Vec<(u64, [u64; 3])>,
    /// Requests.
    pub requests: usize,
    /// Whole answers in time.
    #[serde(rename = "whole")]
    pub completed: usize,
    /// Refusals.
    pub refused: usize,
    /// Long prompts, and those that were whole in time.
    #[serde(rename = "longs")]
    pub long_prompts: (usize, usize),
    /// Prompt and output tokens of whole answers in time, a second.
    pub goodput: f64,
    /// Least over largest share of work done among customers that sent the most, by their weight.
    pub fairness: f64,
    /// Retries for each hundred requests.
    pub retry_percent: f64,
    /// Engines that died of a poison request.
    pub poisoned: usize,
    /// Tokens that engines still held at the end.
    pub memory_left: u64,
    /// Requests without an outcome at the end.
    #[serde(rename = "open")]
    pub unfinished: usize,
}

/// A request with what became of it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens of its answer.
    pub output: u64,
    /// Its customer's number.
    pub customer: u32,
    /// What became of it.
    pub ended: Ended,
}

impl ReplayResult {
    /// Sums samples of a run of so many seconds.
    #[must_use]
    pub fn new(samples: &[Sample], seconds: f64) -> Self {
        let whole = samples
            .iter()
            .filter(|sample| sample.ended.whole_ms.is_some());
        let tokens: u64 = whole
            .clone()
            .map(|sample| sample.prompt + sample.output)
            .sum();
        let longs: Vec<_> = samples
            .iter()
            .filter(|sample| sample.prompt >= 100_000)
            .collect();
        let retries: u32 = samples.iter().map(|sample| sample.ended.retries).sum();
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        Self {
            first_token_ms: first_tokens(samples),
            requests: samples.len(),
            completed: whole.count(),
            refused: samples.iter().filter(|sample| sample.ended.refused).count(),
            long_prompts: (
                longs.len(),
                longs
                    .iter()
                    .filter(|sample| sample.ended.whole_ms.is_some())
                    .count(),
            ),
            goodput: tokens as f64 / seconds,
            fairness: fairness(samples),
            retry_percent: f64::from(retries) * 100.0 / samples.len().max(1) as f64,
            ..Self::default()
        }
    }
}

fn first_tokens(samples: &[Sample]) -> Vec<(u64, [u64; 3])> {
    let mut classes: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for sample in samples {
        let class = CLASSES
            .iter()
            .find(|bound| sample.prompt < **bound)
            .copied();
        if let Some(first) = sample.ended.first_ms {
            classes
                .entry(class.unwrap_or(u64::MAX))
                .or_default()
                .push(first);
        }
    }
    classes
        .into_iter()
        .map(|(bound, mut times)| {
            times.sort_unstable();
            (
                bound,
                [50, 95, 99].map(|percent| percentile(&times, percent)),
            )
        })
        .collect()
}

/// Returns a percentile of sorted times.
#[must_use]
pub fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(index).copied().unwrap_or_default()
}

/// Returns the p95 of the times to first token of short prompts, in milliseconds.
#[must_use]
pub fn short_ttft_p95(samples: &[Sample]) -> u64 {
    let shorts = samples.iter().filter(|sample| sample.prompt < SHORT_TOKENS);
    let mut times: Vec<_> = shorts.filter_map(|sample| sample.ended.first_ms).collect();
    times.sort_unstable();
    percentile(&times, 95)
}

/// Share of requests served whole, of the customer that fares worst over the one that fares best.
fn fairness(samples: &[Sample]) -> f64 {
    let mut customers: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
    for sample in samples {
        let (sent, whole) = customers.entry(sample.customer).or_default();
        *sent += 1;
        *whole += u32::from(sample.ended.whole_ms.is_some());
    }
    let shares = customers
        .values()
        .map(|(sent, whole)| f64::from(*whole) / f64::from(*sent));
    let (least, most) = shares.fold((1.0_f64, 0.0_f64), |(l, m), s| (l.min(s), m.max(s)));
    if most > 0.0 { least / most } else { 0.0 }
}
