//! Directory of the backend servers of a deployment, from their heartbeats.
//!
//! Records can be merged in any order with the same result, so VMs may relay them over any path. A
//! later incarnation replaces an earlier one. Within an incarnation the stage only moves forward,
//! from ready through draining to gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::names::{ServerId, ServiceName, ZoneName};
use crate::time::Moment;

/// Time for which a gone server is kept, since heartbeats may arrive many seconds late.
const GONE_RETENTION: Duration = Duration::from_mins(2);

/// Lifecycle stage of a server, in the order in which it moves forward.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServerStage {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Draining,
    /// Has left, or a later server took over its address.
    Gone,
}

/// One lifetime of a server, from its start to its end.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation {
    /// Id of the server; a restarted server may keep it.
    pub server: ServerId,
    /// Start of the lifetime, in Unix milliseconds by the server's clock.
    pub born: u64,
}

/// Announced state of one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRecord {
    /// Id of the server; a restarted server may keep it.
    pub id: ServerId,
    /// Start of the incarnation, in Unix milliseconds by the server's clock.
    pub born: u64,
    /// Sequence number of the newest heartbeat in this incarnation.
    pub sequence: u64,
    /// Service that the server offers.
    pub service: ServiceName,
    /// Address on which the server accepts connections.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Lifecycle stage; it never moves back within an incarnation.
    pub stage: ServerStage,
}

impl ServerRecord {
    /// Returns the lifetime of the server that the record describes.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            server: self.id.clone(),
            born: self.born,
        }
    }
}

/// Effect of merging a record into the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merged {
    /// The server, its incarnation, address, service or stage was new.
    Changed,
    /// Nothing but the sequence number was new: the server is alive.
    Refreshed,
    /// Nothing changed, since the record is outdated.
    Stale,
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    record: ServerRecord,
    /// Time at which the record was last known to be true.
    heard_at: Moment,
}

/// All backend servers that a VM has heard of.
#[derive(Debug, Default)]
pub struct Directory {
    servers: BTreeMap<ServerId, DirectoryEntry>,
}

impl Directory {
    /// Merges a record that was true at `heard_at`.
    ///
    /// Of two servers with the same address, only the one that started later stays.
    pub fn merge(&mut self, heard_at: Moment, record: ServerRecord) -> Merged {
        let added = (record.id.clone(), record.born, record.address);
        let gone = record.stage == ServerStage::Gone;
        let merged = self.merge_record(heard_at, record);
        if merged == Merged::Changed && !gone {
            self.resolve_address_conflict(heard_at, &added);
        }
        merged
    }

    /// Marks a server as gone.
    ///
    /// If `born` is given, this applies only to the incarnation that started then.
    pub fn leave(&mut self, now: Moment, id: &ServerId, born: Option<u64>) -> Merged {
        let Some(known) = self.servers.get_mut(id) else {
            return Merged::Stale;
        };
        let mismatch = born.is_some_and(|born| born != known.record.born);
        if mismatch || known.record.stage == ServerStage::Gone {
            return Merged::Stale;
        }
        known.record.stage = ServerStage::Gone;
        known.heard_at = now;
        Merged::Changed
    }

    /// Marks a lifetime of a server as draining.
    pub fn drain(&mut self, now: Moment, incarnation: &Incarnation) -> Merged {
        match self.servers.get_mut(&incarnation.server) {
            Some(known)
                if known.record.born == incarnation.born
                    && known.record.stage == ServerStage::Ready =>
            {
                known.record.stage = ServerStage::Draining;
                known.heard_at = now;
                Merged::Changed
            }
            _ => Merged::Stale,
        }
    }

    /// Returns the record of a server, also of a gone one; `None` if it is unknown.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&ServerRecord> {
        self.servers.get(id).map(|known| &known.record)
    }

    /// Whether a record would change the service of a server that has not left, or of its address.
    #[must_use]
    pub fn would_change_service(&self, record: &ServerRecord) -> bool {
        let mut known = self.records().map(|(known, _)| known);
        known.any(|known| {
            let concerns = known.id == record.id || known.address == record.address;
            concerns && known.stage != ServerStage::Gone && known.service != record.service
        })
    }

    /// Returns the lifetimes whose end without a goodbye a record would show.
    ///
    /// These are ready servers with the id or the address of the record that started earlier.
    #[must_use]
    pub fn ended_by(&self, record: &ServerRecord) -> Vec<Incarnation> {
        let earlier = self.records().map(|(known, _)| known).filter(|known| {
            let replaced = known.id == record.id || known.address == record.address;
            replaced && known.born < record.born && known.stage == ServerStage::Ready
        });
        earlier.map(ServerRecord::incarnation).collect()
    }

    /// Returns all records, each with the time at which it was last known to be true.
    pub fn records(&self) -> impl Iterator<Item = (&ServerRecord, Moment)> {
        self.servers
            .values()
            .map(|known| (&known.record, known.heard_at))
    }

    /// Returns the servers of a service that accept new requests.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a ServerRecord, Moment)> + 'a {
        self.records()
            .filter(move |(r, _)| r.stage == ServerStage::Ready && r.service == *service)
    }

    /// Removes servers that have been gone for longer than the retention time.
    pub fn expire(&mut self, now: Moment) {
        self.servers.retain(|_, known| {
            known.record.stage != ServerStage::Gone || now.since(known.heard_at) < GONE_RETENTION
        });
    }

    fn merge_record(&mut self, heard_at: Moment, record: ServerRecord) -> Merged {
        let Some(known) = self.servers.get_mut(&record.id) else {
            self.servers
                .insert(record.id.clone(), DirectoryEntry { record, heard_at });
            return Merged::Changed;
        };
        let old = &mut known.record;
        if record.born < old.born {
            return Merged::Stale;
        }
        if record.born > old.born {
            *known = DirectoryEntry { record, heard_at };
            return Merged::Changed;
        }
        if record.stage > old.stage {
            old.stage = record.stage;
            old.sequence = old.sequence.max(record.sequence);
            known.heard_at = known.heard_at.max(heard_at);
            return Merged::Changed;
        }
        if record.sequence <= old.sequence {
            return Merged::Stale;
        }
        let moved = record.address != old.address || record.service != old.service;
        let stage = old.stage;
        known.record = ServerRecord { stage, ..record };
        known.heard_at = known.heard_at.max(heard_at);
        if moved {
            Merged::Changed
        } else {
            Merged::Refreshed
        }
    }

    /// Keeps the latest server on an address and marks the others as gone.
    ///
    /// `added` holds the id, incarnation start and address of a changed record.
    fn resolve_address_conflict(&mut self, now: Moment, added: &(ServerId, u64, SocketAddr)) {
        let (id, born, address) = added;
        let mut superseded = false;
        for known in self.servers.values_mut() {
            let other = &mut known.record;
            let conflicts = other.address == *address && other.id != *id;
            if !conflicts || other.stage == ServerStage::Gone {
                continue;
            }
            if other.born < *born {
                other.stage = ServerStage::Gone;
                known.heard_at = now;
            } else {
                superseded = true;
            }
        }
        if let Some(known) = self.servers.get_mut(id).filter(|_| superseded) {
            known.record.stage = ServerStage::Gone;
        }
    }
}
