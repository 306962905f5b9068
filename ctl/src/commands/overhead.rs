//! The `overhead` subcommand: time to first token that a VM adds to a direct engine call.

use std::time::Duration;

use anyhow::{Context, Result};
use clap::ArgMatches;
use hdrhistogram::Histogram;

use super::{number_option, text_option};
use crate::client::{CompletionCall, complete, time_engine_first_token};

/// Timeout of a completion through the VM.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of tokens per answer.
const MAX_TOKENS: u64 = 2;
/// Calls of each kind that are not counted, before the measured ones.
const WARM_UP_CALLS: usize = 20;

/// Alternates direct calls and calls through the VM, and prints percentiles of both.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let count: usize = number_option(matches, "count")?;
    let tokens: usize = number_option(matches, "prompt-tokens")?;
    let engine = text_option(matches, "engine")?;
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    for round in 0..count + WARM_UP_CALLS {
        let direct_time =
            time_engine_first_token(engine, &make_prompt("direct", round, tokens), MAX_TOKENS)?;
        let prompt = make_prompt("through", round, tokens);
        let outcome = complete(&CompletionCall {
            address: text_option(matches, "callers")?,
            token: text_option(matches, "customer-token")?,
            model: text_option(matches, "model")?,
            prompt: &prompt,
            max_tokens: MAX_TOKENS,
            timeout: REQUEST_TIMEOUT,
        });
        let first_token = outcome.first_token.filter(|_| outcome.whole);
        let through_time = first_token.with_context(|| format!("a call failed: {outcome:?}"))?;
        if round >= WARM_UP_CALLS {
            direct.record(micros(direct_time))?;
            through.record(micros(through_time))?;
        }
    }
    for (name, histogram) in [("direct", &direct), ("through a VM", &through)] {
        println!(
            "{name:>14}: p50 {:.2} ms, p95 {:.2} ms",
            quantile_ms(histogram, 0.5),
            quantile_ms(histogram, 0.95)
        );
    }
    for quantile in [0.5, 0.95] {
        let added = quantile_ms(&through, quantile) - quantile_ms(&direct, quantile);
        println!("{:>14}: p{:.0} {added:.2} ms", "added", quantile * 100.0);
    }
    Ok(true)
}

fn make_prompt(kind: &str, round: usize, tokens: usize) -> String {
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
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
