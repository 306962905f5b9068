//! Statistics of a load run: latencies and outcome counts by prompt length, and their JSON form.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::client::CallOutcome;

/// Longest recorded time, one hour in microseconds; longer ones count as this.
const MAX_TIME_MICROS: u64 = 3_600_000_000;
/// Decimal precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Exclusive upper bounds of the prompt length classes, in tokens.
const CLASS_BOUNDS: [u64; 5] = [2_000, 10_000, 50_000, 250_000, u64::MAX];

/// Latencies and outcome counts of a load run by prompt length class.
#[derive(Debug, Default)]
pub struct LoadStats {
    /// Statistics by the upper bound of the class, in tokens.
    classes: BTreeMap<u64, ClassStats>,
}

#[derive(Debug)]
struct ClassStats {
    first_token: Histogram<u64>,
    total: Histogram<u64>,
    whole: u64,
    wrong: u64,
    refusals: BTreeMap<String, u64>,
}

/// Results of one prompt length class, as stored in JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClassResult {
    /// Exclusive upper bound on prompt tokens; `None` for the longest class.
    pub prompt_tokens_below: Option<u64>,
    /// Whole answers with the expected text.
    pub whole: u64,
    /// Whole or partial answers with text that differs from the expected one.
    pub wrong: u64,
    /// Refusals and failures by reason code.
    pub refusals: BTreeMap<String, u64>,
    /// Time to first token, in milliseconds; includes answers that later failed.
    pub first_token_ms: Percentiles,
    /// Total time of whole, correct answers, in milliseconds.
    pub total_ms: Percentiles,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl LoadStats {
    /// Adds the outcome of one request to the class of its prompt length.
    ///
    /// `correct` tells whether its text is the expected one, or a prefix of it if not whole.
    pub fn count_outcome(&mut self, prompt_tokens: u64, outcome: &CallOutcome, correct: bool) {
        let class = CLASS_BOUNDS
            .iter()
            .find(|bound| prompt_tokens < **bound)
            .copied();
        let stats = self
            .classes
            .entry(class.unwrap_or(u64::MAX))
            .or_insert_with(ClassStats::new);
        if outcome.whole && correct {
            stats.whole += 1;
            record(&mut stats.total, outcome.total);
        } else if outcome.whole || !correct {
            stats.wrong += 1;
        } else {
            let reason = outcome
                .reason
                .clone()
                .unwrap_or_else(|| "broken_off".to_owned());
            *stats.refusals.entry(reason).or_default() += 1;
        }
        if let Some(first) = outcome.first_token {
            record(&mut stats.first_token, first);
        }
    }

    /// Returns the results of the classes that had requests, shortest prompts first.
    #[must_use]
    pub fn results(&self) -> Vec<ClassResult> {
        self.classes
            .iter()
            .map(|(bound, stats)| stats.result(*bound))
            .collect()
    }
}

impl ClassStats {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_TIME_MICROS, SIGNIFICANT_DIGITS)
                .expect("the bounds are constants")
        };
        Self {
            first_token: histogram(),
            total: histogram(),
            whole: 0,
            wrong: 0,
            refusals: BTreeMap::new(),
        }
    }

    fn result(&self, bound: u64) -> ClassResult {
        ClassResult {
            prompt_tokens_below: (bound != u64::MAX).then_some(bound),
            whole: self.whole,
            wrong: self.wrong,
            refusals: self.refusals.clone(),
            first_token_ms: percentiles(&self.first_token),
            total_ms: percentiles(&self.total),
        }
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_MICROS);
    histogram.saturating_record(micros);
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times stay far below 2^52 microseconds"
    )]
    let millis_at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles {
        p50: millis_at(0.5),
        p95: millis_at(0.95),
        p99: millis_at(0.99),
    }
}

/// Formats the results as a text table, one line per class and per refusal reason.
#[must_use]
pub fn format_table(results: &[ClassResult]) -> String {
    let mut lines = vec![format!(
        "{:>14} {:>6} {:>6} {:>8} {:>12} {:>12} {:>12} {:>12}",
        "prompt tokens",
        "whole",
        "wrong",
        "refused",
        "first p50",
        "first p95",
        "first p99",
        "total p50"
    )];
    for class in results {
        let name = class
            .prompt_tokens_below
            .map_or("more".to_owned(), |bound| format!("< {bound}"));
        let refused: u64 = class.refusals.values().sum();
        lines.push(format!(
            "{name:>14} {:>6} {:>6} {refused:>8} {:>9.1} ms {:>9.1} ms {:>9.1} ms {:>9.1} ms",
            class.whole,
            class.wrong,
            class.first_token_ms.p50,
            class.first_token_ms.p95,
            class.first_token_ms.p99,
            class.total_ms.p50
        ));
        for (reason, count) in &class.refusals {
            lines.push(format!("{:>14} {count:>6} {reason}", ""));
        }
    }
    lines.join("\n")
}
