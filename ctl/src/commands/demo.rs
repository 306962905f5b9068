//! The `demo` subcommand: a deployment of three VMs with fake servers in one process.
//!
//! VMs and fakes communicate over real sockets, and one engine is killed under load.

use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use merlinrudder_fakes::announcer::AnnounceOptions;
use merlinrudder_fakes::app::{AppOptions, FakeApp, keys_run_twice};
use merlinrudder_fakes::completion::{FakeCompletion, TOKEN_BYTES, prompt_tokens};
use merlinrudder_fakes::engine::model::EngineConfig;
use merlinrudder_fakes::engine::{EngineOptions, FakeEngine};
use merlinrudder_node::options::settings::Settings;
use merlinrudder_node::vm::RunningVm;
use slog::{Discard, Logger, o};

use crate::client::{CallOutcome, CompletionCall, call_plain, complete, publish, status};
use crate::deployment::{
    ADMIN_TOKEN, BACKENDS_TOKEN, LocalVm, create_deployment, customer_token, manifest,
};
use crate::load_stats::{LoadStats, format_table};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const CUSTOMER: &str = "demo";
/// Engines per zone; a prompt of a million tokens needs the memory of three.
const ENGINES_PER_ZONE: usize = 4;
/// Factor by which the fake engines run faster than real time.
const SPEED: f64 = 5.0;
/// Timeout to publish the manifest, and then for all backend servers to register.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Prompt lengths in tokens, each with its number of prompts.
const PROMPTS: [(u64, usize); 4] = [(1_000, 24), (20_000, 4), (100_000, 3), (1_000_000, 1)];
const MAX_TOKENS: u64 = 96;

/// Returns whether every answer was whole and correct and no call ran twice.
pub(super) fn run() -> Result<bool> {
    let folder = tempfile::tempdir()?;
    let vms = create_deployment(folder.path(), &ZONES, ZONES.len())?;
    println!("Starting {} VMs in {} zones ...", vms.len(), ZONES.len());
    let log = Logger::root(Discard, o!());
    let running: Vec<_> = vms
        .iter()
        .map(|vm| RunningVm::spawn(&Settings::open(&vm.settings_path)?, &log))
        .collect::<Result<_>>()?;
    publish_first_manifest(&vms)?;
    let engines = start_engines(&vms)?;
    let apps = start_apps(&vms)?;
    wait_for_servers(&vms)?;
    println!("Sending short and long prompts at once, and killing an engine ...");
    let completions = thread::scope(|scope| {
        let completions_thread = scope.spawn(|| run_completions(&vms));
        thread::sleep(Duration::from_millis(700));
        engines[0].kill();
        completions_thread.join()
    });
    let Ok((stats, wrong_answers)) = completions else {
        bail!("a caller thread panicked");
    };
    println!("Sending a call that must not run twice, through each VM ...");
    let repeated_keys = call_through_every_vm(&vms, &apps)?;
    println!("\n{}", format_table(&stats.results()));
    println!("wrong answers: {wrong_answers}");
    println!("calls that ran twice: {repeated_keys}");
    println!("retries: {}", count_retries(&vms)?);
    let memory: u64 = engines.iter().skip(1).map(FakeEngine::memory_used).sum();
    println!("engine memory still held: {memory} tokens");
    drop(running);
    let failed: u64 = stats
        .results()
        .iter()
        .flat_map(|class| class.refusals.values())
        .sum();
    println!("requests without a whole answer: {failed}");
    Ok(wrong_answers == 0 && repeated_keys == 0 && failed == 0)
}

fn publish_first_manifest(vms: &[LocalVm]) -> Result<()> {
    let document = manifest(1, &ZONES, &[CUSTOMER]).to_string();
    let start = Instant::now();
    loop {
        let admin = vms[0].admin.to_string();
        let published = publish(&admin, ADMIN_TOKEN, document.as_bytes());
        if let Ok((200, answer)) = &published {
            println!(
                "Manifest {} accepted and in force on all VMs {} ms later.",
                answer["number"], answer["waited_ms"]
            );
            return Ok(());
        }
        if start.elapsed() > START_TIMEOUT {
            bail!("the manifest was not accepted: {published:?}");
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn announce_options(vms: &[LocalVm]) -> AnnounceOptions {
    AnnounceOptions {
        vms: vms.iter().map(|vm| vm.backends.to_string()).collect(),
        token: BACKENDS_TOKEN.to_owned(),
        period: Duration::from_millis(300),
    }
}

fn start_engines(vms: &[LocalVm]) -> Result<Vec<FakeEngine>> {
    let mut engines = Vec::new();
    for zone in ZONES {
        for number in 1..=ENGINES_PER_ZONE {
            engines.push(FakeEngine::spawn(EngineOptions {
                id: format!("engine-{zone}-{number}"),
                service: "drafts".to_owned(),
                zone: zone.to_owned(),
                listen: "127.0.0.1:0".parse()?,
                config: EngineConfig::default(),
                speed: SPEED,
                report_lag: Duration::from_millis(500),
                checks_fencing: true,
                exits_on_crash: false,
                announce: announce_options(vms),
            })?);
        }
    }
    Ok(engines)
}

fn start_apps(vms: &[LocalVm]) -> Result<Vec<FakeApp>> {
    let mut apps = Vec::new();
    for zone in ZONES {
        apps.push(FakeApp::spawn(AppOptions {
            id: format!("app-{zone}"),
            service: "filing".to_owned(),
            zone: zone.to_owned(),
            listen: "127.0.0.1:0".parse()?,
            call_time: Duration::from_millis(5),
            exits_on_crash: false,
            announce: announce_options(vms),
        })?);
    }
    Ok(apps)
}

/// Waits until each backend server is registered at one or more VMs.
fn wait_for_servers(vms: &[LocalVm]) -> Result<()> {
    let expected = ZONES.len() * (ENGINES_PER_ZONE + 1);
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        let mut known = std::collections::BTreeSet::new();
        for vm in vms {
            let status = status(&vm.admin.to_string(), ADMIN_TOKEN)?;
            known.extend(status.servers.into_iter().map(|server| server.id));
        }
        if known.len() == expected {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    bail!("not all backend servers are registered after {START_TIMEOUT:?}")
}

fn run_completions(vms: &[LocalVm]) -> (LoadStats, usize) {
    let mut prompts = Vec::new();
    for (tokens, count) in PROMPTS {
        prompts.extend((0..count).map(|number| make_prompt(tokens, number)));
    }
    let outcomes: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = prompts
            .iter()
            .enumerate()
            .map(|(index, prompt)| {
                let vm = &vms[index % vms.len()];
                scope.spawn(move || {
                    // Prompts start 60 ms apart, in the order of `PROMPTS`.
                    thread::sleep(Duration::from_millis(60 * index as u64));
                    send_completion(vm, prompt)
                })
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default())
            .collect()
    });
    let mut stats = LoadStats::default();
    let mut wrong_answers = 0;
    for (prompt, outcome) in prompts.iter().zip(&outcomes) {
        let expected = FakeCompletion::new(prompt, MAX_TOKENS).text();
        let correct =
            expected.starts_with(&outcome.text) && (!outcome.whole || outcome.text == expected);
        wrong_answers += usize::from(!correct);
        stats.count_outcome(prompt_tokens(prompt), outcome, correct);
    }
    (stats, wrong_answers)
}

fn send_completion(vm: &LocalVm, prompt: &str) -> CallOutcome {
    complete(&CompletionCall {
        address: &vm.callers.to_string(),
        token: &customer_token(CUSTOMER),
        model: "drafts",
        prompt,
        max_tokens: MAX_TOKENS,
        timeout: REQUEST_TIMEOUT,
    })
}

fn make_prompt(tokens: u64, number: usize) -> String {
    let length = usize::try_from(tokens).unwrap_or(usize::MAX) * TOKEN_BYTES;
    let mut prompt = format!("Prompt {number} of {tokens} tokens. ");
    prompt.push_str(&"Plot history and ledger lines. ".repeat(length / 31 + 1));
    prompt.truncate(length);
    prompt
}

/// Sends one call with one idempotency key through every VM in turn.
///
/// Returns the number of keys that ran more than once.
///
/// # Errors
/// Fails if an answer is not 200 or differs from the first.
fn call_through_every_vm(vms: &[LocalVm], apps: &[FakeApp]) -> Result<usize> {
    let token = customer_token(CUSTOMER);
    let mut answers = Vec::new();
    for vm in vms {
        let address = vm.callers.to_string();
        let key = Some("annual-report-1");
        let outcome = call_plain(&address, &token, "POST", "/filing/reports", key, "report");
        let first = answers.first();
        if outcome.status != 200 || first.is_some_and(|first| *first != outcome.text) {
            bail!("unexpected answer to the repeated call: {outcome:?}");
        }
        answers.push(outcome.text);
    }
    let logs: Vec<_> = apps.iter().map(FakeApp::log).collect();
    Ok(keys_run_twice(&logs).len())
}

fn count_retries(vms: &[LocalVm]) -> Result<u64> {
    // All VMs of this process share one metrics recorder, so one VM reports the sum.
    let admin = vms.first().context("the deployment has no VMs")?.admin;
    let text = attohttpc::get(format!("http://{admin}/metrics"))
        .send()?
        .text_utf8()?;
    let counts = text
        .lines()
        .filter(|line| line.starts_with("merlinrudder_retries_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    Ok(counts.sum())
}
