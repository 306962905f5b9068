//! The faults of a soak: what happens to which process or connection, in series and overlapping.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;
use fastrand::Rng;
use nix::sys::signal::Signal;

use super::{SoakOptions, World, traffic};
use crate::backend::BackendFault;
use crate::nodes::CONTROL_VMS;
use crate::proxy::Impairment;

/// Time between two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 150..1_200;
/// How long a fault lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..3_000;
/// Time after a fault of a control VM in which no disk is lost: one loss at a time is promised.
const REPAIR_TIME: Duration = Duration::from_secs(6);
/// Longest time in which a process that was asked to stop must have ended, with its grace of 8 s.
const STOP_TIME: Duration = Duration::from_secs(15);
const LOOK: Duration = Duration::from_millis(50);
/// Requests at one backend server that meet an injected fault.
const SPOILED_REQUESTS: usize = 6;

/// What can happen.
#[derive(Clone, Copy, Debug)]
enum Kind {
    KillEntry,
    PauseEntry,
    StopEntry,
    KillControl,
    PauseControl,
    StopControl,
    KillAllControls,
    LoseDisk,
    Impair(Impairment),
    Spoil(BackendFault),
}

const SILENCE: Duration = Duration::from_millis(700);

const KINDS: [Kind; 15] = [
    Kind::KillEntry,
    Kind::PauseEntry,
    Kind::StopEntry,
    Kind::KillControl,
    Kind::PauseControl,
    Kind::StopControl,
    Kind::KillAllControls,
    Kind::LoseDisk,
    Kind::Impair(Impairment::Delay(Duration::from_millis(80))),
    Kind::Impair(Impairment::Reset),
    Kind::Impair(Impairment::Silent),
    Kind::Impair(Impairment::OneWay),
    Kind::Spoil(BackendFault::DisconnectAfter(4)),
    Kind::Spoil(BackendFault::DropResponse),
    Kind::Spoil(BackendFault::StallAfter(3, SILENCE)),
];

/// Which nodes have a fault now, so that no two faults use the same process.
struct Busy {
    nodes: Vec<AtomicBool>,
}

impl Busy {
    /// Takes a node for a fault; returns false where it has one.
    fn take(&self, node: usize) -> bool {
        !self.nodes[node].swap(true, Ordering::AcqRel)
    }

    fn leave(&self, node: usize) {
        self.nodes[node].store(false, Ordering::Release);
    }

    fn any_control(&self) -> bool {
        let mut controls = self.nodes[..CONTROL_VMS].iter();
        controls.any(|busy| busy.load(Ordering::Acquire))
    }
}

/// A fault that was drawn: what happens, to whom, and for how long.
struct Drawn {
    kind: Kind,
    /// Nodes that it happens to.
    targets: Vec<usize>,
    backend: usize,
    length: Duration,
}

impl Drawn {
    fn draw(rng: &mut Rng, world: &World) -> Self {
        let kind = KINDS[rng.usize(..KINDS.len())];
        let length = Duration::from_millis(rng.u64(LENGTH_MS));
        let entry = rng.usize(CONTROL_VMS..world.nodes.len());
        let control = rng.usize(..CONTROL_VMS);
        let targets = match kind {
            Kind::KillEntry | Kind::PauseEntry | Kind::StopEntry => vec![entry],
            Kind::KillControl | Kind::PauseControl | Kind::StopControl | Kind::LoseDisk => {
                vec![control]
            }
            Kind::KillAllControls => (0..CONTROL_VMS).collect(),
            Kind::Impair(_) | Kind::Spoil(_) => Vec::new(),
        };
        Self {
            kind,
            targets,
            backend: rng.usize(..world.backends.len()),
            length,
        }
    }

    fn touches_controls(&self) -> bool {
        self.targets.iter().any(|target| *target < CONTROL_VMS)
    }
}

/// Lets faults happen until the time is over and all of them have ended.
pub(super) fn inject(world: &World, options: SoakOptions) -> Result<()> {
    let mut rng = Rng::with_seed(options.seed);
    let nodes = (0..world.nodes.len()).map(|_| AtomicBool::new(false));
    let busy = Busy {
        nodes: nodes.collect(),
    };
    let start = Instant::now();
    // When the last fault of a control VM was over.
    let mut controls_well = Instant::now();
    thread::scope(|scope| {
        let mut running = Vec::new();
        while start.elapsed() < options.duration {
            thread::sleep(Duration::from_millis(rng.u64(GAP_MS)));
            let drawn = Drawn::draw(&mut rng, world);
            if drawn.touches_controls() {
                let early =
                    matches!(drawn.kind, Kind::LoseDisk) && controls_well.elapsed() < REPAIR_TIME;
                if early || busy.any_control() {
                    continue;
                }
                controls_well = Instant::now() + drawn.length;
            }
            if !drawn.targets.iter().all(|target| busy.take(*target)) {
                continue;
            }
            world.faults.fetch_add(1, Ordering::Relaxed);
            let busy = &busy;
            running.push(scope.spawn(move || {
                let happened = happen(world, &drawn);
                for target in drawn.targets {
                    busy.leave(target);
                }
                happened
            }));
        }
        for fault in running {
            match fault.join() {
                Ok(happened) => happened?,
                Err(_) => anyhow::bail!("a fault could not be injected"),
            }
        }
        Ok(())
    })
}

fn happen(world: &World, drawn: &Drawn) -> Result<()> {
    let Drawn {
        kind,
        targets,
        backend,
        length,
    } = drawn;
    for target in targets {
        world.disturb(*target);
    }
    match *kind {
        Kind::KillEntry | Kind::KillControl | Kind::KillAllControls | Kind::LoseDisk => {
            for target in targets {
                world.nodes.kill(*target)?;
            }
            if matches!(*kind, Kind::LoseDisk) {
                world.nodes.lose_disk(targets[0])?;
            }
            thread::sleep(*length);
            for target in targets {
                world.nodes.start(*target, false)?;
            }
        }
        Kind::PauseEntry | Kind::PauseControl => {
            world.nodes.signal(targets[0], Signal::SIGSTOP)?;
            thread::sleep(*length);
            world.nodes.signal(targets[0], Signal::SIGCONT)?;
            // What it knows is the oldest now.
            if targets[0] < CONTROL_VMS {
                traffic::check_read(world, targets[0]);
            }
        }
        Kind::StopEntry | Kind::StopControl => stop(world, targets[0])?,
        Kind::Impair(impairment) => {
            let (_, proxy) = &world.backends[*backend];
            proxy.impair(impairment);
            thread::sleep(*length);
            proxy.impair(Impairment::None);
        }
        Kind::Spoil(fault) => {
            let (server, _) = &world.backends[*backend];
            server.set_faults(&[fault; SPOILED_REQUESTS]);
        }
    }
    for target in targets {
        world.disturb(*target);
    }
    Ok(())
}

/// Asks a process to stop, waits for its end, and starts it again.
fn stop(world: &World, node: usize) -> Result<()> {
    world.nodes.signal(node, Signal::SIGTERM)?;
    let asked = Instant::now();
    while !world.nodes.has_ended(node) {
        if asked.elapsed() > STOP_TIME {
            world.broke(format!("node {node} was asked to stop and did not end"));
            world.nodes.kill(node)?;
        }
        thread::sleep(LOOK);
    }
    world.nodes.start(node, false)
}
