//! A fake engine: a simulated batching engine behind HTTP, with an execution log.

mod api;
pub mod model;
mod runner;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use merlinrudder_wire::announce::{WireAnnouncement, WireCacheEvents, WireLoad};
use merlinrudder_wire::engine::EngineOrder;
use serde::{Deserialize, Serialize};

use self::model::{EngineConfig, EngineModel};
use self::runner::Runner;
use crate::announcer::{self, AnnounceOptions, unix_micros};
use crate::faults::Faults;
use crate::http_server::{KillFlag, serve};

/// Lease of an announcement: it expires unless it is renewed.
const LEASE: Duration = Duration::from_millis(2500);
/// One in this many announcements, at random, loses a cache event.
const EVENT_LOSS_ONE_IN: u32 = 20;

/// Settings of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the backend server, unique in its service.
    pub id: String,
    /// Service that it offers.
    pub service: String,
    /// Zone that it announces.
    pub zone: String,
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Parameters of the cost model, at real speed.
    pub config: EngineConfig,
    /// Factor by which it runs faster than real time.
    pub speed: f64,
    /// Age of the load and cache state that it announces.
    pub report_lag: Duration,
    /// Whether it refuses orders with a fencing number lower than one it has accepted.
    pub checks_fencing: bool,
    /// Whether an injected crash ends the whole process or just this fake.
    pub exits_on_crash: bool,
    /// VMs to announce to.
    pub announce: AnnounceOptions,
}

/// One attempt in the execution log, as `GET /log` returns it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineLogLine {
    /// Request id that the system assigned.
    pub request_id: String,
    /// Attempt number of the request.
    pub attempt: u32,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Index of the first token that was requested.
    pub from: u64,
    /// Index after the last generated token.
    pub to: u64,
    /// Generated text.
    pub text: String,
    /// `running`, `done`, `cancelled` or `crashed`.
    pub state: String,
}

/// A running fake engine; clones are handles of the same one.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    shared: Arc<Shared>,
    address: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    options: EngineOptions,
    killed: KillFlag,
    faults: Mutex<Faults>,
    runner: Runner,
    log: Mutex<Vec<EngineLogLine>>,
    orders: Mutex<Vec<EngineOrder>>,
    snapshots: Mutex<VecDeque<LoadSnapshot>>,
    incarnation: u64,
    leaving: Mutex<bool>,
    /// Number of the next cache event to announce.
    announced_events: Mutex<u64>,
}

/// Load and number of the next cache event at one instant.
#[derive(Clone, Debug)]
struct LoadSnapshot {
    at: Instant,
    load: WireLoad,
    next_event: u64,
}

impl FakeEngine {
    /// Binds the port, starts the engine and announces it periodically.
    ///
    /// # Errors
    /// Fails if the port cannot be bound or a thread cannot be started.
    pub fn spawn(options: EngineOptions) -> io::Result<Self> {
        let killed = KillFlag::default();
        let model = EngineModel::new(options.config);
        let runner = Runner::spawn(model, options.speed, killed.clone())?;
        let announce = options.announce.clone();
        let listen = options.listen;
        let shared = Arc::new(Shared {
            options,
            killed: killed.clone(),
            faults: Mutex::default(),
            runner,
            log: Mutex::default(),
            orders: Mutex::default(),
            snapshots: Mutex::default(),
            incarnation: fastrand::u64(1..),
            leaving: Mutex::new(false),
            announced_events: Mutex::new(0),
        });
        let handler = Arc::clone(&shared);
        let address = serve(listen, killed.clone(), move |request| {
            api::handle(&handler, request);
        })?;
        let announcing = Arc::clone(&shared);
        let source = Arc::new(move || announcing.announcement(address));
        announcer::spawn(announce, killed, source)?;
        Ok(Self { shared, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving, generating and announcing, as if the process were killed.
    pub fn kill(&self) {
        self.shared.killed.set();
    }

    /// Announces that it is leaving; running requests continue.
    pub fn leave(&self) {
        self.shared.leave(self.address);
    }

    /// Returns the execution log, oldest attempt first.
    #[must_use]
    pub fn log(&self) -> Vec<EngineLogLine> {
        lock(&self.shared.log).clone()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the memory held for running requests and reservations, in tokens.
    #[must_use]
    pub fn memory_used(&self) -> u64 {
        self.shared.runner.with_model(|model| model.memory_used())
    }
}

impl Shared {
    fn announcement(&self, address: SocketAddr) -> WireAnnouncement {
        let snapshot = self.delayed_snapshot();
        let config = &self.options.config;
        let age = u64::try_from(snapshot.at.elapsed().as_millis()).unwrap_or(u64::MAX);
        WireAnnouncement {
            service: self.options.service.clone(),
            zone: self.options.zone.clone(),
            id: self.options.id.clone(),
            address: address.to_string(),
            incarnation: self.incarnation,
            sequence: unix_micros(),
            lease_ms: u64::try_from(LEASE.as_millis()).unwrap_or(u64::MAX),
            memory_tokens: config.memory,
            slots: config.slots,
            prefill_rate: config.prefill_rate * self.options.speed,
            decode_rate: config.decode_rate() * self.options.speed,
            models: Vec::new(),
            load: WireLoad {
                age_ms: age,
                ..snapshot.load
            },
            cache: self.unannounced_events(snapshot.next_event),
            leaving: *lock(&self.leaving),
        }
    }

    /// Records the current load, and returns the newest snapshot older than the report lag.
    ///
    /// Returns the oldest one while none is old enough.
    fn delayed_snapshot(&self) -> LoadSnapshot {
        let now = Instant::now();
        let current = self.runner.with_model(|model| LoadSnapshot {
            at: now,
            load: WireLoad {
                age_ms: 0,
                running: model.running(),
                waiting: model.waiting(),
                memory_used: model.memory_used(),
            },
            next_event: model.next_event(),
        });
        let mut snapshots = lock(&self.snapshots);
        snapshots.push_back(current.clone());
        let lag = self.options.report_lag;
        while snapshots.len() > 1 && snapshots[1].at.elapsed() >= lag {
            snapshots.pop_front();
        }
        snapshots.front().cloned().unwrap_or(current)
    }

    /// Returns the cache events that have not been announced, up to before `end`.
    ///
    /// At random, the first of them is lost, so that the system has to detect the gap.
    fn unannounced_events(&self, end: u64) -> WireCacheEvents {
        let mut announced = lock(&self.announced_events);
        let lost = u64::from(fastrand::u32(..EVENT_LOSS_ONE_IN) == 0);
        let first = (*announced + lost).min(end.max(*announced));
        *announced = end.max(first);
        self.runner
            .with_model(|model| model.cache_events(first, end))
    }

    fn leave(&self, address: SocketAddr) {
        *lock(&self.leaving) = true;
        let announcement = self.announcement(address);
        announcer::announce(&self.options.announce, &mut 0, &announcement);
    }

    fn crash(&self) {
        self.killed.set();
        if self.options.exits_on_crash {
            std::process::exit(101);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
