//! The `load` subcommand: an open-loop load generator.
//!
//! Requests start at their arrival time, regardless of whether earlier ones have finished.

use std::fs;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow, bail};
use clap::ArgMatches;
use fastrand::Rng;
use indicatif::ProgressBar;
use merlinrudder_fakes::completion::{FakeCompletion, TOKEN_BYTES};
use serde::Deserialize;
use serde_json::json;

use super::{number_option, text_list_option, text_option};
use crate::client::{CompletionCall, complete};
use crate::load_stats::{LoadStats, format_table};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(10);
/// Requests in progress at which the run aborts: the load generator is then the bottleneck.
const MAX_IN_PROGRESS: usize = 4000;

/// One request of the load; `at_ms` counts from the start of the run.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Arrival {
    at_ms: u64,
    prompt_tokens: u64,
    max_tokens: u64,
}

/// Runs the load and prints the results; returns whether no answer was wrong.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let seed: u64 = number_option(matches, "seed")?;
    let arrivals = match matches.get_one::<String>("trace") {
        Some(path) => read_trace(path)?,
        None => generate_arrivals(matches, seed)?,
    };
    let callers = text_list_option(matches, "callers");
    let tokens = text_list_option(matches, "tokens");
    let model = text_option(matches, "model")?.to_owned();
    let stats = send_arrivals(&arrivals, &callers, &tokens, &model, seed)?;
    let stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
    let results = stats.results();
    println!("{}", format_table(&results));
    if let Some(path) = matches.get_one::<String>("output") {
        let result = json!({ "requests": arrivals.len(), "seed": seed, "classes": results });
        fs::write(path, serde_json::to_string_pretty(&result)?)
            .with_context(|| format!("cannot write {path}"))?;
    }
    Ok(results.iter().all(|class| class.wrong == 0))
}

fn read_trace(path: &str) -> Result<Vec<Arrival>> {
    let text = fs::read_to_string(path).with_context(|| format!("cannot read {path}"))?;
    let lines = text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(number, line)| {
            serde_json::from_str(line).with_context(|| format!("{path}, line {}", number + 1))
        })
        .collect()
}

/// Generates Poisson arrivals (exponential gaps) with prompt lengths drawn from `--mix`.
fn generate_arrivals(matches: &ArgMatches, seed: u64) -> Result<Vec<Arrival>> {
    let rate: f64 = number_option(matches, "rate")?;
    let seconds: f64 = number_option(matches, "seconds")?;
    let max_tokens = number_option(matches, "max-tokens")?;
    let mix = parse_mix(text_option(matches, "mix")?)?;
    if rate <= 0.0 {
        bail!("--rate must be positive");
    }
    let mut rng = Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        if at.as_secs_f64() >= seconds {
            return Ok(arrivals);
        }
        let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        let prompt_tokens = pick_prompt_tokens(&mix, &mut rng);
        arrivals.push(Arrival {
            at_ms,
            prompt_tokens,
            max_tokens,
        });
    }
}

/// Prompt lengths in tokens, each with its relative weight.
type Mix = Vec<(u64, u32)>;

fn parse_mix(text: &str) -> Result<Mix> {
    let parse_entry = |entry: &str| -> Option<(u64, u32)> {
        let (tokens, weight) = entry.split_once(':')?;
        Some((tokens.trim().parse().ok()?, weight.trim().parse().ok()?))
    };
    let mix: Option<Mix> = text.split(',').map(parse_entry).collect();
    mix.filter(|mix| mix.iter().map(|(_, weight)| weight).sum::<u32>() > 0)
        .ok_or_else(|| {
            anyhow!("--mix: '{text}' is not a list of tokens:weight, such as 1000:90,30000:10")
        })
}

/// Draws a prompt length with a probability proportional to its weight.
fn pick_prompt_tokens(mix: &Mix, rng: &mut Rng) -> u64 {
    let total: u32 = mix.iter().map(|(_, weight)| weight).sum();
    let mut drawn = rng.u32(..total);
    for (tokens, weight) in mix {
        if drawn < *weight {
            return *tokens;
        }
        drawn -= weight;
    }
    mix[0].0
}

/// Sends each request at its arrival time on a thread of its own, and waits for all.
///
/// Requests go to the VMs and use the customer tokens in turn.
fn send_arrivals(
    arrivals: &[Arrival],
    callers: &[String],
    tokens: &[String],
    model: &str,
    seed: u64,
) -> Result<Arc<Mutex<LoadStats>>> {
    let stats = Arc::new(Mutex::new(LoadStats::default()));
    let progress = ProgressBar::new(arrivals.len() as u64);
    let start = Instant::now();
    let mut threads = Vec::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        let due = Duration::from_millis(arrival.at_ms);
        thread::sleep(due.saturating_sub(start.elapsed()));
        threads.retain(|thread: &thread::JoinHandle<()>| !thread.is_finished());
        if threads.len() >= MAX_IN_PROGRESS {
            bail!("the load generator is overloaded: {MAX_IN_PROGRESS} requests are in progress");
        }
        let (arrival, model, progress) = (*arrival, model.to_owned(), progress.clone());
        let address = callers[index % callers.len()].clone();
        let token = tokens[index % tokens.len()].clone();
        let stats = Arc::clone(&stats);
        let prompt = make_prompt(seed, index, arrival.prompt_tokens);
        threads.push(thread::Builder::new().spawn(move || {
            send_request(&address, &token, &model, &prompt, arrival, &stats);
            progress.inc(1);
        })?);
    }
    for thread in threads {
        thread
            .join()
            .map_err(|_panic| anyhow!("a caller thread panicked"))?;
    }
    progress.finish_and_clear();
    Ok(stats)
}

/// Sends one request and compares its answer with the text that every fake engine generates.
fn send_request(
    address: &str,
    token: &str,
    model: &str,
    prompt: &str,
    arrival: Arrival,
    stats: &Mutex<LoadStats>,
) {
    let max_tokens = arrival.max_tokens;
    let outcome = complete(&CompletionCall {
        address,
        token,
        model,
        prompt,
        max_tokens,
        timeout: REQUEST_TIMEOUT,
    });
    let expected = FakeCompletion::new(prompt, max_tokens).text();
    let correct = if outcome.whole {
        outcome.text == expected
    } else {
        expected.starts_with(&outcome.text)
    };
    let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
    stats.count_outcome(arrival.prompt_tokens, &outcome, correct);
}

/// Makes a prompt that shares no prefix cache block with others of the run.
///
/// The first block already contains the index of the request.
fn make_prompt(seed: u64, index: usize, tokens: u64) -> String {
    let mut prompt = format!("{seed}/{index} ");
    let length = usize::try_from(tokens)
        .unwrap_or(usize::MAX)
        .saturating_mul(TOKEN_BYTES);
    let filler = "soil plot note sum ";
    while prompt.len() < length {
        prompt.push_str(filler);
    }
    prompt.truncate(length.max(1));
    prompt
}
