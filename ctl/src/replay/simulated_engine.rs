//! An engine of a replay: a cost model with the announcements that it sends.

use merlinrudder_core::estimate::EngineSpeed;
use merlinrudder_core::names::{ServerId, ServiceName, ZoneName};
use merlinrudder_core::registry::{Announcement, CacheEvent, CacheEvents, LoadReport};
use merlinrudder_core::units::Tokens;
use merlinrudder_fakes::engine::model::{EngineConfig, EngineModel, Step};
use merlinrudder_wire::announce::WireCacheEvents;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Lease that each announcement requests.
const ANNOUNCED_LEASE: Duration = Duration::from_millis(2500);

/// A simulated engine; the replay schedules its steps, crashes and restarts.
#[derive(Debug)]
pub(super) struct SimulatedEngine {
    pub(super) model: EngineModel,
    config: EngineConfig,
    /// Number of the engine, which determines its `server_id`.
    number: usize,
    /// Incarnation of the engine process; starts at 1 and grows with each restart.
    pub(super) incarnation: u64,
    /// The step in progress; its results apply when its time has passed.
    pub(super) step: Option<Step>,
    pub(super) dead: bool,
    /// Sequence number of the last announcement; continues across restarts.
    sequence: u64,
    /// Number of the first cache event of this incarnation that is not yet announced.
    announced_events: u64,
    /// Load reports to be announced, oldest first.
    ///
    /// Each has its time in milliseconds, the load, and the number of the next cache event then.
    reports: VecDeque<(u64, LoadReport, u64)>,
}

impl SimulatedEngine {
    pub(super) fn new(number: usize, config: EngineConfig) -> Self {
        Self {
            model: EngineModel::new(config),
            config,
            number,
            incarnation: 1,
            step: None,
            dead: false,
            sequence: 0,
            announced_events: 0,
            reports: VecDeque::new(),
        }
    }

    /// Stops the engine; its requests, reservations and prefix cache are lost.
    pub(super) fn crash(&mut self) {
        self.dead = true;
        self.step = None;
        self.model = EngineModel::new(self.config);
        self.reports.clear();
        self.announced_events = 0;
    }

    /// Starts a new incarnation of a crashed engine.
    pub(super) fn restart(&mut self) {
        self.dead = false;
        self.incarnation += 1;
    }

    /// Creates the next announcement, with load and cache events as of `lag_ms` ago.
    ///
    /// With `lose_event`, it skips the first cache event that is due, if there is one.
    pub(super) fn announce(&mut self, now_ms: u64, lag_ms: u64, lose_event: bool) -> Announcement {
        self.sequence += 1;
        let load = LoadReport {
            age: Duration::ZERO,
            running: self.model.running(),
            waiting: self.model.waiting(),
            memory_used: Tokens(self.model.memory_used()),
        };
        self.reports
            .push_back((now_ms, load, self.model.next_event()));
        while self.reports.len() > 1 && now_ms - self.reports[1].0 >= lag_ms {
            self.reports.pop_front();
        }
        let (read_ms, load, end) = self.reports[0];
        let first =
            (self.announced_events + u64::from(lose_event)).min(end.max(self.announced_events));
        self.announced_events = end.max(first);
        let events = to_core_events(self.model.cache_events(first, end));
        Announcement {
            service: ServiceName::from("model"),
            zone: ZoneName::from("zone"),
            id: server_id(self.number),
            address: Arc::from("127.0.0.1:1"),
            incarnation: self.incarnation,
            sequence: self.sequence,
            lease: ANNOUNCED_LEASE,
            memory: Tokens(self.config.memory),
            slots: self.config.slots,
            speed: EngineSpeed {
                prefill_rate: self.config.prefill_rate,
                decode_rate: self.config.decode_rate(),
            },
            models: Vec::new(),
            load: LoadReport {
                age: Duration::from_millis(now_ms - read_ms),
                ..load
            },
            cache: events,
            leaving: false,
        }
    }
}

/// Converts cache events from the wire type to the dispatcher's type.
fn to_core_events(wire: WireCacheEvents) -> CacheEvents {
    use merlinrudder_wire::announce::WireCacheEvent;
    let events = wire.events.into_iter().map(|event| match event {
        WireCacheEvent::Added(block) => CacheEvent::Added(block),
        WireCacheEvent::Removed(block) => CacheEvent::Removed(block),
    });
    CacheEvents {
        first: wire.first,
        events: events.collect(),
    }
}

/// Returns the server id of engine `number`.
pub(super) fn server_id(number: usize) -> ServerId {
    ServerId::from(format!("engine-{number:02}"))
}

/// Returns the engine number of a `server_id`; 0 for another form.
pub(super) fn engine_number(id: &ServerId) -> usize {
    id.as_str()
        .trim_start_matches("engine-")
        .parse()
        .unwrap_or_default()
}
