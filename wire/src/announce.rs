//! Announcements of backend servers, sent as JSON over HTTP and forwarded between VMs.

use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::estimate::EngineSpeed;
use merlinrudder_core::names::{ModelName, ServerId, ServiceName, ZoneName};
use merlinrudder_core::registry::{Announcement, CacheEvent, CacheEvents, LoadReport};
use merlinrudder_core::units::Tokens;
use serde::{Deserialize, Serialize};

use crate::common::millis;
use crate::error::DecodeError;

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WireAnnouncement {
    /// Service that the server offers.
    pub service: String,
    /// Availability zone in which the server runs.
    pub zone: String,
    /// Name of the server, unique in its service.
    pub id: String,
    /// Address of the server's HTTP port: an IP address and a port.
    pub address: String,
    /// Random number drawn at each start of the server process.
    pub incarnation: u64,
    /// Sequence number that increases with each announcement, also across restarts.
    pub sequence: u64,
    /// Requested lease of the announcement, in milliseconds.
    pub lease_ms: u64,
    /// Capacity of the engine's memory in tokens; zero for a plain HTTP server.
    #[serde(default)]
    pub memory_tokens: u64,
    /// Number of requests that the server runs concurrently; at least 1.
    pub slots: u32,
    /// Prompt tokens prefilled per second; zero if unknown.
    ///
    /// The default of `EngineSpeed` replaces any value that is not finite and positive.
    #[serde(default)]
    pub prefill_rate: f64,
    /// Output tokens per second of a single stream; zero if unknown.
    ///
    /// The default of `EngineSpeed` replaces any value that is not finite and positive.
    #[serde(default)]
    pub decode_rate: f64,
    /// Models that the engine has loaded.
    #[serde(default)]
    pub models: Vec<String>,
    /// Load as last read by the server.
    #[serde(default)]
    pub load: WireLoad,
    /// Prefix-cache changes since the previous announcement.
    #[serde(default)]
    pub cache: WireCacheEvents,
    /// Whether the server is shutting down and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Load of a backend server at the time it was read.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WireLoad {
    /// Time since the load was read, in milliseconds.
    pub age_ms: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued inside the server.
    pub waiting: u32,
    /// Occupied memory in tokens.
    pub memory_used: u64,
}

/// Consecutively numbered changes of an engine's prefix cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WireCacheEvents {
    /// Number of the first event in `events`.
    pub first: u64,
    /// Events in the order in which they occurred.
    pub events: Vec<WireCacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WireCacheEvent {
    /// The block with this hash was added.
    Added(u64),
    /// The block with this hash was evicted.
    Removed(u64),
}

/// Response body of `GET /cache`: all blocks in the engine's prefix cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WireCacheSnapshot {
    /// Incarnation of the engine process, as in its announcements.
    pub incarnation: u64,
    /// Number of the first cache event after this snapshot.
    pub next: u64,
    /// Hashes of the cached blocks.
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
                return Err(DecodeError::new(format!("{field} must not be empty")));
            }
        }
        if wire.slots == 0 {
            return Err(DecodeError::new("slots must be at least 1"));
        }
        if wire.address.parse::<std::net::SocketAddr>().is_err() {
            return Err(DecodeError::new("address must be an IP address and a port"));
        }
        let default_speed = EngineSpeed::default();
        let speed = EngineSpeed {
            prefill_rate: positive_or(wire.prefill_rate, default_speed.prefill_rate),
            decode_rate: positive_or(wire.decode_rate, default_speed.decode_rate),
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
    fn from(announcement: &Announcement) -> Self {
        Self {
            service: announcement.service.to_string(),
            zone: announcement.zone.to_string(),
            id: announcement.id.to_string(),
            address: announcement.address.to_string(),
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            lease_ms: millis(announcement.lease),
            memory_tokens: announcement.memory.0,
            slots: announcement.slots,
            prefill_rate: announcement.speed.prefill_rate,
            decode_rate: announcement.speed.decode_rate,
            models: announcement
                .models
                .iter()
                .map(ToString::to_string)
                .collect(),
            load: announcement.load.into(),
            cache: announcement.cache.clone().into(),
            leaving: announcement.leaving,
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
