//! The engines of a replay: cost models that step on the replay's clock.

use merlinrudder_core::estimate::EngineSpeed;
use merlinrudder_core::names::{ServerId, ServiceName, ZoneName};
use merlinrudder_core::registry::{Announcement, CacheEvent, CacheEvents, LoadReport};
use merlinrudder_core::units::Tokens;
use merlinrudder_fakes::engine::model::{EngineConfig, EngineModel, Step};
use merlinrudder_wire::announce::WireCacheEvents;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Time that an announcement holds.
const LEASE: Duration = Duration::from_millis(2500);

/// One engine of a replay.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) model: EngineModel,
    config: EngineConfig,
    number: usize,
    /// Grows with each start.
    pub(super) incarnation: u64,
    /// The step in progress.
    pub(super) step: Option<Step>,
    pub(super) dead: bool,
    sequence: u64,
    told_events: u64,
    reports: VecDeque<(u64, LoadReport, u64)>,
}

impl Engine {
    pub(super) fn new(number: usize, config: EngineConfig) -> Self {
        Self {
            model: EngineModel::new(config),
            config,
            number,
            incarnation: 1,
            step: None,
            dead: false,
            sequence: 0,
            told_events: 0,
            reports: VecDeque::new(),
        }
    }

    pub(super) fn die(&mut self) {
        self.dead = true;
        self.step = None;
        self.model = EngineModel::new(self.config);
        self.reports.clear();
        self.told_events = 0;
    }

    pub(super) fn start_again(&mut self) {
        self.dead = false;
        self.incarnation += 1;
    }

    /// Announces the load as it was `lag_ms` ago; `lose` loses one cache event.
    pub(super) fn announce(&mut self, now_ms: u64, lag_ms: u64, lose: bool) -> Announcement {
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
        let (at, load, end) = self.reports[0];
        let first = (self.told_events + u64::from(lose)).min(end.max(self.told_events));
        self.told_events = end.max(first);
        let events = convert(self.model.cache_events(first, end));
        Announcement {
            service: ServiceName::from("model"),
            zone: ZoneName::from("zone"),
            id: server_id(self.number),
            address: Arc::from("127.0.0.1:1"),
            incarnation: self.incarnation,
            sequence: self.sequence,
            lease: LEASE,
            memory: Tokens(self.config.memory),
            slots: self.config.slots,
            speed: EngineSpeed {
                prefill_rate: self.config.prefill_rate,
                decode_rate: self.config.decode_rate(),
            },
            models: Vec::new(),
            load: LoadReport {
                age: Duration::from_millis(now_ms - at),
                ..load
            },
            cache: events,
            leaving: false,
        }
    }
}

fn convert(wire: WireCacheEvents) -> CacheEvents {
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

pub(super) fn server_id(number: usize) -> ServerId {
    ServerId::from(format!("engine-{number:02}"))
}

pub(super) fn server_number(id: &ServerId) -> usize {
    id.as_str()
        .trim_start_matches("engine-")
        .parse()
        .unwrap_or_default()
}
