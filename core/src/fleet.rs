//! The backend servers as an entry VM sees them, and the choice among them.
//!
//! Requests with a prompt are placed on engines by predicted load. A plain call goes to one server,
//! chosen by its occupancy.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use crate::capacity::{CapacityChange, CapacityTable};
use crate::cold::plan::ColdBounds;
use crate::cold::{ColdOutlook, ColdTable, Warmth};
use crate::deployment::Deployment;
use crate::directory::{Directory, Incarnation, Merged, ServerRecord, ServerStage};
use crate::engine_model::{EngineProfile, as_float};
use crate::engine_placement::decision::{PlacementDecision, decide_placement};
use crate::engine_placement::loads::{LoadTable, PlacedPrompt, PlacementKey};
use crate::engine_placement::{Candidate, Placement, PlacementRequest, Placer};
use crate::evacuation::Evacuations;
use crate::health::{HealthTable, ServerOutcome};
use crate::hold_off::HoldOffs;
use crate::names::{ServerId, ServiceName, VmId, ZoneName};
use crate::rate_limit::RateLimits;
use crate::time::Moment;
use crate::zone_links::ZoneLinks;

/// Time without a heartbeat after which a server gets no work: five usual heartbeat periods.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a load reported by a server is used.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(500);
/// Minimum number of unreachable servers for a zone to count as unreachable.
const MIN_UNREACHABLE_SERVERS: u32 = 2;
/// Divisor for the share of unreachable servers in such a zone: at least 1 in 4.
const UNREACHABLE_DIVISOR: u32 = 4;
/// Additional occupancy that a plain call accepts in order to stay in its zone.
const ZONE_CROSSING_LOAD: f64 = 0.34;

/// Largest random penalty of a server while the placements of other entry VMs are unknown.
///
/// It outweighs a predicted time to first token that is up to 250 ms longer. VMs that start at the same
/// moment see all servers idle, and would otherwise send the returning callers to the same ones.
const BLIND_PENALTY: f64 = 0.05;

/// Additional occupancy of a server that takes twice its usual time for plain calls.
const PACE_LOAD: f64 = 0.25;

/// Load that a server reported in a response.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    at: Moment,
    /// Requests running and waiting at the server.
    busy: u32,
}

/// Why no server can be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoChoice {
    /// None is left.
    NoServer,
    /// All that are left have limits on their request rates, and no permit is at hand.
    RateLimited,
    /// All that are left are cold, and this VM may not send to any of them now.
    Cold,
    /// All servers of the service want no requests; holds the shortest time left.
    HeldBack(Duration),
}

/// Servers, engine loads and server health as one entry VM sees them.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    /// Backend servers known from heartbeats.
    pub directory: Directory,
    /// Predicted load of the engines, from the placements of all entry VMs.
    pub loads: LoadTable,
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

    /// Marks a server as gone, since another one answered at its address.
    pub fn mark_replaced(&mut self, now: Moment, id: &ServerId) {
        let born = self.directory.get(id).map(|record| record.born);
        self.directory.leave(now, id, born);
    }

    /// Returns the newest evacuated zones that this VM was told.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Replaces the evacuated zones if `newer` has a higher revision; returns whether it has.
    pub fn update_evacuations(&mut self, now: Moment, newer: Evacuations) -> bool {
        let Some(reopened) = self.evacuations.replace(newer) else {
            return false;
        };
        for zone in &reopened {
            self.zone_reopened(now, zone);
        }
        true
    }

    /// Whether a server is in an evacuated zone.
    #[must_use]
    pub fn is_evacuated(&self, server: &ServerId) -> bool {
        let record = self.directory.get(server);
        record.is_some_and(|record| self.evacuations.zones.contains(&record.zone))
    }

    /// Returns the plain calls of this VM that still run in evacuated zones.
    #[must_use]
    pub fn evacuated_calls(&self) -> u32 {
        let evacuated = self.calls.iter().filter(|(id, _)| self.is_evacuated(id));
        evacuated.map(|(_, calls)| calls).sum()
    }

    /// Holds a lifetime of a server back, which said in an answer that it wants no requests.
    ///
    /// Returns whether that extends the time; a lifetime that has ended is ignored.
    pub fn hold_back(&mut self, now: Moment, incarnation: &Incarnation, time: Duration) -> bool {
        let record = self.directory.get(&incarnation.server);
        record.is_some_and(|record| record.born == incarnation.born)
            && self.hold_offs.hold(now, incarnation, time)
    }

    /// Returns the shortest time left if all servers of a service are held back.
    #[must_use]
    pub fn all_held_back(&self, now: Moment, service: &ServiceName) -> Option<Duration> {
        let ready = self.open_servers(service);
        let left = ready.map(|(record, _)| self.hold_offs.time_left(now, &record.id));
        let left: Option<Vec<_>> = left.collect();
        left?.into_iter().min()
    }

    /// Adds a placement made by this or another entry VM.
    pub fn add_placement(
        &mut self,
        now: Moment,
        key: &PlacementKey,
        profile: &EngineProfile,
        placed: &PlacedPrompt,
    ) {
        self.loads.add(now, key, profile, placed);
    }

    /// Chooses engines for a prompt, and whether to place it now.
    ///
    /// Engines in `tried` are excluded.
    ///
    /// # Errors
    /// Returns why no engine can take the prompt now.
    pub fn choose_engines(
        &self,
        now: Moment,
        service: &ServiceName,
        profile: &EngineProfile,
        request: &PlacementRequest,
        tried: &[ServerId],
    ) -> Result<(Placement, PlacementDecision), NoChoice> {
        let servers = self.eligible_servers(now, service, tried)?;
        let value = request.value();
        let mut rng = Rng::with_seed(request.random_seed);
        let mut blind_penalty = || {
            if self.sees_placements {
                0.0
            } else {
                rng.f64() * BLIND_PENALTY
            }
        };
        let candidates: Vec<_> = servers
            .into_iter()
            .map(|server| Candidate {
                server,
                penalty: self.health.failure_rate(now, &server.id) * value + blind_penalty(),
                may_help: !self.rates.is_limited(&server.id)
                    && self.cold.warmth(now, server) == Warmth::Warm,
            })
            .collect();
        let placer = Placer {
            profile,
            loads: &self.loads,
            zone: &self.zone,
            packs_shorts: self.sees_placements,
            now,
        };
        let placement = placer.place(request, &candidates);
        let placement = placement.ok_or(NoChoice::NoServer)?;
        let prefilling = |c: &&Candidate<'_>| self.loads.has_prefill_backlog(now, &c.server.id);
        let prefilling = candidates.iter().filter(prefilling).count();
        let busy_fraction = as_float(prefilling as u64) / as_float(candidates.len() as u64);
        let decision = decide_placement(profile, request, &placement, busy_fraction);
        Ok((placement, decision))
    }

    /// Chooses the server with the lowest occupancy for a plain call.
    ///
    /// Servers in `tried` are excluded. Failures and zone crossings count as additional occupancy.
    ///
    /// # Errors
    /// Returns why no server can take the call now.
    pub fn choose_server(
        &self,
        now: Moment,
        service: &ServiceName,
        tried: &[ServerId],
    ) -> Result<ServerId, NoChoice> {
        let servers = self.eligible_servers(now, service, tried)?;
        let load = |server: &&ServerRecord| {
            let crossing = if server.zone == self.zone {
                0.0
            } else {
                ZONE_CROSSING_LOAD
            };
            let failing = self.health.failure_rate(now, &server.id) * 2.0;
            let pace = self.loads.learned().pace(&server.id);
            let slow = (pace - 1.0) * PACE_LOAD;
            self.occupancy(now, server) * pace + slow + crossing + failing
        };
        let best = servers
            .into_iter()
            .min_by(|a, b| load(a).total_cmp(&load(b)));
        best.map_or(Err(NoChoice::NoServer), |best| Ok(best.id.clone()))
    }

    /// Asks for permits to send requests to those servers of a service that have limits.
    ///
    /// Suspended servers and those in `tried` are left out.
    pub fn request_permits(&mut self, now: Moment, service: &ServiceName, tried: &[ServerId]) {
        for server in self.limited_servers(now, service, tried) {
            self.rates.request(now, &server);
        }
    }

    /// Forgets the limits of servers that are gone.
    pub fn forget_gone_limits(&mut self, now: Moment) {
        let directory = &self.directory;
        let is_known = |server: &ServerId| {
            let record = directory.get(server);
            record.is_some_and(|record| record.stage != ServerStage::Gone)
        };
        self.rates.forget_gone(now, is_known);
    }

    /// Returns the servers with limits that would get work without them.
    fn limited_servers(
        &self,
        now: Moment,
        service: &ServiceName,
        tried: &[ServerId],
    ) -> Vec<ServerId> {
        let ready = self.open_servers(service).map(|(record, _)| &record.id);
        let limited = ready.filter(|id| {
            self.rates.is_limited(id)
                && !tried.contains(id)
                && !self.health.is_suspended(now, id)
                && self.hold_offs.time_left(now, id).is_none()
        });
        limited.cloned().collect()
    }

    /// Returns how many permits are promised or asked for, for servers of a service.
    #[must_use]
    pub fn promised_permits(
        &self,
        now: Moment,
        service: &ServiceName,
        tried: &[ServerId],
    ) -> usize {
        let limited = self.limited_servers(now, service, tried);
        self.rates.promised(now, limited.iter())
    }

    /// Whether a service has servers that were not tried, and all of them have limits.
    #[must_use]
    pub fn are_all_limited(&self, service: &ServiceName, tried: &[ServerId]) -> bool {
        let ready = self.open_servers(service).map(|(record, _)| &record.id);
        let mut left = ready.filter(|id| !tried.contains(id)).peekable();
        left.peek().is_some() && left.all(|id| self.rates.is_limited(id))
    }

    /// Returns this VM's part of the limits of a service's servers, in requests a second.
    #[must_use]
    pub fn fair_rate(&self, now: Moment, service: &ServiceName) -> f64 {
        let limited = self.limited_servers(now, service, &[]);
        self.rates.fair_rate(limited.iter())
    }

    /// Lets the servers of a zone count as cold until their later heartbeats say otherwise.
    ///
    /// Called when an evacuation of the zone ends: its servers may have become cold just before.
    pub fn zone_reopened(&mut self, now: Moment, zone: &ZoneName) {
        let records = self.directory.records().map(|(record, _)| record);
        let in_zone = records.filter(|record| record.zone == *zone);
        self.cold.reopen(now, in_zone);
    }

    /// Forgets the coldness of servers that are gone.
    pub fn forget_gone_cold(&mut self) {
        let directory = &self.directory;
        self.cold.forget_gone(|id| directory.get(id).is_some());
    }

    /// Returns the ready servers of all services that are cold.
    #[must_use]
    pub fn cold_servers(&self, now: Moment) -> Vec<&ServerRecord> {
        let records = self.directory.records().map(|(record, _)| record);
        let cold = records.filter(|record| {
            record.stage == ServerStage::Ready
                && matches!(self.cold.warmth(now, record), Warmth::Cold(_))
        });
        cold.collect()
    }

    /// Whether a service has servers that were not tried, and all of them are cold.
    #[must_use]
    pub fn are_all_cold(&self, now: Moment, service: &ServiceName, tried: &[ServerId]) -> bool {
        let mut left = self.untried(service, tried).peekable();
        let is_cold = |record| matches!(self.cold.warmth(now, record), Warmth::Cold(_));
        left.peek().is_some() && left.all(is_cold)
    }

    /// Returns what callers of a service can expect whose servers are all cold.
    ///
    /// `ahead` requests take turns before the next one.
    #[must_use]
    pub fn cold_outlook(
        &self,
        now: Moment,
        service: &ServiceName,
        tried: &[ServerId],
        ahead: usize,
    ) -> ColdOutlook {
        self.cold.outlook(now, self.untried(service, tried), ahead)
    }

    /// Returns the ready servers of a service, except those in `tried`.
    fn untried<'a>(
        &'a self,
        service: &'a ServiceName,
        tried: &'a [ServerId],
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        let ready = self.open_servers(service).map(|(record, _)| record);
        ready.filter(|record| !tried.contains(&record.id))
    }

    /// Counts a plain call to a server as in progress.
    pub fn call_began(&mut self, server: &ServerId) {
        *self.calls.entry(server.clone()).or_default() += 1;
    }

    /// Removes a plain call that ended from the count.
    pub fn call_ended(&mut self, server: &ServerId) {
        if let Some(calls) = self.calls.get_mut(server) {
            *calls = calls.saturating_sub(1);
        }
    }

    /// Records the load reported by a server, in requests running and waiting.
    pub fn record_load(&mut self, now: Moment, server: &ServerId, busy: u32) {
        let report = ReportedLoad { at: now, busy };
        self.load_reports.insert(server.clone(), report);
    }

    /// Computes the learned capacities from all estimates and uses them; returns what changed.
    pub fn refresh_capacities(&mut self, now: Moment) -> Vec<CapacityChange> {
        let Some(capacities) = &mut self.capacities else {
            return Vec::new();
        };
        let changes = capacities.refresh(now, &self.directory);
        if !changes.is_empty() {
            self.loads.set_learned(now, capacities.learned().clone());
        }
        changes
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

    /// Removes the placements of an entry VM whose link was lost.
    pub fn entry_lost(&mut self, now: Moment, entry: &VmId) {
        self.loads.remove_entry(now, entry);
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

    /// Returns the ready servers of a service outside of evacuated zones.
    ///
    /// Whatever selects servers starts from these, so that no fallback reaches an evacuated zone.
    fn open_servers<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a ServerRecord, Moment)> + 'a {
        let ready = self.directory.ready(service);
        ready.filter(|(record, _)| !self.evacuations.zones.contains(&record.zone))
    }

    /// Returns the servers of a service that may get work, except those in `tried`.
    ///
    /// Servers that are held back or in evacuated zones get none. Servers with a limit need a permit,
    /// and cold ones a turn of this VM. Prefers servers that send heartbeats, are not suspended and are
    /// not in an unreachable zone. If there are none, unreachable zones are ignored; if there are still
    /// none, every ready server that is left is used.
    fn eligible_servers<'a>(
        &'a self,
        now: Moment,
        service: &'a ServiceName,
        tried: &[ServerId],
    ) -> Result<Vec<&'a ServerRecord>, NoChoice> {
        let fresh =
            |heard_at: Moment| !self.receives_heartbeats || now.since(heard_at) < HEARTBEAT_TIMEOUT;
        if let Some(left) = self.all_held_back(now, service) {
            return Err(NoChoice::HeldBack(left));
        }
        let is_held = |id: &ServerId| self.hold_offs.time_left(now, id).is_some();
        let ready: Vec<_> = self
            .open_servers(service)
            .filter(|(record, _)| !tried.contains(&record.id) && !is_held(&record.id))
            .collect();
        if ready.is_empty() {
            return Err(NoChoice::NoServer);
        }
        let unreachable = self.unreachable_zones(now, &ready);
        let admitted = ready
            .into_iter()
            .filter(|(record, _)| self.rates.admits(now, &record.id));
        let ready: Vec<_> = admitted.collect();
        if ready.is_empty() {
            return Err(NoChoice::RateLimited);
        }
        let ready = self.cold.admitted(now, ready, |(record, _)| *record);
        if ready.is_empty() {
            return Err(NoChoice::Cold);
        }
        let healthy: Vec<_> = ready
            .iter()
            .filter(|(record, heard_at)| {
                fresh(*heard_at) && !self.health.is_suspended(now, &record.id)
            })
            .map(|(record, _)| *record)
            .collect();
        let reachable = healthy
            .iter()
            .filter(|record| !unreachable.contains(&&record.zone));
        let reachable: Vec<_> = reachable.copied().collect();
        Ok(if !reachable.is_empty() {
            reachable
        } else if healthy.is_empty() {
            ready.into_iter().map(|(record, _)| record).collect()
        } else {
            healthy
        })
    }

    /// Returns the other zones that are cut off, or in which too many servers are unreachable.
    ///
    /// A single unreachable server may be dead. Several in one zone at once indicate a network
    /// partition, and each further attempt would cost a caller the time of a connection attempt.
    fn unreachable_zones<'a>(
        &self,
        now: Moment,
        ready: &[(&'a ServerRecord, Moment)],
    ) -> Vec<&'a ZoneName> {
        let mut counts: BTreeMap<&ZoneName, (u32, u32)> = BTreeMap::new();
        for (record, _) in ready {
            let (all, lost) = counts.entry(&record.zone).or_default();
            *all += 1;
            *lost += u32::from(self.health.is_unreachable(now, &record.id));
        }
        let unreachable = counts.into_iter().filter(|(zone, (all, lost))| {
            let is_refusing =
                *lost >= MIN_UNREACHABLE_SERVERS && *lost * UNREACHABLE_DIVISOR >= *all;
            **zone != self.zone && (is_refusing || self.zone_links.is_cut_off(now, zone))
        });
        unreachable.map(|(zone, _)| zone).collect()
    }

    /// Returns the requests at a server as a fraction of its slots or its learned limit.
    fn occupancy(&self, now: Moment, server: &ServerRecord) -> f64 {
        let usable = self.loads.learned().limit(&server.id, server.slots.max(1));
        f64::from(self.busy(now, server)) / f64::from(usable)
    }

    /// Returns the requests at a server: the reported ones or this VM's calls, whichever are more.
    #[must_use]
    pub fn busy(&self, now: Moment, server: &ServerRecord) -> u32 {
        let own = self.calls.get(&server.id).copied().unwrap_or(0);
        let report = self.load_reports.get(&server.id);
        let report = report.filter(|report| now.since(report.at) < LOAD_REPORT_LIFETIME);
        report.map_or(own, |report| report.busy.max(own))
    }
}
