//! Results of a load run: histograms by prompt length, outcomes, and their JSON form.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::client::CallOutcome;

/// Longest time that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 3_600_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;
/// Upper bounds of the length classes, in prompt tokens.
const CLASSES: [u64; 5] = [2_000, 10_000, 50_000, 250_000, u64::MAX];

/// What a load run measured.
#[derive(Debug, Default)]
pub struct Measures {
    classes: BTreeMap<u64, ClassMeasures>,
}

#[derive(Debug)]
struct ClassMeasures {
    first_token: Histogram<u64>,
    total: Histogram<u64>,
    whole: u64,
    wrong: u64,
    refusals: BTreeMap<String, u64>,
}

/// One length class in the JSON form.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClassResult {
    /// Prompt tokens of the class, at most.
    pub prompt_tokens_below: Option<u64>,
    /// Whole and right answers.
    pub whole: u64,
    /// Answers that were wrong or looked whole and were not.
    pub wrong: u64,
    /// Refusals and failures by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Time to first token in milliseconds, by percentile.
    pub first_token_ms: Percentiles,
    /// Time to the end in milliseconds, by percentile.
    pub total_ms: Percentiles,
}

/// Percentiles of a time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Percentiles {
    /// Half are faster.
    pub p50: f64,
    /// 95 in 100 are faster.
    pub p95: f64,
    /// 99 in 100 are faster.
    pub p99: f64,
}

impl Measures {
    /// Counts the outcome of a prompt of this many tokens; `right` is whether the text was right.
    pub fn count(&mut self, prompt_tokens: u64, outcome: &CallOutcome, right: bool) {
        let class = CLASSES
            .iter()
            .find(|bound| prompt_tokens < **bound)
            .copied();
        let measures = self
            .classes
            .entry(class.unwrap_or(u64::MAX))
            .or_insert_with(ClassMeasures::new);
        if outcome.whole && right {
            measures.whole += 1;
            record(&mut measures.total, outcome.total);
        } else if outcome.whole || !right {
            measures.wrong += 1;
        } else {
            let reason = outcome
                .reason
                .clone()
                .unwrap_or_else(|| "broken_off".to_owned());
            *measures.refusals.entry(reason).or_default() += 1;
        }
        if let Some(first) = outcome.first_token {
            record(&mut measures.first_token, first);
        }
    }

    /// Returns the results by length class.
    #[must_use]
    pub fn results(&self) -> Vec<ClassResult> {
        self.classes
            .iter()
            .map(|(bound, measures)| measures.result(*bound))
            .collect()
    }
}

impl ClassMeasures {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(LONGEST_MICROS, DIGITS).expect("the bounds are constants");
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
    let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST_MICROS);
    histogram.saturating_record(micros);
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times stay far below 2^52 microseconds"
    )]
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

/// Returns one line a class for people.
#[must_use]
pub fn table(results: &[ClassResult]) -> String {
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
            .map_or("more".to_owned(), |b| format!("< {b}"));
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
