//! The backend servers of a deployment, as their heartbeats tell of them.
//!
//! Records merge in any order to the same result, so VMs can pass them on in any way: a later
//! incarnation replaces an earlier one, and within an incarnation a server only goes from ready to draining
//! to gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::names::{ServerId, ServiceName, ZoneName};
use crate::time::Moment;

/// Time for which a server that is gone is remembered: a heartbeat may arrive many seconds late.
const GONE_KEPT: Duration = Duration::from_mins(2);

/// How far a server's life is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServerStage {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Left, or another server has its address.
    Gone,
}

/// What is known of one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRecord {
    /// Its id; kept over a restart at times.
    pub id: ServerId,
    /// Start of its incarnation, in Unix milliseconds of its own clock.
    pub born: u64,
    /// Number of its last heartbeat in this incarnation.
    pub sequence: u64,
    /// Service that it offers.
    pub service: ServiceName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it serves at once.
    pub slots: u32,
    /// How far its life is; never goes back within an incarnation.
    pub stage: ServerStage,
}

/// What a merge changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merged {
    /// A server, an incarnation, an address or a stage that was not known.
    Changed,
    /// Only that it is alive.
    Refreshed,
    /// Nothing: the record is old.
    Stale,
}

#[derive(Clone, Debug)]
struct Known {
    record: ServerRecord,
    heard: Moment,
}

/// All servers known here.
#[derive(Debug, Default)]
pub struct Directory {
    servers: BTreeMap<ServerId, Known>,
}

impl Directory {
    /// Takes in a record that was true at `heard`.
    pub fn merge(&mut self, heard: Moment, record: ServerRecord) -> Merged {
        let added = (record.id.clone(), record.born, record.address);
        let leaves = record.stage == ServerStage::Gone;
        let merged = self.merge_one(heard, record);
        if merged == Merged::Changed && !leaves {
            self.displace(heard, &added);
        }
        merged
    }

    /// Takes in that a server says it leaves, with the start of its incarnation where it tells that.
    pub fn leave(&mut self, now: Moment, id: &ServerId, born: Option<u64>) -> Merged {
        let Some(known) = self.servers.get_mut(id) else {
            return Merged::Stale;
        };
        let other = born.is_some_and(|born| born != known.record.born);
        if other || known.record.stage == ServerStage::Gone {
            return Merged::Stale;
        }
        known.record.stage = ServerStage::Gone;
        known.heard = now;
        Merged::Changed
    }

    /// Returns a server.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&ServerRecord> {
        self.servers.get(id).map(|known| &known.record)
    }

    /// Returns every record with the time at which it was last true.
    pub fn records(&self) -> impl Iterator<Item = (&ServerRecord, Moment)> {
        self.servers
            .values()
            .map(|known| (&known.record, known.heard))
    }

    /// Returns the servers of a service that take work.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a ServerRecord, Moment)> + 'a {
        self.records()
            .filter(move |(r, _)| r.stage == ServerStage::Ready && r.service == *service)
    }

    /// Forgets servers that are gone for long.
    pub fn expire(&mut self, now: Moment) {
        self.servers.retain(|_, known| {
            known.record.stage != ServerStage::Gone || now.since(known.heard) < GONE_KEPT
        });
    }

    fn merge_one(&mut self, heard: Moment, record: ServerRecord) -> Merged {
        let Some(known) = self.servers.get_mut(&record.id) else {
            self.servers
                .insert(record.id.clone(), Known { record, heard });
            return Merged::Changed;
        };
        let old = &mut known.record;
        if record.born < old.born {
            return Merged::Stale;
        }
        if record.born > old.born {
            *known = Known { record, heard };
            return Merged::Changed;
        }
        if record.stage > old.stage {
            old.stage = record.stage;
            old.sequence = old.sequence.max(record.sequence);
            known.heard = known.heard.max(heard);
            return Merged::Changed;
        }
        if record.sequence <= old.sequence {
            return Merged::Stale;
        }
        let moved = record.address != old.address || record.service != old.service;
        let stage = old.stage;
        known.record = ServerRecord { stage, ..record };
        known.heard = known.heard.max(heard);
        if moved {
            Merged::Changed
        } else {
            Merged::Refreshed
        }
    }

    /// Settles which of two servers has an address: the one that started later.
    fn displace(&mut self, now: Moment, added: &(ServerId, u64, SocketAddr)) {
        let (id, born, address) = added;
        let mut displaced = false;
        for known in self.servers.values_mut() {
            let other = &mut known.record;
            let same = other.address == *address && other.id != *id;
            if !same || other.stage == ServerStage::Gone {
                continue;
            }
            if other.born < *born {
                other.stage = ServerStage::Gone;
                known.heard = now;
            } else {
                displaced = true;
            }
        }
        if let Some(known) = self.servers.get_mut(id).filter(|_| displaced) {
            known.record.stage = ServerStage::Gone;
        }
    }
}
