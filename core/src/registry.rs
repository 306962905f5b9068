//! Backend servers that announced themselves, each under a lease.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::estimate::EngineSpeed;
use crate::names::{ModelName, ServerId, ServiceName, ZoneName};
use crate::time::Moment;
use crate::units::Tokens;

/// Longest lease that an announcement can ask for.
pub const MAX_LEASE: Duration = Duration::from_secs(10);
/// How long a server that left stays remembered, so that a late announcement cannot bring it back.
const TOMBSTONE_LIFE: Duration = Duration::from_mins(1);

/// What a backend server says about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Service that it offers.
    pub service: ServiceName,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Its name.
    pub id: ServerId,
    /// Address of its HTTP port.
    pub address: Arc<str>,
    /// Random number of this start of the server process.
    pub incarnation: u64,
    /// Grows with each announcement of one incarnation; later incarnations start higher.
    pub sequence: u64,
    /// Time that the announcement holds; at most `MAX_LEASE`.
    pub lease: Duration,
    /// Tokens that its memory holds; zero for a plain server.
    pub memory: Tokens,
    /// Requests that it runs side by side; positive.
    pub slots: u32,
    /// Speed of an engine.
    pub speed: EngineSpeed,
    /// Models that an engine holds.
    pub models: Vec<ModelName>,
    /// Load at an earlier time.
    pub load: LoadReport,
    /// What changed in its prefix cache since its last announcement.
    pub cache: CacheEvents,
    /// Whether the server is leaving and takes no new work.
    pub leaving: bool,
}

/// Load of a backend server at an earlier time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// How long ago the load was read.
    pub age: Duration,
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited inside the server.
    pub waiting: u32,
    /// Tokens that its memory held.
    pub memory_used: Tokens,
}

/// Numbered changes of an engine's prefix cache.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheEvents {
    /// Number of the first event; where it is not the next one, events were lost.
    pub first: u64,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// A block is cached now.
    Added(u64),
    /// A block is cached no more.
    Removed(u64),
}

/// Cached blocks of an engine as this VM knows them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheView {
    /// Number of the next event.
    next: u64,
    /// Whether events were lost; nothing is believed until the cache is read anew.
    distrusted: bool,
    blocks: HashSet<u64>,
}

impl CacheView {
    /// Makes a view of a cache that was read whole, up to before event `next`.
    #[must_use]
    pub fn from_snapshot(next: u64, blocks: impl IntoIterator<Item = u64>) -> Self {
        Self {
            next,
            distrusted: false,
            blocks: blocks.into_iter().collect(),
        }
    }

    /// Whether events were lost.
    #[must_use]
    pub fn is_out_of_sync(&self) -> bool {
        self.distrusted
    }

    /// Counts the leading blocks of a prompt that are cached; none while events are lost.
    #[must_use]
    pub fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        if self.distrusted {
            return 0;
        }
        blocks
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count()
    }

    /// Takes in events; a gap makes the whole view worthless.
    fn apply(&mut self, events: &CacheEvents) {
        if events.events.is_empty() && events.first == self.next {
            return;
        }
        let known = self.next.saturating_sub(events.first);
        if events.first > self.next {
            self.distrusted = true;
            self.blocks.clear();
        }
        for event in events
            .events
            .iter()
            .skip(usize::try_from(known).unwrap_or(usize::MAX))
        {
            match event {
                CacheEvent::Added(block) => drop(self.blocks.insert(*block)),
                CacheEvent::Removed(block) => drop(self.blocks.remove(block)),
            }
        }
        self.next = self.next.max(events.first + events.events.len() as u64);
    }
}

/// A known backend server.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// Its newest announcement.
    pub announced: Announcement,
    /// End of its lease.
    pub expires: Moment,
    /// Time at which its load was read, on this VM's clock.
    pub load_time: Moment,
    /// Its cached blocks.
    pub cache: CacheView,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// The server was not known before.
    Joined,
    /// The server was known, and its lease is longer now.
    Renewed,
    /// The server is a new process under a known name; its old one is gone.
    Restarted,
    /// The server leaves.
    Left,
    /// The announcement is older than what is known.
    Stale,
}

/// Backend servers of one zone and service or of several.
#[derive(Debug, Default)]
pub struct Registry {
    servers: BTreeMap<ServerKey, KnownServer>,
    /// Last sequence of servers that left, with the time to forget it.
    tombstones: BTreeMap<ServerKey, Tombstone>,
}

/// Name of a backend server in a deployment.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerKey {
    /// Its service.
    pub service: ServiceName,
    /// Its name in the service.
    pub id: ServerId,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    sequence: u64,
    forget: Moment,
}

impl Announcement {
    /// Returns the server's name in the deployment.
    #[must_use]
    pub fn key(&self) -> ServerKey {
        ServerKey {
            service: self.service.clone(),
            id: self.id.clone(),
        }
    }
}

impl Registry {
    /// Takes in an announcement; one out of order changes nothing.
    pub fn announce(&mut self, now: Moment, announced: Announcement) -> RegistryChange {
        let key = announced.key();
        if self.is_stale(&key, announced.sequence) {
            return RegistryChange::Stale;
        }
        if announced.leaving {
            self.bury(now, key, announced.sequence);
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
        let same = old.filter(|_| change == RegistryChange::Renewed);
        let mut cache = same.map(|old| old.cache).unwrap_or_default();
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

    /// Removes servers whose lease ended, and returns their names.
    pub fn expire(&mut self, now: Moment) -> Vec<ServerKey> {
        self.tombstones
            .retain(|_, tombstone| tombstone.forget > now);
        let ended: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, server)| server.expires <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &ended {
            self.servers.remove(key);
        }
        ended
    }

    /// Removes a server that is known to be dead; its next start may announce itself again.
    pub fn remove(&mut self, now: Moment, key: &ServerKey) {
        if let Some(sequence) = self
            .servers
            .get(key)
            .map(|server| server.announced.sequence)
        {
            self.bury(now, key.clone(), sequence);
        }
    }

    /// Takes in the whole cache of a server, where its view was worthless and it is older.
    pub fn resync_cache(&mut self, key: &ServerKey, incarnation: u64, view: CacheView) {
        let server = self.servers.get_mut(key);
        let server = server.filter(|server| server.announced.incarnation == incarnation);
        if let Some(server) = server.filter(|server| server.cache.next <= view.next) {
            server.cache = view;
        }
    }

    /// Finds a server by name.
    #[must_use]
    pub fn get(&self, key: &ServerKey) -> Option<&KnownServer> {
        self.servers.get(key)
    }

    /// Returns the servers of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &KnownServer> {
        self.servers
            .values()
            .filter(move |server| server.announced.service == *service)
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &KnownServer> {
        self.servers.values()
    }

    fn is_stale(&self, key: &ServerKey, sequence: u64) -> bool {
        let known = self
            .servers
            .get(key)
            .map(|server| server.announced.sequence);
        let buried = self.tombstones.get(key).map(|tombstone| tombstone.sequence);
        known.max(buried).is_some_and(|last| sequence <= last)
    }

    fn bury(&mut self, now: Moment, key: ServerKey, sequence: u64) {
        self.servers.remove(&key);
        self.tombstones.insert(
            key,
            Tombstone {
                sequence,
                forget: now + TOMBSTONE_LIFE,
            },
        );
    }
}
