//! What the whole path adds to the time to first token, against a direct call in the same run.

use std::time::Duration;

use anyhow::{Context, Result};
use clap::ArgMatches;
use hdrhistogram::Histogram;

use super::{number_option, text_option};
use crate::client::{CompletionCall, complete, time_engine_first_token};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Tokens of each answer.
const MAX_TOKENS: u64 = 2;
/// Calls of each kind that are not counted.
const WARM_UP: usize = 20;

/// Runs both kinds of call in turn and prints the times.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let count: usize = number_option(matches, "count")?;
    let tokens: usize = number_option(matches, "prompt-tokens")?;
    let engine = text_option(matches, "engine")?;
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    for round in 0..count + WARM_UP {
        let first = time_engine_first_token(engine, &prompt("direct", round, tokens), MAX_TOKENS)?;
        let prompt = prompt("through", round, tokens);
        let outcome = complete(&CompletionCall {
            address: text_option(matches, "callers")?,
            token: text_option(matches, "customer-token")?,
            model: text_option(matches, "model")?,
            prompt: &prompt,
            max_tokens: MAX_TOKENS,
            timeout: TIMEOUT,
        });
        let whole = outcome.first_token.filter(|_| outcome.whole);
        let second = whole.with_context(|| format!("a call failed: {outcome:?}"))?;
        if round >= WARM_UP {
            direct.record(micros(first))?;
            through.record(micros(second))?;
        }
    }
    for (name, histogram) in [("direct", &direct), ("through a VM", &through)] {
        println!(
            "{name:>14}: p50 {:.2} ms, p95 {:.2} ms",
            at(histogram, 0.5),
            at(histogram, 0.95)
        );
    }
    for quantile in [0.5, 0.95] {
        let added = at(&through, quantile) - at(&direct, quantile);
        println!("{:>14}: p{:.0} {added:.2} ms", "added", quantile * 100.0);
    }
    Ok(true)
}

fn prompt(kind: &str, round: usize, tokens: usize) -> String {
    let mut prompt = format!("{kind} {round} ");
    prompt.push_str(&"note ".repeat(tokens));
    prompt.truncate(tokens * 4);
    prompt
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times stay far below 2^52 microseconds"
)]
fn at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
