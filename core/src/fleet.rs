//! The backend servers as an entry VM sees them, and the choice among them.
//!
//! Requests with a prompt are placed on engines by predicted load. A plain call goes to one server,
//! chosen by its occupancy.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::directory::{Directory, Incarnation, Merged, ServerRecord, ServerStage};
use crate::engine_model::{EngineProfile, as_float};
use crate::engine_placement::decision::{PlacementDecision, decide_placement};
use crate::engine_placement::loads::{LoadTable, PlacedPrompt, PlacementKey};
use crate::engine_placement::{Candidate, Placement, PlacementRequest, Placer};
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
    /// Servers that want no requests for a time which they named.
    pub hold_offs: HoldOffs,
    /// Links to VMs by availability zone, which show that a zone is cut off.
    pub zone_links: ZoneLinks,
    /// Plain calls in progress from this VM, by server.
    calls: BTreeMap<ServerId, u32>,
    load_reports: BTreeMap<ServerId, ReportedLoad>,
    /// Whether this VM is linked to a control VM and so receives heartbeats.
    ///
    /// Otherwise a missing heartbeat says nothing about the server.
    pub receives_heartbeats: bool,
}

impl Fleet {
    /// Creates a fleet without servers for an entry VM in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName, rates: RateLimits) -> Self {
        Self {
            zone,
            rates,
            directory: Directory::default(),
            loads: LoadTable::default(),
            health: HealthTable::default(),
            hold_offs: HoldOffs::default(),
            zone_links: ZoneLinks::default(),
            calls: BTreeMap::new(),
            load_reports: BTreeMap::new(),
            receives_heartbeats: false,
        }
    }

    /// Merges a server record; the health of an earlier incarnation is discarded.
    pub fn merge(&mut self, heard_at: Moment, record: ServerRecord) -> Merged {
        let id = record.id.clone();
        let earlier = self.directory.get(&id).map(|known| known.born);
        let merged = self.directory.merge(heard_at, record);
        let known = self.directory.get(&id);
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
        let ready = self.directory.ready(service);
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
        let candidates: Vec<_> = servers
            .into_iter()
            .map(|server| Candidate {
                server,
                penalty: self.health.failure_rate(now, &server.id) * value,
                may_help: !self.rates.is_limited(&server.id),
            })
            .collect();
        let placer = Placer {
            profile,
            loads: &self.loads,
            zone: &self.zone,
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
            self.occupancy(now, server) + crossing + failing
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
        let ready = self.directory.ready(service).map(|(record, _)| &record.id);
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
        let ready = self.directory.ready(service).map(|(record, _)| &record.id);
        let mut left = ready.filter(|id| !tried.contains(id)).peekable();
        left.peek().is_some() && left.all(|id| self.rates.is_limited(id))
    }

    /// Returns this VM's part of the limits of a service's servers, in requests a second.
    #[must_use]
    pub fn fair_rate(&self, now: Moment, service: &ServiceName) -> f64 {
        let limited = self.limited_servers(now, service, &[]);
        self.rates.fair_rate(limited.iter())
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
    #[must_use]
    pub fn has_ready_server(&self, deployment: &Deployment) -> bool {
        let mut ready = deployment
            .services
            .keys()
            .filter(|service| self.directory.ready(service).next().is_some());
        ready.next().is_some()
    }

    /// Returns the servers of a service that may get work, except those in `tried`.
    ///
    /// Servers that are held back are left out without any fallback. Servers with a limit need a
    /// permit. Prefers servers that send heartbeats, are not suspended
    /// and are not in an unreachable zone. If there are none, zones are ignored; if there are still
    /// none, every ready server is used.
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
            .directory
            .ready(service)
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

    /// Returns the requests at a server as a fraction of its slots.
    ///
    /// The larger of the reported load and the calls from this VM counts.
    fn occupancy(&self, now: Moment, server: &ServerRecord) -> f64 {
        let own = self.calls.get(&server.id).copied().unwrap_or(0);
        let report = self.load_reports.get(&server.id);
        let report = report.filter(|report| now.since(report.at) < LOAD_REPORT_LIFETIME);
        let busy = report.map_or(own, |report| report.busy.max(own));
        f64::from(busy) / f64::from(server.slots.max(1))
    }
}
