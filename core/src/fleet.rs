//! The backend servers as an entry VM sees them, and the choice among them.
//!
//! Requests with a prompt are placed on engines by predicted load. A plain call goes to one server,
//! chosen by its occupancy.

mod choice;
mod cold;
mod evacuated;
mod limits;
mod load;

use std::collections::BTreeMap;

pub use self::choice::NoChoice;
use self::load::ReportedLoad;
use crate::capacity::CapacityTable;
use crate::cold::ColdTable;
use crate::cold::plan::ColdBounds;
use crate::deployment::Deployment;
use crate::directory::{Directory, Incarnation, Merged, ServerRecord};
use crate::engine_placement::length_shares::LengthShares;
use crate::engine_placement::loads::LoadTable;
use crate::evacuation::Evacuations;
use crate::health::{HealthTable, ServerOutcome};
use crate::hold_off::HoldOffs;
use crate::names::{ServerId, ZoneName};
use crate::rate_limit::RateLimits;
use crate::time::Moment;
use crate::zone_links::ZoneLinks;

/// Servers, engine loads and server health as one entry VM sees them.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    /// Backend servers known from heartbeats.
    pub directory: Directory,
    /// Predicted load of the engines, from the placements of all entry VMs.
    pub loads: LoadTable,
    /// How often long prompts of each length were placed lately.
    pub shares: LengthShares,
    /// Results of recent requests, by server.
    pub health: HealthTable,
    /// Limits on the request rates of servers, and permits of this VM.
    pub rates: RateLimits,
    /// Cold servers, and when this VM may send to them.
    pub cold: ColdTable,
    /// Servers that want no requests for a time which they named.
    pub hold_offs: HoldOffs,
    /// Links to VMs by availability zone, which show that a zone is cut off.
    pub zone_links: ZoneLinks,
    /// Zones whose servers get no new requests; the newest set that this VM was told.
    evacuations: Evacuations,
    /// Learned capacities of the servers; `None` if they are not learned.
    pub capacities: Option<CapacityTable>,
    /// Plain calls in progress from this VM, by server.
    calls: BTreeMap<ServerId, u32>,
    load_reports: BTreeMap<ServerId, ReportedLoad>,
    /// Whether this VM is linked to a control VM and so receives heartbeats.
    ///
    /// Otherwise a missing heartbeat says nothing about the server.
    pub receives_heartbeats: bool,
    /// Whether this VM has heard of the placements of at least half of the other entry VMs.
    ///
    /// Until then a server without known load may be busy.
    pub sees_placements: bool,
}

impl Fleet {
    /// Creates a fleet without servers for an entry VM in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName, rates: RateLimits) -> Self {
        Self {
            zone,
            cold: ColdTable::new(rates.vm().clone(), ColdBounds::default()),
            rates,
            directory: Directory::default(),
            loads: LoadTable::default(),
            shares: LengthShares::default(),
            health: HealthTable::default(),
            hold_offs: HoldOffs::default(),
            zone_links: ZoneLinks::default(),
            evacuations: Evacuations::default(),
            capacities: None,
            calls: BTreeMap::new(),
            load_reports: BTreeMap::new(),
            receives_heartbeats: false,
            sees_placements: true,
        }
    }

    /// Merges a server record; the health of an earlier incarnation is discarded.
    pub fn merge(&mut self, heard_at: Moment, record: ServerRecord) -> Merged {
        let id = record.id.clone();
        let earlier = self.directory.get(&id).map(|known| known.born);
        let merged = self.directory.merge(heard_at, record);
        let known = self.directory.get(&id);
        if let Some(known) = known {
            self.cold.record_lifetime(heard_at, &id, known.born);
        }
        if merged == Merged::Changed && known.map(|known| known.born) != earlier {
            self.health.forget(&id);
            self.rates.forget(&id);
            self.hold_offs.forget(&id);
        }
        merged
    }

    /// Marks the lifetime of a server that was asked as gone, since another server answered at its address.
    ///
    /// The answer may come late: a lifetime that began meanwhile is not concerned.
    pub fn mark_replaced(&mut self, now: Moment, asked: &Incarnation) {
        self.directory.leave(now, &asked.server, Some(asked.born));
    }

    /// Records the outcome of a request at a server.
    pub fn record_outcome(&mut self, now: Moment, server: &ServerId, outcome: ServerOutcome) {
        self.health.record_outcome(now, server, outcome);
        let Some(record) = self.directory.get(server) else {
            return;
        };
        match outcome {
            ServerOutcome::Succeeded => self.zone_links.record_answer(&record.zone),
            ServerOutcome::Unreachable => self.zone_links.record_unreachable(now, &record.zone),
            ServerOutcome::Failed | ServerOutcome::Full => {}
        }
    }

    /// Returns whether any service of a deployment has a server that takes work.
    ///
    /// Servers in evacuated zones count: if all zones are evacuated, every VM answers that there is
    /// no server, and removing all VMs from the load balancer would not help callers.
    #[must_use]
    pub fn has_ready_server(&self, deployment: &Deployment) -> bool {
        let mut ready = deployment
            .services
            .keys()
            .filter(|service| self.directory.ready(service).next().is_some());
        ready.next().is_some()
    }
}
