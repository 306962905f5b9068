//! Registry of backend servers, which announce themselves and expire when their lease ends.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::estimate::EngineSpeed;
use crate::names::{ModelName, ServerId, ServiceName, ZoneName};
use crate::time::Moment;
use crate::units::Tokens;

/// Maximum lease of an announcement; longer requests are shortened to it.
pub const MAX_LEASE: Duration = Duration::from_secs(10);
/// Lifetime of a tombstone, which keeps late announcements from reviving a removed server.
const TOMBSTONE_TTL: Duration = Duration::from_mins(1);

/// State that a backend server reports about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Service that the server offers.
    pub service: ServiceName,
    /// Availability zone in which the server runs.
    pub zone: ZoneName,
    /// Name of the server, unique in its service.
    pub id: ServerId,
    /// Host and port at which the server accepts HTTP.
    pub address: Arc<str>,
    /// Random number drawn at each start of the server process.
    pub incarnation: u64,
    /// Sequence number of the announcement.
    ///
    /// It increases within an incarnation, and each new incarnation starts higher than the last.
    pub sequence: u64,
    /// Requested lease, shortened to `MAX_LEASE`.
    pub lease: Duration,
    /// Capacity of the engine's memory in tokens; zero for a plain HTTP server.
    pub memory: Tokens,
    /// Requests that the server runs concurrently; positive.
    pub slots: u32,
    /// Prefill and decode speed of an engine.
    pub speed: EngineSpeed,
    /// Models that the engine has loaded.
    pub models: Vec<ModelName>,
    /// Load as last read by the server, which may be older than the announcement.
    pub load: LoadReport,
    /// Prefix-cache changes since the previous announcement.
    pub cache: CacheEvents,
    /// Whether the server is shutting down and takes no new work.
    pub leaving: bool,
}

/// Load of a backend server at the time it was read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Time since the load was read.
    pub age: Duration,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued inside the server.
    pub waiting: u32,
    /// Occupied memory in tokens.
    pub memory_used: Tokens,
}

/// Consecutively numbered changes of an engine's prefix cache.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheEvents {
    /// Number of the first event; a number above the expected one means lost events.
    pub first: u64,
    /// Events in the order in which they occurred.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// The block with this hash was added.
    Added(u64),
    /// The block with this hash was evicted.
    Removed(u64),
}

/// This VM's copy of the set of blocks in an engine's prefix cache.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheView {
    /// Number of the next expected event.
    next: u64,
    /// Whether events were lost; the view reports no hits until a snapshot replaces it.
    out_of_sync: bool,
    blocks: HashSet<u64>,
}

impl CacheView {
    /// Creates a view from a full cache snapshot taken before event `next`.
    #[must_use]
    pub fn from_snapshot(next: u64, blocks: impl IntoIterator<Item = u64>) -> Self {
        Self {
            next,
            out_of_sync: false,
            blocks: blocks.into_iter().collect(),
        }
    }

    /// Returns whether events were lost, so that a new snapshot is needed.
    #[must_use]
    pub fn is_out_of_sync(&self) -> bool {
        self.out_of_sync
    }

    /// Counts the leading blocks of a prompt that are cached; zero while out of sync.
    #[must_use]
    pub fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        if self.out_of_sync {
            return 0;
        }
        blocks
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count()
    }

    /// Applies events that are not yet known; a gap puts the view out of sync.
    fn apply(&mut self, events: &CacheEvents) {
        if events.events.is_empty() && events.first == self.next {
            return;
        }
        let already_applied = self.next.saturating_sub(events.first);
        if events.first > self.next {
            self.out_of_sync = true;
            self.blocks.clear();
        }
        for event in events
            .events
            .iter()
            .skip(usize::try_from(already_applied).unwrap_or(usize::MAX))
        {
            match event {
                CacheEvent::Added(block) => drop(self.blocks.insert(*block)),
                CacheEvent::Removed(block) => drop(self.blocks.remove(block)),
            }
        }
        self.next = self.next.max(events.first + events.events.len() as u64);
    }
}

/// A backend server that holds a lease.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// Newest announcement of the server.
    pub announced: Announcement,
    /// Time at which the lease expires.
    pub expires: Moment,
    /// Time at which the load was read, on this VM's clock.
    pub load_time: Moment,
    /// Blocks in the prefix cache of the server.
    pub cache: CacheView,
}

/// Effect of an announcement on the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// The server was not known before.
    Joined,
    /// The server was known, and its lease was renewed.
    Renewed,
    /// A new process announced itself under a known name; the old one is gone.
    Restarted,
    /// The server deregistered and was removed.
    Left,
    /// The announcement is out of order and was ignored.
    Stale,
}

/// Backend servers with a valid lease, of any number of zones and services.
#[derive(Debug, Default)]
pub struct Registry {
    servers: BTreeMap<ServerKey, KnownServer>,
    /// Servers that were removed, kept to reject late announcements.
    tombstones: BTreeMap<ServerKey, Tombstone>,
}

/// Key of a backend server, unique in a deployment.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerKey {
    /// Service that the server offers.
    pub service: ServiceName,
    /// Name of the server within the service.
    pub id: ServerId,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    /// Last sequence number received from the server.
    sequence: u64,
    expires: Moment,
}

impl Announcement {
    /// Returns the key of the announced server.
    #[must_use]
    pub fn key(&self) -> ServerKey {
        ServerKey {
            service: self.service.clone(),
            id: self.id.clone(),
        }
    }
}

impl Registry {
    /// Applies an announcement; an out-of-order one changes nothing.
    pub fn announce(&mut self, now: Moment, announced: Announcement) -> RegistryChange {
        let key = announced.key();
        if self.is_stale(&key, announced.sequence) {
            return RegistryChange::Stale;
        }
        if announced.leaving {
            self.insert_tombstone(now, key, announced.sequence);
            return RegistryChange::Left;
        }
        self.tombstones.remove(&key);
        let expires = now + announced.lease.min(MAX_LEASE);
        let load_time = now - announced.load.age;
        let incarnation = announced.incarnation;
        let old = self.servers.remove(&key);
        let change = match &old {
            None => RegistryChange::Joined,
            Some(old) if old.announced.incarnation == incarnation => RegistryChange::Renewed,
            Some(_) => RegistryChange::Restarted,
        };
        let renewed = old.filter(|_| change == RegistryChange::Renewed);
        let mut cache = renewed.map(|old| old.cache).unwrap_or_default();
        cache.apply(&announced.cache);
        self.servers.insert(
            key,
            KnownServer {
                announced,
                expires,
                load_time,
                cache,
            },
        );
        change
    }

    /// Removes servers whose lease expired and returns their keys.
    pub fn expire(&mut self, now: Moment) -> Vec<ServerKey> {
        self.tombstones
            .retain(|_, tombstone| tombstone.expires > now);
        let expired: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, server)| server.expires <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.servers.remove(key);
        }
        expired
    }

    /// Removes a server that is known to be dead.
    ///
    /// A restarted process can register again, because its sequence numbers start higher.
    pub fn remove(&mut self, now: Moment, key: &ServerKey) {
        if let Some(sequence) = self
            .servers
            .get(key)
            .map(|server| server.announced.sequence)
        {
            self.insert_tombstone(now, key.clone(), sequence);
        }
    }

    /// Replaces the cache view of a server with a snapshot.
    ///
    /// A snapshot of another incarnation, or one older than the current view, is ignored.
    pub fn resync_cache(&mut self, key: &ServerKey, incarnation: u64, view: CacheView) {
        let server = self.servers.get_mut(key);
        let server = server.filter(|server| server.announced.incarnation == incarnation);
        if let Some(server) = server.filter(|server| server.cache.next <= view.next) {
            server.cache = view;
        }
    }

    /// Returns the server with this key.
    #[must_use]
    pub fn get(&self, key: &ServerKey) -> Option<&KnownServer> {
        self.servers.get(key)
    }

    /// Returns the servers that offer a service, in order of their names.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &KnownServer> {
        self.servers
            .values()
            .filter(move |server| server.announced.service == *service)
    }

    /// Returns all servers in order of their keys.
    pub fn all(&self) -> impl Iterator<Item = &KnownServer> {
        self.servers.values()
    }

    fn is_stale(&self, key: &ServerKey, sequence: u64) -> bool {
        let known = self
            .servers
            .get(key)
            .map(|server| server.announced.sequence);
        let removed = self.tombstones.get(key).map(|tombstone| tombstone.sequence);
        known.max(removed).is_some_and(|last| sequence <= last)
    }

    fn insert_tombstone(&mut self, now: Moment, key: ServerKey, sequence: u64) {
        self.servers.remove(&key);
        self.tombstones.insert(
            key,
            Tombstone {
                sequence,
                expires: now + TOMBSTONE_TTL,
            },
        );
    }
}
