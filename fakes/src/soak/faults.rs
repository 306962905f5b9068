//! Random faults of processes, connections and backend servers, some of which overlap.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;
use fastrand::Rng;
use nix::sys::signal::Signal;

use super::{
    PROXIED_BACKENDS, SoakHarness, SoakOptions, cut_off, evacuations, limits, lock, traffic,
};
use crate::backend::BackendFault;
use crate::nodes::CONTROL_VMS;
use crate::proxy::Impairment;

/// Time between the starts of two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..1_200;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..3_000;
/// Shortest time from the end of a control VM fault to the deletion of data.
///
/// The system guarantees to survive only one loss at a time.
const REPAIR_TIME: Duration = Duration::from_secs(6);
/// Longest time from SIGTERM to the end of a process.
///
/// It includes the grace period of 8 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Signals of a planned stop, in order.
const STOP_SIGNALS: [Signal; 4] = [
    Signal::SIGHUP,
    Signal::SIGTERM,
    Signal::SIGHUP,
    Signal::SIGTERM,
];
/// Time between two of these signals.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests that an injected fault of a backend server affects.
const FAULTED_REQUESTS: usize = 6;

/// Kind of a fault; `Entry` and `Control` name the VM whose process it affects.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    KillEntry,
    PauseEntry,
    StopEntry,
    KillControl,
    PauseControl,
    StopControl,
    KillAllControls,
    DeleteData,
    Connection(Impairment),
    Backend(BackendFault),
    /// A backend server crashes by itself.
    CrashBackend,
    /// Half of the backend servers crash at the same moment.
    CrashHalf,
    /// A backend server without a proxy names a limit on its request rate.
    Limit,
    /// Some entry VMs are cut off from all backend servers.
    CutOff,
    /// An operator evacuates a zone for a while.
    Evacuate,
}

/// Pause of a stalled stream.
const STALL_TIME: Duration = Duration::from_millis(700);

/// Further faults with the option `silences`; a server may be silent for that long and go on.
const SILENCE_KINDS: [FaultKind; 6] = [
    FaultKind::Backend(BackendFault::StallAfter(0, Duration::from_millis(1700))),
    FaultKind::Backend(BackendFault::StallAfter(3, Duration::from_millis(1200))),
    FaultKind::Backend(BackendFault::StallAfter(3, Duration::from_millis(2200))),
    FaultKind::Backend(BackendFault::StallBeforeHead(Duration::from_millis(1200))),
    FaultKind::Backend(BackendFault::StallBeforeHead(Duration::from_millis(2200))),
    FaultKind::Backend(BackendFault::Unframed),
];

/// Further faults with the option `limits`.
const LIMIT_KINDS: [FaultKind; 3] = [FaultKind::Limit; 3];

/// Further faults with the option `cuts`.
const CUT_KINDS: [FaultKind; 3] = [FaultKind::CutOff; 3];

/// Further faults with the option `evacuations`.
const EVACUATION_KINDS: [FaultKind; 3] = [FaultKind::Evacuate; 3];

const FAULT_KINDS: [FaultKind; 17] = [
    FaultKind::KillEntry,
    FaultKind::PauseEntry,
    FaultKind::StopEntry,
    FaultKind::KillControl,
    FaultKind::PauseControl,
    FaultKind::StopControl,
    FaultKind::KillAllControls,
    FaultKind::DeleteData,
    FaultKind::Connection(Impairment::Delay(Duration::from_millis(80))),
    FaultKind::Connection(Impairment::Disconnect),
    FaultKind::Connection(Impairment::BlockAll),
    FaultKind::Connection(Impairment::BlockResponses),
    FaultKind::Backend(BackendFault::DisconnectAfter(4)),
    FaultKind::Backend(BackendFault::DropResponse),
    FaultKind::Backend(BackendFault::StallAfter(3, STALL_TIME)),
    FaultKind::CrashBackend,
    FaultKind::CrashHalf,
];

/// Nodes with an active fault; no two faults may affect the same process.
struct FaultTargets {
    nodes: Vec<AtomicBool>,
}

impl FaultTargets {
    /// Marks a node as faulted; returns false if it already was.
    fn try_acquire(&self, node: usize) -> bool {
        !self.nodes[node].swap(true, Ordering::AcqRel)
    }

    fn release(&self, node: usize) {
        self.nodes[node].store(false, Ordering::Release);
    }

    fn is_control_faulted(&self) -> bool {
        let mut controls = self.nodes[..CONTROL_VMS].iter();
        controls.any(|in_use| in_use.load(Ordering::Acquire))
    }
}

/// A randomly chosen fault, with its targets and its duration.
struct PlannedFault {
    kind: FaultKind,
    /// Indexes of the affected nodes; empty for connection and backend faults.
    targets: Vec<usize>,
    /// Index of the backend server for connection and backend faults.
    backend: usize,
    duration: Duration,
}

impl PlannedFault {
    fn random(rng: &mut Rng, harness: &SoakHarness) -> Self {
        let kinds = fault_kinds(harness.options);
        let kind = kinds[rng.usize(..kinds.len())];
        let duration = Duration::from_millis(rng.u64(FAULT_DURATION_MS));
        let entry = rng.usize(CONTROL_VMS..harness.nodes.len());
        let control = rng.usize(..CONTROL_VMS);
        let targets = match kind {
            FaultKind::KillEntry | FaultKind::PauseEntry | FaultKind::StopEntry => vec![entry],
            FaultKind::KillControl
            | FaultKind::PauseControl
            | FaultKind::StopControl
            | FaultKind::DeleteData => {
                vec![control]
            }
            FaultKind::KillAllControls => (0..CONTROL_VMS).collect(),
            FaultKind::Connection(_)
            | FaultKind::Backend(_)
            | FaultKind::CrashBackend
            | FaultKind::CrashHalf
            | FaultKind::Limit
            | FaultKind::CutOff
            | FaultKind::Evacuate => Vec::new(),
        };
        Self {
            kind,
            targets,
            backend: rng.usize(..harness.backends.len()),
            duration,
        }
    }

    fn affects_controls(&self) -> bool {
        self.targets.iter().any(|target| *target < CONTROL_VMS)
    }
}

/// Returns the kinds of faults that a soak injects.
fn fault_kinds(options: SoakOptions) -> Vec<FaultKind> {
    let further: [(bool, &[FaultKind]); 4] = [
        (options.silences, &SILENCE_KINDS),
        (options.limits, &LIMIT_KINDS),
        (options.cuts, &CUT_KINDS),
        (options.evacuations, &EVACUATION_KINDS),
    ];
    let further = further.into_iter().filter(|(is_used, _)| *is_used);
    let further = further.flat_map(|(_, kinds)| kinds);
    FAULT_KINDS.iter().chain(further).copied().collect()
}

/// Injects random faults for the configured duration, then waits until all have ended.
pub(super) fn inject(harness: &SoakHarness, options: SoakOptions) -> Result<()> {
    let mut rng = Rng::with_seed(options.seed);
    let nodes = (0..harness.nodes.len()).map(|_| AtomicBool::new(false));
    let targets_in_use = FaultTargets {
        nodes: nodes.collect(),
    };
    let start = Instant::now();
    // Planned end of the last control VM fault.
    let mut control_fault_end = Instant::now();
    thread::scope(|scope| {
        let mut running = Vec::new();
        while start.elapsed() < options.duration {
            thread::sleep(Duration::from_millis(rng.u64(FAULT_INTERVAL_MS)));
            let planned = PlannedFault::random(&mut rng, harness);
            if planned.affects_controls() {
                let early = matches!(planned.kind, FaultKind::DeleteData)
                    && control_fault_end.elapsed() < REPAIR_TIME;
                if early || targets_in_use.is_control_faulted() {
                    continue;
                }
                control_fault_end = Instant::now() + planned.duration;
            }
            if !planned
                .targets
                .iter()
                .all(|target| targets_in_use.try_acquire(*target))
            {
                continue;
            }
            harness.faults.fetch_add(1, Ordering::Relaxed);
            let targets_in_use = &targets_in_use;
            running.push(scope.spawn(move || {
                let applied = apply(harness, &planned);
                for target in planned.targets {
                    targets_in_use.release(target);
                }
                applied
            }));
        }
        for fault in running {
            match fault.join() {
                Ok(applied) => applied?,
                Err(_) => anyhow::bail!("a fault thread panicked"),
            }
        }
        Ok(())
    })
}

/// Applies a fault, reverts it after its duration, and records both times for its targets.
fn apply(harness: &SoakHarness, planned: &PlannedFault) -> Result<()> {
    let PlannedFault {
        kind,
        targets,
        backend,
        duration,
    } = planned;
    for target in targets {
        harness.record_disturbance(*target, true);
    }
    match *kind {
        FaultKind::KillEntry
        | FaultKind::KillControl
        | FaultKind::KillAllControls
        | FaultKind::DeleteData => {
            for target in targets {
                harness.nodes.kill(*target)?;
            }
            if matches!(*kind, FaultKind::DeleteData) {
                harness.nodes.delete_data(targets[0])?;
            }
            thread::sleep(*duration);
            for target in targets {
                harness.nodes.start(*target, false)?;
            }
        }
        FaultKind::PauseEntry | FaultKind::PauseControl => {
            harness.nodes.signal(targets[0], Signal::SIGSTOP)?;
            thread::sleep(*duration);
            harness.nodes.signal(targets[0], Signal::SIGCONT)?;
            // A resumed control VM has the most outdated state.
            if targets[0] < CONTROL_VMS {
                traffic::check_read_version(harness, targets[0]);
            }
        }
        FaultKind::StopEntry | FaultKind::StopControl => stop(harness, targets[0])?,
        FaultKind::Connection(impairment) => {
            let backend = &harness.backends[*backend % PROXIED_BACKENDS];
            if let Some(proxy) = &backend.proxy {
                let start = Instant::now();
                proxy.impair(impairment);
                thread::sleep(*duration);
                proxy.impair(Impairment::None);
                lock(&backend.impairments).push((start, Instant::now()));
            }
        }
        FaultKind::Backend(fault) => {
            let server = &harness.backends[*backend].server;
            server.set_faults(&[fault; FAULTED_REQUESTS]);
        }
        FaultKind::CrashBackend => harness.backends[*backend].server.crash(),
        FaultKind::Limit => limits::apply(harness, *backend, *duration),
        FaultKind::CutOff => cut_off::apply(harness, *backend, *duration),
        FaultKind::Evacuate => evacuations::apply(harness, *duration),
        FaultKind::CrashHalf => {
            for backend in harness.backends.iter().skip(*backend % 2).step_by(2) {
                backend.server.crash();
            }
        }
    }
    for target in targets {
        harness.record_disturbance(*target, false);
    }
    Ok(())
}

/// Stops a process with a series of signals around SIGTERM, waits for its end, and restarts it.
///
/// A process that exceeds the timeout is a violation, and is killed.
fn stop(harness: &SoakHarness, node: usize) -> Result<()> {
    for signal in STOP_SIGNALS {
        harness.nodes.signal(node, signal)?;
        thread::sleep(SIGNAL_INTERVAL);
    }
    let signaled_at = Instant::now();
    while !harness.nodes.has_ended(node) {
        if signaled_at.elapsed() > STOP_TIMEOUT {
            harness.record_violation(format!("node {node} did not exit in time after SIGTERM"));
            harness.nodes.kill(node)?;
        }
        thread::sleep(POLL_INTERVAL);
    }
    harness.nodes.start(node, false)
}
