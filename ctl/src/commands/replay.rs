//! The `replay` subcommand: simulates traces with the dispatcher and baseline policies.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result, anyhow, bail};
use clap::ArgMatches;
use merlinrudder_core::manifest::Policy as SchedulingPolicy;
use merlinrudder_fakes::engine::model::EngineConfig;
use serde_json::json;

use super::{number_option, text_option};
use crate::replay::baseline::Baseline;
use crate::replay::result::{ReplayResult, SHORT_TOKENS, short_ttft_p95};
use crate::replay::trace::{Scenario, Trace, TraceOptions, generate_trace};
use crate::replay::{PlacementPolicy, ReplayOptions, replay};

/// Streams decoded per step on a busy engine, to estimate the capacity of the fleet.
const BUSY_STREAMS: f64 = 32.0;

/// Replays each trace with each policy and prints a row for each.
///
/// Each replay is repeated without long prompts, to show how much they slow down short ones.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let policies = parse_policies(text_option(matches, "policy")?)?;
    let engines: usize = number_option(matches, "engines")?;
    let seed = number_option(matches, "seed")?;
    let mut rows = Vec::new();
    for trace in load_traces(matches, engines, seed)? {
        println!("{} ({} requests)", trace.name, trace.arrivals.len());
        println!("{}", table_header());
        for (name, policy) in &policies {
            let options = ReplayOptions {
                policy: *policy,
                engines,
                config: EngineConfig::default(),
                seed,
            };
            let (result, samples) = replay(&trace, options);
            let (_, short_samples) = replay(&without_long_prompts(&trace), options);
            let (mixed_p95, alone_p95) = (short_ttft_p95(&samples), short_ttft_p95(&short_samples));
            println!("{}", table_row(name, &result, mixed_p95, alone_p95));
            rows.push(json!({
                "trace": trace.name, "policy": name, "result": result,
                "short_p95_ms": mixed_p95, "short_alone_p95_ms": alone_p95,
            }));
        }
    }
    if let Some(path) = matches.get_one::<String>("output") {
        fs::write(path, serde_json::to_string_pretty(&rows)?)
            .with_context(|| format!("cannot write {path}"))?;
    }
    Ok(true)
}

/// Reads the trace from a `.json` file, or generates the scenarios of the given name.
fn load_traces(matches: &ArgMatches, engines: usize, seed: u64) -> Result<Vec<Trace>> {
    let name = text_option(matches, "trace")?;
    if Path::new(name)
        .extension()
        .is_some_and(|extension| extension == "json")
    {
        let bytes = fs::read(name).with_context(|| format!("cannot read {name}"))?;
        return Ok(vec![
            serde_json::from_slice(&bytes).with_context(|| name.to_owned())?,
        ]);
    }
    let scenarios = match name {
        "all" => Scenario::ALL.to_vec(),
        name => vec![Scenario::from_name(name).ok_or_else(|| {
            let names = Scenario::ALL.map(Scenario::name).join(", ");
            anyhow!("unknown trace '{name}'; valid are all, {names}, or a .json file")
        })?],
    };
    let load = number_option(matches, "load")?;
    let seconds = number_option(matches, "seconds")?;
    let draw_trace = |scenario| {
        generate_trace(&TraceOptions {
            scenario,
            load,
            seconds,
            engines,
            cost: engine_seconds,
            seed,
        })
    };
    Ok(scenarios.into_iter().map(draw_trace).collect())
}

/// Returns the engine time that a request takes on a busy engine, in seconds.
#[must_use]
pub fn engine_seconds(prompt: u64, output: u64) -> f64 {
    let config = EngineConfig::default();
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts stay far below 2^52"
    )]
    let (prompt, output) = (prompt as f64, output as f64);
    let step_ms = config.step_ms + config.stream_ms * BUSY_STREAMS;
    prompt / config.prefill_rate + output * step_ms / BUSY_STREAMS / 1000.0
}

fn parse_policies(names: &str) -> Result<Vec<(String, PlacementPolicy)>> {
    names
        .split(',')
        .map(|name| {
            let policy = match name {
                "first-token" => PlacementPolicy::Dispatcher(SchedulingPolicy::FIRST_TOKEN),
                "short-slowdown" => PlacementPolicy::Dispatcher(SchedulingPolicy::SHORT_SLOWDOWN),
                "round-robin" => PlacementPolicy::Baseline(Baseline::RoundRobin),
                "least-loaded" => PlacementPolicy::Baseline(Baseline::LeastLoaded),
                "first-come" => PlacementPolicy::Baseline(Baseline::FirstCome),
                _ => bail!(
                    "unknown policy '{name}' in --policy; valid are first-token, short-slowdown, \
                     round-robin, least-loaded, first-come"
                ),
            };
            Ok((name.to_owned(), policy))
        })
        .collect()
}

/// Returns the trace without prompts of `SHORT_TOKENS` or more.
fn without_long_prompts(trace: &Trace) -> Trace {
    let mut short_trace = trace.clone();
    short_trace
        .arrivals
        .retain(|arrival| arrival.prompt_tokens < SHORT_TOKENS);
    short_trace
}

fn table_header() -> String {
    format!(
        "{:>15} {:>21} {:>21} {:>21} {:>15} {:>9} {:>8} {:>9} {:>5} {:>7}",
        "policy",
        "< 2k p50/p95/p99 ms",
        "< 10k",
        "longer than 100k",
        "slowdown",
        "longs",
        "refused",
        "tokens/s",
        "fair",
        "retry %"
    )
}

/// Formats the row of one policy.
///
/// `mixed_p95` is the p95 time to first token of short prompts in milliseconds; `alone_p95` is that
/// of the trace without long prompts.
#[expect(
    clippy::cast_precision_loss,
    reason = "times stay far below 2^52 milliseconds"
)]
fn table_row(name: &str, result: &ReplayResult, mixed_p95: u64, alone_p95: u64) -> String {
    let class = |bound: u64| {
        let found = result
            .first_token_ms
            .iter()
            .find(|(class, _)| *class == bound);
        found.map_or("-".to_owned(), |(_, [p50, p95, p99])| {
            format!("{p50}/{p95}/{p99}")
        })
    };
    format!(
        "{name:>15} {:>21} {:>21} {:>21} {:>15} {:>9} {:>8} {:>9.0} {:>5.2} {:>7.2}{}",
        class(2_000),
        class(10_000),
        class(u64::MAX),
        format!(
            "{:.2} {mixed_p95}/{alone_p95}",
            mixed_p95 as f64 / alone_p95.max(1) as f64
        ),
        format!("{}/{}", result.long_prompts.1, result.long_prompts.0),
        result.refused,
        result.goodput,
        result.fairness,
        result.retry_percent,
        if result.unfinished + usize::try_from(result.memory_left).unwrap_or(1) > 0 {
            format!("  open {} memory {}", result.unfinished, result.memory_left)
        } else if result.poisoned > 0 {
            format!("  poisoned {}", result.poisoned)
        } else {
            String::new()
        }
    )
}
