//! Announcements of backend servers, as JSON over HTTP and between VMs.

use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::estimate::EngineSpeed;
use merlinrudder_core::names::{ModelName, ServerId, ServiceName, ZoneName};
use merlinrudder_core::registry::{Announcement, CacheEvent, CacheEvents, LoadReport};
use merlinrudder_core::units::Tokens;
use serde::{Deserialize, Serialize};

use crate::error::DecodeError;
use crate::units::millis;

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireAnnouncement {
    /// Service that it offers.
    pub service: String,
    /// Zone in which it runs.
    pub zone: String,
    /// Its name, unique in the service.
    pub id: String,
    /// Address of its HTTP port, as `host:port`.
    pub address: String,
    /// Random number of this start of the process.
    pub incarnation: u64,
    /// Grows with each announcement, over restarts too.
    pub sequence: u64,
    /// Time that the announcement holds, in milliseconds.
    pub lease_ms: u64,
    /// Tokens that its memory holds; zero for a plain server.
    #[serde(default)]
    pub memory_tokens: u64,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Prompt tokens that it reads in a second; zero where it is not known.
    #[serde(default)]
    pub prefill_rate: f64,
    /// Output tokens a second of one of its streams; zero where it is not known.
    #[serde(default)]
    pub decode_rate: f64,
    /// Models that it holds.
    #[serde(default)]
    pub models: Vec<String>,
    /// Load at an earlier time.
    #[serde(default)]
    pub load: WireLoad,
    /// Changes of the prefix cache since the last announcement.
    #[serde(default)]
    pub cache: WireCacheEvents,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Load at an earlier time.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WireLoad {
    /// How long ago the load was read, in milliseconds.
    pub age_ms: u64,
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited inside the server.
    pub waiting: u32,
    /// Tokens that its memory held.
    pub memory_used: u64,
}

/// Numbered changes of the prefix cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WireCacheEvents {
    /// Number of the first event.
    pub first: u64,
    /// The events in order.
    pub events: Vec<WireCacheEvent>,
}

/// One change of the prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WireCacheEvent {
    /// A block with this hash is cached now.
    Added(u64),
    /// A block with this hash is cached no more.
    Removed(u64),
}

/// Answer to `GET /cache`: the whole prefix cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WireCacheSnapshot {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Number of the next event.
    pub next: u64,
    /// Hashes of cached prefix blocks.
    pub blocks: Vec<u64>,
}

impl TryFrom<WireAnnouncement> for Announcement {
    type Error = DecodeError;

    fn try_from(wire: WireAnnouncement) -> Result<Self, DecodeError> {
        for (field, value) in [
            ("service", &wire.service),
            ("zone", &wire.zone),
            ("id", &wire.id),
        ] {
            if value.is_empty() {
                return Err(DecodeError::new(format!("{field} is empty")));
            }
        }
        if wire.slots == 0 {
            return Err(DecodeError::new("slots must be at least 1"));
        }
        if wire.address.parse::<std::net::SocketAddr>().is_err() {
            return Err(DecodeError::new("address must be an IP number and a port"));
        }
        let known = EngineSpeed::default();
        let speed = EngineSpeed {
            prefill_rate: positive_or(wire.prefill_rate, known.prefill_rate),
            decode_rate: positive_or(wire.decode_rate, known.decode_rate),
        };
        Ok(Self {
            service: ServiceName::from(wire.service),
            zone: ZoneName::from(wire.zone),
            id: ServerId::from(wire.id),
            address: Arc::from(wire.address),
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            lease: Duration::from_millis(wire.lease_ms),
            memory: Tokens(wire.memory_tokens),
            slots: wire.slots,
            speed,
            models: wire.models.into_iter().map(ModelName::from).collect(),
            load: wire.load.into(),
            cache: wire.cache.into(),
            leaving: wire.leaving,
        })
    }
}

impl From<&Announcement> for WireAnnouncement {
    fn from(announced: &Announcement) -> Self {
        Self {
            service: announced.service.to_string(),
            zone: announced.zone.to_string(),
            id: announced.id.to_string(),
            address: announced.address.to_string(),
            incarnation: announced.incarnation,
            sequence: announced.sequence,
            lease_ms: millis(announced.lease),
            memory_tokens: announced.memory.0,
            slots: announced.slots,
            prefill_rate: announced.speed.prefill_rate,
            decode_rate: announced.speed.decode_rate,
            models: announced.models.iter().map(ToString::to_string).collect(),
            load: announced.load.into(),
            cache: announced.cache.clone().into(),
            leaving: announced.leaving,
        }
    }
}

impl From<WireLoad> for LoadReport {
    fn from(wire: WireLoad) -> Self {
        Self {
            age: Duration::from_millis(wire.age_ms),
            running: wire.running,
            waiting: wire.waiting,
            memory_used: Tokens(wire.memory_used),
        }
    }
}

impl From<LoadReport> for WireLoad {
    fn from(load: LoadReport) -> Self {
        Self {
            age_ms: millis(load.age),
            running: load.running,
            waiting: load.waiting,
            memory_used: load.memory_used.0,
        }
    }
}

impl From<WireCacheEvents> for CacheEvents {
    fn from(wire: WireCacheEvents) -> Self {
        let events = wire.events.into_iter().map(|event| match event {
            WireCacheEvent::Added(block) => CacheEvent::Added(block),
            WireCacheEvent::Removed(block) => CacheEvent::Removed(block),
        });
        Self {
            first: wire.first,
            events: events.collect(),
        }
    }
}

impl From<CacheEvents> for WireCacheEvents {
    fn from(cache: CacheEvents) -> Self {
        let events = cache.events.into_iter().map(|event| match event {
            CacheEvent::Added(block) => WireCacheEvent::Added(block),
            CacheEvent::Removed(block) => WireCacheEvent::Removed(block),
        });
        Self {
            first: cache.first,
            events: events.collect(),
        }
    }
}

fn positive_or(value: f64, fallback: f64) -> f64 {
    if value.is_finite() && value > 0.0 {
        value
    } else {
        fallback
    }
}
