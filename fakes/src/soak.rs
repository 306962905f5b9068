//! A randomized soak: the programs as processes, faults from outside them, and what must hold.
//!
//! Callers, an operator and backend servers go on while processes are killed, paused, stopped and
//! started again, disks are lost, and connections to backend servers are impaired. The seed decides
//! what happens and when; what the processes make of it differs from run to run.

mod faults;
mod traffic;

use std::fmt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;

use crate::backend::FakeBackend;
use crate::http_client::send_customer_request;
use crate::nodes::{CONTROL_VMS, Nodes, sample_configuration};
use crate::proxy::{Impairment, Proxy};

const ENTRIES: u8 = 3;
const BACKENDS: usize = 4;
const CALLERS: u64 = 8;
/// Time between two events of a stand-in's stream.
const PACE: Duration = Duration::from_millis(20);
/// Longest time in which everything serves again once all faults have ended.
const RECOVERY: Duration = Duration::from_mins(1);
const LOOK: Duration = Duration::from_millis(100);

/// What to play.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Decides the faults.
    pub seed: u64,
    /// Time in which faults happen.
    pub duration: Duration,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Requests of callers.
    pub requests: u64,
    /// Requests that were answered whole with success.
    pub served: u64,
    /// Faults that happened.
    pub faults: u64,
    /// Configurations that were confirmed.
    pub confirmed: u64,
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Last lines of the logs, where a promise was broken.
    pub logs: String,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            served,
            faults,
            confirmed,
            violations,
            ..
        } = self;
        let violations = violations.len();
        write!(
            f,
            "{requests} requests, {served} served, {faults} faults, {confirmed} configurations \
             confirmed, {violations} promises broken"
        )
    }
}

/// A call that may run once, and what its caller was told.
struct OnceCall {
    attempt: String,
    status: u16,
}

/// What the threads of a soak share.
struct World {
    nodes: Nodes,
    backends: Vec<(FakeBackend, Proxy)>,
    started: Instant,
    over: AtomicBool,
    requests: AtomicU64,
    served: AtomicU64,
    faults: AtomicU64,
    /// Highest version that was confirmed.
    confirmed: AtomicU64,
    confirmations: AtomicU64,
    /// When each node was disturbed last, in milliseconds since the start.
    disturbed: Vec<AtomicU64>,
    once: Mutex<Vec<OnceCall>>,
    violations: Mutex<Vec<String>>,
}

impl World {
    fn spawn(program: &Path) -> Result<Self> {
        let nodes = Nodes::spawn(program, ENTRIES)?;
        let mut backends = Vec::new();
        for number in 0..BACKENDS {
            let backend = FakeBackend::bind(&format!("i-{number}"), PACE)?;
            let proxy = Proxy::bind(backend.address)?;
            backends.push((backend, proxy));
        }
        Ok(Self {
            disturbed: (0..nodes.len()).map(|_| AtomicU64::new(0)).collect(),
            nodes,
            backends,
            started: Instant::now(),
            over: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            served: AtomicU64::new(0),
            faults: AtomicU64::new(0),
            confirmed: AtomicU64::new(0),
            confirmations: AtomicU64::new(0),
            once: Mutex::default(),
            violations: Mutex::default(),
        })
    }

    fn millis(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn disturb(&self, node: usize) {
        self.disturbed[node].store(self.millis(), Ordering::Relaxed);
    }

    fn broke(&self, what: String) {
        lock(&self.violations).push(what);
    }

    /// Ends all impairments and waits until everything serves what was confirmed.
    fn recover(&self) -> Result<()> {
        for (backend, proxy) in &self.backends {
            proxy.impair(Impairment::None);
            backend.set_faults(&[]);
        }
        for node in 0..self.nodes.len() {
            if self.nodes.has_ended(node) {
                self.nodes.start(node, false)?;
            }
        }
        let newest = self.confirmed.load(Ordering::Relaxed);
        for control in 0..CONTROL_VMS {
            self.await_state(&format!("version {newest} at control VM {control}"), || {
                self.nodes
                    .read_version(control)
                    .is_some_and(|version| version >= newest)
            });
        }
        for entry in CONTROL_VMS..self.nodes.len() {
            let mut tries = 0;
            self.await_state(&format!("a whole stream through entry VM {entry}"), || {
                tries += 1;
                let attempt = format!("last-{entry}-{tries}");
                send_customer_request(
                    self.nodes.callers_address(entry),
                    "POST /stream/x",
                    &attempt,
                )
                .is_whole_stream()
            });
        }
        Ok(())
    }

    fn await_state(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let start = Instant::now();
        while !holds() {
            if start.elapsed() > RECOVERY {
                self.broke(format!("no {what} after all faults ended"));
                return;
            }
            thread::sleep(LOOK);
        }
    }

    /// Holds what callers were told against what the servers ran.
    fn check_runs(&self) {
        let ran: Vec<_> = self
            .backends
            .iter()
            .flat_map(|(backend, _)| backend.executions())
            .map(|ran| ran.attempt)
            .collect();
        for call in lock(&self.once).iter() {
            let runs = ran.iter().filter(|ran| **ran == call.attempt).count();
            let (attempt, status) = (&call.attempt, call.status);
            if runs > 1 {
                self.broke(format!("{attempt} may run once and ran {runs} times"));
            }
            if runs > 0 && [408, 421, 429, 503].contains(&status) {
                self.broke(format!("{attempt} was answered {status} and has run"));
            }
        }
    }
}

/// Plays a soak of the program.
///
/// # Errors
/// Fails where the processes cannot be started.
pub fn run(program: &Path, options: SoakOptions) -> Result<SoakReport> {
    let world = World::spawn(program)?;
    traffic::publish_first(&world)?;
    thread::scope(|scope| {
        scope.spawn(|| traffic::announce(&world));
        scope.spawn(|| traffic::operate(&world, options.seed));
        for caller in 0..CALLERS {
            let world = &world;
            scope.spawn(move || traffic::call(world, caller, options.seed));
        }
        let injected = faults::inject(&world, options);
        let recovered = injected.and_then(|()| world.recover());
        world.over.store(true, Ordering::Relaxed);
        recovered
    })?;
    world.check_runs();
    let violations = std::mem::take(&mut *lock(&world.violations));
    let logs = if violations.is_empty() {
        String::new()
    } else {
        world.nodes.last_lines()
    };
    Ok(SoakReport {
        requests: world.requests.load(Ordering::Relaxed),
        served: world.served.load(Ordering::Relaxed),
        faults: world.faults.load(Ordering::Relaxed),
        confirmed: world.confirmations.load(Ordering::Relaxed),
        violations,
        logs,
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
