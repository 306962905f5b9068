//! A randomized soak test: injects faults into a deployment of processes and checks invariants.
//!
//! Callers, an operator and backend servers continue while processes are killed, paused, stopped
//! and restarted, data folders are deleted, connections to backend servers are impaired, entry VMs
//! are cut off from all of them, and backend servers name limits or crash, alone, together, or because
//! of the request that they run.
//! The seed determines the faults and their times; how the processes react differs between runs.

mod crashes;
mod cut_off;
mod cuts;
mod evacuations;
mod faults;
mod limits;
mod parts;
mod traffic;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;

use crate::backend::{Execution, FakeBackend};
use crate::http_client::send_customer_request;
use crate::nodes::{CONTROL_VMS, Nodes, sample_configuration};
use crate::proxy::{Impairment, Proxy};

const BACKENDS: usize = 6;
/// Backend servers that are reached through a proxy; the others refuse connections while down.
const PROXIED_BACKENDS: usize = 4;
const CALLERS: u64 = 8;
/// Downtime of the first backend server after a crash; each further one takes as much longer.
const SHORTEST_DOWNTIME: Duration = Duration::from_millis(400);
/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Servers that one attempt may run on, on each route of `sample_configuration`.
const MAX_ATTEMPTS: usize = 2;
/// Violations that a report holds at most.
const MAX_VIOLATIONS: usize = 20;
/// Longest wait for each expected state after all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Seed and length of one soak test.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag adds one kind of fault"
)]
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Seed of the injected faults and of the traffic.
    pub seed: u64,
    /// Time during which faults are injected; recovery comes on top.
    pub duration: Duration,
    /// Number of entry VMs beside the three control VMs.
    pub entry_vms: u8,
    /// Number of different requests that crash servers; one for each kind of route at most.
    pub culprits: usize,
    /// Number of callers whose requests share a part that crashes servers.
    pub parts: usize,
    /// Whether servers are also silent for longer, and answer without framing.
    pub silences: bool,
    /// Whether servers also name limits on their request rates.
    pub limits: bool,
    /// Whether entry VMs are also cut off from all servers.
    pub cuts: bool,
    /// Whether an operator also evacuates a zone.
    pub evacuations: bool,
}

/// Counts and violated invariants of one soak test.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests that got a complete 2xx response.
    pub served: u64,
    /// Injected faults.
    pub faults: u64,
    /// Configurations that were confirmed, without the first.
    pub confirmed: u64,
    /// Runs of requests that crash servers.
    pub crashing_runs: usize,
    /// Runs of requests with a part that crashes servers.
    pub part_runs: usize,
    /// Requests that were refused because their content crashed servers.
    pub quarantined: u64,
    /// Requests that were refused so although their content never crashed a server.
    pub wrongly_refused: u64,
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
    /// Last lines of each node's log; empty without violations.
    pub logs: String,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            served,
            faults,
            confirmed,
            crashing_runs,
            part_runs,
            quarantined,
            wrongly_refused,
            violations,
            ..
        } = self;
        let violations = violations.len();
        write!(
            f,
            "{requests} requests, {served} served, {crashing_runs} crashing runs, \
             {part_runs} with a part, {quarantined} quarantined, {wrongly_refused} wrongly, {faults} faults, \
             {confirmed} configurations confirmed, {violations} violations"
        )
    }
}

/// A call that may run at most once, and the status that its caller got.
struct AtMostOnceCall {
    attempt: String,
    status: u16,
}

/// A fake backend server, and the proxy whose address is registered instead of its own.
struct SoakBackend {
    server: FakeBackend,
    proxy: Option<Proxy>,
    /// Start and end of each past impairment of connections to it.
    impairments: Mutex<Vec<(Instant, Instant)>>,
}

impl SoakBackend {
    /// Returns the address that heartbeats register.
    fn address(&self) -> SocketAddr {
        let proxy = self.proxy.as_ref();
        proxy.map_or(self.server.address, |proxy| proxy.address)
    }
}

/// The deployment, backend servers and results, shared by the threads of a soak test.
struct SoakHarness {
    options: SoakOptions,
    nodes: Nodes,
    /// Backend servers, the first `PROXIED_BACKENDS` of them with a proxy.
    backends: Vec<SoakBackend>,
    started: Instant,
    stopped: AtomicBool,
    requests: AtomicU64,
    served: AtomicU64,
    faults: AtomicU64,
    /// Newest configuration version that was confirmed.
    confirmed_version: AtomicU64,
    confirmations: AtomicU64,
    /// Time of the last fault's start or end per node, in milliseconds since `started`.
    last_disturbed: Vec<AtomicU64>,
    /// Whether a fault of each node is in progress.
    faulted: Vec<AtomicBool>,
    once_calls: Mutex<Vec<AtMostOnceCall>>,
    /// Backend servers that name a limit now, by index.
    limited_backends: Mutex<BTreeSet<usize>>,
    /// Limits that were named and have ended.
    named_limits: Mutex<Vec<limits::NamedLimit>>,
    /// Entry VMs that are cut off now.
    cut_entries: Mutex<Vec<usize>>,
    /// Cuts of entry VMs that have ended.
    cut_off: Mutex<Vec<cut_off::CutOff>>,
    /// Held while a zone is evacuated.
    evacuating: Mutex<()>,
    /// Evacuations that were acknowledged and have ended.
    evacuations: Mutex<Vec<evacuations::Evacuation>>,
    /// All requests of callers.
    first_tries: Mutex<Vec<cut_off::FirstTry>>,
    /// Attempts of streams that were cut through undisturbed VMs, and when.
    cut_streams: Mutex<Vec<(String, Instant)>>,
    /// Attempts that crash servers, and whether the VMs were undisturbed during each.
    crash_attempts: Mutex<BTreeMap<String, bool>>,
    /// When each innocent request was first refused as quarantined since it was last served.
    refused_since: Mutex<BTreeMap<String, Instant>>,
    /// Refusals of innocent requests as quarantined.
    wrongly_refused: AtomicU64,
    /// Refusals of requests that crash servers.
    quarantined: AtomicU64,
    violations: Mutex<Vec<String>>,
}

impl SoakHarness {
    fn spawn(program: &Path, options: SoakOptions) -> Result<Self> {
        let nodes = Nodes::spawn(program, options.entry_vms)?;
        let mut backends = Vec::new();
        for number in 0..BACKENDS {
            let server = FakeBackend::bind(&format!("i-{number}"), EVENT_INTERVAL)?;
            server.set_downtime(SHORTEST_DOWNTIME * u32::try_from(number + 1)?);
            let proxy = (number < PROXIED_BACKENDS).then(|| Proxy::bind(server.address));
            let proxy = proxy.transpose()?;
            backends.push(SoakBackend {
                server,
                proxy,
                impairments: Mutex::default(),
            });
        }
        Ok(Self {
            last_disturbed: (0..nodes.len()).map(|_| AtomicU64::new(0)).collect(),
            faulted: (0..nodes.len()).map(|_| AtomicBool::new(false)).collect(),
            options,
            nodes,
            backends,
            started: Instant::now(),
            stopped: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            served: AtomicU64::new(0),
            faults: AtomicU64::new(0),
            confirmed_version: AtomicU64::new(0),
            confirmations: AtomicU64::new(0),
            once_calls: Mutex::default(),
            limited_backends: Mutex::default(),
            named_limits: Mutex::default(),
            cut_entries: Mutex::default(),
            cut_off: Mutex::default(),
            evacuating: Mutex::default(),
            evacuations: Mutex::default(),
            first_tries: Mutex::default(),
            cut_streams: Mutex::default(),
            crash_attempts: Mutex::default(),
            refused_since: Mutex::default(),
            wrongly_refused: AtomicU64::new(0),
            quarantined: AtomicU64::new(0),
            violations: Mutex::default(),
        })
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns the executions of all backend servers.
    fn executions(&self) -> Vec<Execution> {
        let backends = self.backends.iter();
        backends
            .flat_map(|backend| backend.server.executions())
            .collect()
    }

    /// Records the start or the end of a fault of a node.
    fn record_disturbance(&self, node: usize, in_progress: bool) {
        self.faulted[node].store(in_progress, Ordering::Relaxed);
        self.last_disturbed[node].store(self.elapsed_ms(), Ordering::Relaxed);
    }

    /// Records a violation; keeps the first `MAX_VIOLATIONS`.
    fn record_violation(&self, what: String) {
        let mut violations = lock(&self.violations);
        if violations.len() < MAX_VIOLATIONS {
            violations.push(what);
        }
    }

    /// Ends all faults, then waits for the newest configuration and for complete streams.
    fn recover(&self) -> Result<()> {
        for backend in &self.backends {
            if let Some(proxy) = &backend.proxy {
                proxy.impair(Impairment::None);
            }
            backend.server.set_faults(&[]);
        }
        for node in 0..self.nodes.len() {
            if self.nodes.has_ended(node) {
                self.nodes.start(node, false)?;
            }
        }
        let newest = self.confirmed_version.load(Ordering::Relaxed);
        for control in 0..CONTROL_VMS {
            self.wait_for_recovery(&format!("version {newest} at control VM {control}"), || {
                self.nodes
                    .read_version(control)
                    .is_some_and(|version| version >= newest)
            });
        }
        for entry in CONTROL_VMS..self.nodes.len() {
            let mut tries = 0;
            self.wait_for_recovery(
                &format!("a complete stream through entry VM {entry}"),
                || {
                    tries += 1;
                    let attempt = format!("last-{entry}-{tries}");
                    send_customer_request(
                        self.nodes.callers_address(entry),
                        "POST /stream/x",
                        &attempt,
                    )
                    .is_whole_stream()
                },
            );
        }
        Ok(())
    }

    /// Polls until `reached` returns true; a timeout is recorded as a violation.
    fn wait_for_recovery(&self, what: &str, mut reached: impl FnMut() -> bool) {
        let start = Instant::now();
        while !reached() {
            if start.elapsed() > RECOVERY_TIMEOUT {
                self.record_violation(format!(
                    "no recovery after all faults ended: missing {what}"
                ));
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Checks that no attempt ran on more servers than its route allows.
    fn check_attempts(&self) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for ran in self.executions() {
            *runs.entry(ran.attempt).or_default() += 1;
        }
        for (attempt, runs) in runs.into_iter().filter(|(_, runs)| *runs > MAX_ATTEMPTS) {
            self.record_violation(format!("attempt {attempt} ran {runs} times"));
        }
    }

    /// Checks at-most-once calls: none ran twice, and none that was refused ran at all.
    fn check_executions(&self) {
        let executions = self.executions().into_iter();
        let ran: Vec<_> = executions.map(|ran| ran.attempt).collect();
        for call in lock(&self.once_calls).iter() {
            let runs = ran.iter().filter(|ran| **ran == call.attempt).count();
            let (attempt, status) = (&call.attempt, call.status);
            if runs > 1 {
                self.record_violation(format!("at-most-once call {attempt} ran {runs} times"));
            }
            if runs > 0 && [408, 421, 429, 503].contains(&status) {
                self.record_violation(format!(
                    "call {attempt} got status {status} but was executed"
                ));
            }
        }
    }
}

/// Runs one soak test with `program`, the node's binary.
///
/// # Errors
/// Fails if a process cannot be started, signaled or killed, or the first configuration is not
/// confirmed.
pub fn run(program: &Path, options: SoakOptions) -> Result<SoakReport> {
    let harness = SoakHarness::spawn(program, options)?;
    if options.parts > 0 {
        parts::prepare(&harness);
    }
    traffic::publish_first(&harness)?;
    thread::scope(|scope| {
        scope.spawn(|| traffic::send_heartbeats(&harness));
        scope.spawn(|| traffic::run_operator(&harness, options.seed));
        for caller in 0..CALLERS {
            let harness = &harness;
            scope.spawn(move || traffic::run_caller(harness, caller, options.seed));
        }
        for route in crashes::routes(options) {
            let harness = &harness;
            scope.spawn(move || crashes::run_caller(harness, route, options.seed));
        }
        for caller in 0..options.parts {
            let harness = &harness;
            scope.spawn(move || parts::run_caller(harness, caller, options.seed));
        }
        let injected = faults::inject(&harness, options);
        let recovered = injected.and_then(|()| harness.recover());
        harness.stopped.store(true, Ordering::Relaxed);
        recovered
    })?;
    harness.check_executions();
    harness.check_attempts();
    crashes::check(&harness);
    parts::check(&harness);
    cuts::check(&harness);
    limits::check(&harness);
    cut_off::check(&harness);
    evacuations::check(&harness);
    let violations = std::mem::take(&mut *lock(&harness.violations));
    let logs = if violations.is_empty() {
        String::new()
    } else {
        harness.nodes.log_tails()
    };
    Ok(SoakReport {
        requests: harness.requests.load(Ordering::Relaxed),
        served: harness.served.load(Ordering::Relaxed),
        faults: harness.faults.load(Ordering::Relaxed),
        confirmed: harness.confirmations.load(Ordering::Relaxed),
        crashing_runs: crashes::run_count(&harness),
        part_runs: parts::runs(&harness).len(),
        quarantined: harness.quarantined.load(Ordering::Relaxed),
        wrongly_refused: harness.wrongly_refused.load(Ordering::Relaxed),
        violations,
        logs,
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
