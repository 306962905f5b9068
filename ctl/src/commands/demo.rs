//! A whole deployment in one process: three VMs over real sockets, stand-ins, faults.

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
/// Engines in each zone; a prompt of a million tokens takes three of them.
const ENGINES: usize = 4;
/// How much faster than real time the stand-ins run.
const SPEED: f64 = 5.0;
/// Time for the deployment to come up.
const START_TIME: Duration = Duration::from_secs(20);
const TIMEOUT: Duration = Duration::from_mins(1);
/// Prompts of each length, in tokens.
const PROMPTS: [(u64, usize); 4] = [(1_000, 24), (20_000, 4), (100_000, 3), (1_000_000, 1)];
const MAX_TOKENS: u64 = 96;

/// Runs the demonstration; returns whether every answer was right and nothing ran twice.
pub(super) fn run() -> Result<bool> {
    let folder = tempfile::tempdir()?;
    let vms = create_deployment(folder.path(), &ZONES, ZONES.len())?;
    println!("Starting {} VMs in {} zones ...", vms.len(), ZONES.len());
    let log = Logger::root(Discard, o!());
    let running: Vec<_> = vms
        .iter()
        .map(|vm| RunningVm::spawn(&Settings::open(&vm.settings_path)?, &log))
        .collect::<Result<_>>()?;
    publish_first(&vms)?;
    let engines = start_engines(&vms)?;
    let apps = start_apps(&vms)?;
    wait_for_servers(&vms)?;
    println!("Sending short and long prompts at once, and killing an engine ...");
    let completions = thread::scope(|scope| {
        let handle = scope.spawn(|| run_completions(&vms));
        thread::sleep(Duration::from_millis(700));
        engines[0].kill();
        handle.join()
    });
    let Ok((stats, wrong)) = completions else {
        bail!("a caller's thread failed");
    };
    println!("Sending a call that must not run twice, through each VM ...");
    let twice = run_call_thrice(&vms, &apps)?;
    println!("\n{}", format_table(&stats.results()));
    println!("wrong answers: {wrong}");
    println!("calls that ran twice: {twice}");
    println!("retries: {}", retries(&vms)?);
    let memory: u64 = engines.iter().skip(1).map(FakeEngine::memory_used).sum();
    println!("engine memory still held: {memory} tokens");
    drop(running);
    let failed: u64 = stats
        .results()
        .iter()
        .flat_map(|class| class.refusals.values())
        .sum();
    println!("requests without a whole answer: {failed}");
    Ok(wrong == 0 && twice == 0 && failed == 0)
}

fn publish_first(vms: &[LocalVm]) -> Result<()> {
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
        if start.elapsed() > START_TIME {
            bail!("the manifest was not accepted: {published:?}");
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn announce(vms: &[LocalVm]) -> AnnounceOptions {
    AnnounceOptions {
        vms: vms.iter().map(|vm| vm.backends.to_string()).collect(),
        token: BACKENDS_TOKEN.to_owned(),
        period: Duration::from_millis(300),
    }
}

fn start_engines(vms: &[LocalVm]) -> Result<Vec<FakeEngine>> {
    let mut engines = Vec::new();
    for zone in ZONES {
        for number in 1..=ENGINES {
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
                announce: announce(vms),
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
            announce: announce(vms),
        })?);
    }
    Ok(apps)
}

/// Waits until the VMs together know every backend server.
fn wait_for_servers(vms: &[LocalVm]) -> Result<()> {
    let expected = ZONES.len() * (ENGINES + 1);
    let start = Instant::now();
    while start.elapsed() < START_TIME {
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
    bail!("the backend servers are not known after {START_TIME:?}")
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
                    // Shorts come one after the other, beside the longs.
                    thread::sleep(Duration::from_millis(60 * index as u64));
                    ask(vm, prompt)
                })
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default())
            .collect()
    });
    let mut stats = LoadStats::default();
    let mut wrong = 0;
    for (prompt, outcome) in prompts.iter().zip(&outcomes) {
        let expected = FakeCompletion::new(prompt, MAX_TOKENS).text();
        let correct =
            expected.starts_with(&outcome.text) && (!outcome.whole || outcome.text == expected);
        wrong += usize::from(!correct);
        stats.count_outcome(prompt_tokens(prompt), outcome, correct);
    }
    (stats, wrong)
}

fn ask(vm: &LocalVm, prompt: &str) -> CallOutcome {
    complete(&CompletionCall {
        address: &vm.callers.to_string(),
        token: &customer_token(CUSTOMER),
        model: "drafts",
        prompt,
        max_tokens: MAX_TOKENS,
        timeout: TIMEOUT,
    })
}

fn make_prompt(tokens: u64, number: usize) -> String {
    let length = usize::try_from(tokens).unwrap_or(usize::MAX) * TOKEN_BYTES;
    let mut prompt = format!("Prompt {number} of {tokens} tokens. ");
    prompt.push_str(&"Plot history and ledger lines. ".repeat(length / 31 + 1));
    prompt.truncate(length);
    prompt
}

/// Sends one call with one key through every VM; returns how many keys ran twice.
fn run_call_thrice(vms: &[LocalVm], apps: &[FakeApp]) -> Result<usize> {
    let token = customer_token(CUSTOMER);
    let mut answers = Vec::new();
    for vm in vms {
        let address = vm.callers.to_string();
        let key = Some("annual-report-1");
        let outcome = call_plain(&address, &token, "POST", "/filing/reports", key, "report");
        let first = answers.first();
        if outcome.status != 200 || first.is_some_and(|first| *first != outcome.text) {
            bail!("the call was answered with {outcome:?}");
        }
        answers.push(outcome.text);
    }
    let logs: Vec<_> = apps.iter().map(FakeApp::log).collect();
    Ok(keys_run_twice(&logs).len())
}

fn retries(vms: &[LocalVm]) -> Result<u64> {
    // All VMs of this process share one recorder.
    let admin = vms.first().context("there is a VM")?.admin;
    let text = attohttpc::get(format!("http://{admin}/metrics"))
        .send()?
        .text_utf8()?;
    let counts = text
        .lines()
        .filter(|line| line.starts_with("merlinrudder_retries_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    Ok(counts.sum())
}
