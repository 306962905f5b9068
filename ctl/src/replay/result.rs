//! Results of a replay, and their computation from the outcomes of single requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Prompt length in tokens below which a prompt counts as short in the results.
pub const SHORT_TOKENS: u64 = 10_000;
/// Upper bounds of the prompt length classes, in tokens; each is exclusive.
const LENGTH_CLASSES: [u64; 4] = [2_000, 10_000, 100_000, u64::MAX];

/// Latency, refusal and retries of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestOutcome {
    /// Time from arrival to the first token, in milliseconds; `None` if none was generated.
    pub first_token_ms: Option<u64>,
    /// Time from arrival to the last token, in milliseconds.
    ///
    /// `None` if the output was not complete by the deadline.
    pub latency_ms: Option<u64>,
    /// Whether it counts as refused; a refused retry does only in quarantine.
    pub refused: bool,
    /// Number of attempts after the first.
    pub retries: u32,
}

/// Results of a replay.
///
/// Requests are counted without poison requests, except in `poisoned` and `unfinished`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ReplayResult {
    /// Time to first token by prompt length class, in ascending order of length.
    ///
    /// Each entry has the class's upper bound in tokens, then p50, p95 and p99 in milliseconds.
    pub first_token_ms: Vec<(u64, [u64; 3])>,
    /// Number of requests.
    pub requests: usize,
    /// Requests that completed before their deadline.
    #[serde(rename = "whole")]
    pub completed: usize,
    /// Requests that count as refused.
    pub refused: usize,
    /// Long prompts, from 100 000 tokens, and how many completed in time.
    #[serde(rename = "longs")]
    pub long_prompts: (usize, usize),
    /// Prompt and output tokens of the requests that completed in time, per second.
    pub goodput: f64,
    /// Lowest over highest fraction of requests completed in time, by customer.
    ///
    /// It lies between 0 and 1, and is 0 if no request completed.
    pub fairness: f64,
    /// Retries per hundred requests.
    pub retry_percent: f64,
    /// Number of times that a poison request started and so crashed an engine.
    pub poisoned: usize,
    /// KV memory still held on the engines at the end, in tokens.
    pub memory_left: u64,
    /// Requests that had not ended when the replay did.
    #[serde(rename = "open")]
    pub unfinished: usize,
}

/// A replayed request and its outcome.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of the complete output, in tokens.
    pub output_tokens: u64,
    /// Number of the customer.
    pub customer: u32,
    /// Latency, refusal and retries.
    pub outcome: RequestOutcome,
}

impl ReplayResult {
    /// Aggregates the samples of a run that lasted `seconds`.
    ///
    /// `poisoned`, `memory_left` and `unfinished` are left at zero.
    #[must_use]
    pub fn new(samples: &[Sample], seconds: f64) -> Self {
        let completed = samples
            .iter()
            .filter(|sample| sample.outcome.latency_ms.is_some());
        let tokens: u64 = completed
            .clone()
            .map(|sample| sample.prompt_tokens + sample.output_tokens)
            .sum();
        let long_samples: Vec<_> = samples
            .iter()
            .filter(|sample| sample.prompt_tokens >= 100_000)
            .collect();
        let retries: u32 = samples.iter().map(|sample| sample.outcome.retries).sum();
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        Self {
            first_token_ms: ttft_percentiles(samples),
            requests: samples.len(),
            completed: completed.count(),
            refused: samples
                .iter()
                .filter(|sample| sample.outcome.refused)
                .count(),
            long_prompts: (
                long_samples.len(),
                long_samples
                    .iter()
                    .filter(|sample| sample.outcome.latency_ms.is_some())
                    .count(),
            ),
            goodput: tokens as f64 / seconds,
            fairness: fairness(samples),
            retry_percent: f64::from(retries) * 100.0 / samples.len().max(1) as f64,
            ..Self::default()
        }
    }
}

/// Returns p50, p95 and p99 of the time to first token by length class.
fn ttft_percentiles(samples: &[Sample]) -> Vec<(u64, [u64; 3])> {
    let mut classes: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for sample in samples {
        let class = LENGTH_CLASSES
            .iter()
            .find(|bound| sample.prompt_tokens < **bound)
            .copied();
        if let Some(first) = sample.outcome.first_token_ms {
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

/// Returns the nearest-rank percentile of ascending values, or 0 without any.
#[must_use]
pub fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(index).copied().unwrap_or_default()
}

/// Returns the p95 of the time to first token of short prompts, in milliseconds.
#[must_use]
pub fn short_ttft_p95(samples: &[Sample]) -> u64 {
    let short_samples = samples
        .iter()
        .filter(|sample| sample.prompt_tokens < SHORT_TOKENS);
    let mut times: Vec<_> = short_samples
        .filter_map(|sample| sample.outcome.first_token_ms)
        .collect();
    times.sort_unstable();
    percentile(&times, 95)
}

/// Computes `ReplayResult::fairness` over all customers that sent requests.
fn fairness(samples: &[Sample]) -> f64 {
    let mut customers: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
    for sample in samples {
        let (sent, completed) = customers.entry(sample.customer).or_default();
        *sent += 1;
        *completed += u32::from(sample.outcome.latency_ms.is_some());
    }
    let shares = customers
        .values()
        .map(|(sent, completed)| f64::from(*completed) / f64::from(*sent));
    let (lowest, highest) = shares.fold((1.0_f64, 0.0_f64), |(low, high), share| {
        (low.min(share), high.max(share))
    });
    if highest > 0.0 { lowest / highest } else { 0.0 }
}
