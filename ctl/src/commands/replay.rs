//! Replays traces of both deployments against the dispatcher and the baselines.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result, anyhow, bail};
use clap::ArgMatches;
use merlinrudder_core::manifest::Policy as DispatchPolicy;
use merlinrudder_fakes::engine::model::EngineConfig;
use serde_json::json;

use super::{number, text};
use crate::replay::baseline::Baseline;
use crate::replay::result::{ReplayResult, SHORT_TOKENS, short_ttft_p95};
use crate::replay::trace::{Scenario, Trace, TraceOptions, generate_trace};
use crate::replay::{PlacementPolicy, ReplayOptions, replay};

/// Streams that share a step of a busy engine, for the estimate of the fleet's capacity.
const BUSY_STREAMS: f64 = 32.0;

/// Runs the replays asked for and prints a row for each policy.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let policies = policies(text(matches, "policy")?)?;
    let engines: usize = number(matches, "engines")?;
    let seed = number(matches, "seed")?;
    let mut rows = Vec::new();
    for trace in traces(matches, engines, seed)? {
        println!("{} ({} requests)", trace.name, trace.arrivals.len());
        println!("{}", head());
        for (name, policy) in &policies {
            let options = ReplayOptions {
                policy: *policy,
                engines,
                config: EngineConfig::default(),
                seed,
            };
            let (result, samples) = replay(&trace, options);
            let (_, alone) = replay(&shorts_only(&trace), options);
            let (beside, alone) = (short_ttft_p95(&samples), short_ttft_p95(&alone));
            println!("{}", row(name, &result, beside, alone));
            rows.push(json!({
                "trace": trace.name, "policy": name, "result": result,
                "short_p95_ms": beside, "short_alone_p95_ms": alone,
            }));
        }
    }
    if let Some(path) = matches.get_one::<String>("output") {
        fs::write(path, serde_json::to_string_pretty(&rows)?)
            .with_context(|| format!("cannot write {path}"))?;
    }
    Ok(true)
}

fn traces(matches: &ArgMatches, engines: usize, seed: u64) -> Result<Vec<Trace>> {
    let name = text(matches, "trace")?;
    if Path::new(name)
        .extension()
        .is_some_and(|ending| ending == "json")
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
            anyhow!("the trace is '{name}'; valid are all, {names}, or a .json file")
        })?],
    };
    let load = number(matches, "load")?;
    let seconds = number(matches, "seconds")?;
    let draw_one = |scenario| {
        generate_trace(&TraceOptions {
            scenario,
            load,
            seconds,
            engines,
            cost: engine_seconds,
            seed,
        })
    };
    Ok(scenarios.into_iter().map(draw_one).collect())
}

/// Engine seconds that a request takes on a busy engine.
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

fn policies(names: &str) -> Result<Vec<(String, PlacementPolicy)>> {
    names
        .split(',')
        .map(|name| {
            let policy = match name {
                "first-token" => PlacementPolicy::Dispatcher(DispatchPolicy::FIRST_TOKEN),
                "short-slowdown" => PlacementPolicy::Dispatcher(DispatchPolicy::SHORT_SLOWDOWN),
                "round-robin" => PlacementPolicy::Baseline(Baseline::RoundRobin),
                "least-loaded" => PlacementPolicy::Baseline(Baseline::LeastLoaded),
                "first-come" => PlacementPolicy::Baseline(Baseline::FirstCome),
                _ => bail!(
                    "--policy holds '{name}'; valid are first-token, short-slowdown, \
                     round-robin, least-loaded, first-come"
                ),
            };
            Ok((name.to_owned(), policy))
        })
        .collect()
}

/// The same trace without its longer prompts.
fn shorts_only(trace: &Trace) -> Trace {
    let mut alone = trace.clone();
    alone
        .arrivals
        .retain(|arrival| arrival.prompt_tokens < SHORT_TOKENS);
    alone
}

fn head() -> String {
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

#[expect(
    clippy::cast_precision_loss,
    reason = "times stay far below 2^52 milliseconds"
)]
fn row(name: &str, result: &ReplayResult, beside: u64, alone: u64) -> String {
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
            "{:.2} {beside}/{alone}",
            beside as f64 / alone.max(1) as f64
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
