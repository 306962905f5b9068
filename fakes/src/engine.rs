//! A stand-in engine: a cost model behind HTTP, with an execution log.

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
use crate::announcer::{self, AnnounceOptions, wall_micros};
use crate::faults::Faults;
use crate::http_server::{Life, serve};

/// Time that an announcement holds.
const LEASE: Duration = Duration::from_millis(2500);
/// One in so many cache reports loses events.
const GAP_ONE_IN: u32 = 20;

/// What a stand-in engine is started with.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name.
    pub id: String,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Cost model.
    pub config: EngineConfig,
    /// How much faster than real time it runs.
    pub speed: f64,
    /// How late load and cache reports are.
    pub report_lag: Duration,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether a crash ends the process.
    pub exits_on_crash: bool,
    /// Where to announce.
    pub announce: AnnounceOptions,
}

/// One line of the execution log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineLogLine {
    /// The request.
    pub request_id: String,
    /// The attempt.
    pub attempt: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// First token that was asked for.
    pub from: u64,
    /// Token after the last one made.
    pub to: u64,
    /// Text made.
    pub text: String,
    /// `running`, `done`, `cancelled` or `crashed`.
    pub state: String,
}

/// A running stand-in engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    shared: Arc<Shared>,
    address: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    options: EngineOptions,
    life: Life,
    faults: Mutex<Faults>,
    runner: Runner,
    log: Mutex<Vec<EngineLogLine>>,
    orders: Mutex<Vec<EngineOrder>>,
    reports: Mutex<VecDeque<Report>>,
    incarnation: u64,
    leaving: Mutex<bool>,
    /// Number of the next change of the cache to announce.
    announced_events: Mutex<u64>,
}

/// Load and cache as they were.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    load: WireLoad,
    next_event: u64,
}

impl FakeEngine {
    /// Binds the port, starts the engine and announces it.
    ///
    /// # Errors
    /// Fails where the port cannot be bound or no thread can be started.
    pub fn spawn(options: EngineOptions) -> io::Result<Self> {
        let life = Life::default();
        let model = EngineModel::new(options.config);
        let runner = Runner::spawn(model, options.speed, life.clone())?;
        let announce = options.announce.clone();
        let listen = options.listen;
        let shared = Arc::new(Shared {
            options,
            life: life.clone(),
            faults: Mutex::default(),
            runner,
            log: Mutex::default(),
            orders: Mutex::default(),
            reports: Mutex::default(),
            incarnation: fastrand::u64(1..),
            leaving: Mutex::new(false),
            announced_events: Mutex::new(0),
        });
        let handler = Arc::clone(&shared);
        let address = serve(listen, life.clone(), move |request| {
            api::handle(&handler, request);
        })?;
        let describer = Arc::clone(&shared);
        let describe = Arc::new(move || describer.describe(address));
        announcer::spawn(announce, life, describe)?;
        Ok(Self { shared, address })
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Dies like a killed process.
    pub fn kill(&self) {
        self.shared.life.end();
    }

    /// Announces that it is leaving; what runs goes on.
    pub fn leave(&self) {
        self.shared.leave(self.address);
    }

    /// Returns the execution log.
    #[must_use]
    pub fn log(&self) -> Vec<EngineLogLine> {
        lock(&self.shared.log).clone()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the tokens that its memory holds for requests and reservations.
    #[must_use]
    pub fn memory_used(&self) -> u64 {
        self.shared.runner.with(|model| model.memory_used())
    }
}

impl Shared {
    fn describe(&self, address: SocketAddr) -> WireAnnouncement {
        let report = self.late_report();
        let config = &self.options.config;
        let age = u64::try_from(report.at.elapsed().as_millis()).unwrap_or(u64::MAX);
        WireAnnouncement {
            service: self.options.service.clone(),
            zone: self.options.zone.clone(),
            id: self.options.id.clone(),
            address: address.to_string(),
            incarnation: self.incarnation,
            sequence: wall_micros(),
            lease_ms: u64::try_from(LEASE.as_millis()).unwrap_or(u64::MAX),
            memory_tokens: config.memory,
            slots: config.slots,
            prefill_rate: config.prefill_rate * self.options.speed,
            decode_rate: config.decode_rate() * self.options.speed,
            models: Vec::new(),
            load: WireLoad {
                age_ms: age,
                ..report.load
            },
            cache: self.late_events(report.next_event),
            leaving: *lock(&self.leaving),
        }
    }

    /// Notes the load of now, and returns the newest one that is late enough.
    fn late_report(&self) -> Report {
        let now = Instant::now();
        let current = self.runner.with(|model| Report {
            at: now,
            load: WireLoad {
                age_ms: 0,
                running: model.running(),
                waiting: model.waiting(),
                memory_used: model.memory_used(),
            },
            next_event: model.next_event(),
        });
        let mut reports = lock(&self.reports);
        reports.push_back(current.clone());
        let lag = self.options.report_lag;
        while reports.len() > 1 && reports[1].at.elapsed() >= lag {
            reports.pop_front();
        }
        reports.front().cloned().unwrap_or(current)
    }

    /// Returns the changes of the cache since the last announcement; now and then some are lost.
    fn late_events(&self, end: u64) -> WireCacheEvents {
        let mut told = lock(&self.announced_events);
        let lost = u64::from(fastrand::u32(..GAP_ONE_IN) == 0);
        let first = (*told + lost).min(end.max(*told));
        *told = end.max(first);
        self.runner.with(|model| model.cache_events(first, end))
    }

    fn leave(&self, address: SocketAddr) {
        *lock(&self.leaving) = true;
        let announcement = self.describe(address);
        announcer::announce(&self.options.announce, &mut 0, &announcement);
    }

    fn crash(&self) {
        self.life.end();
        if self.options.exits_on_crash {
            std::process::exit(101);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
