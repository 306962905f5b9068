//! What an entry VM knows of the backend servers, and its choice among them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::directory::{Directory, Merged, ServerRecord};
use crate::engine_model::{EngineProfile, as_float};
use crate::engine_placement::decision::{PlacementDecision, decide_placement};
use crate::engine_placement::loads::{EngineLoads, PlacedPrompt, PlacementKey};
use crate::engine_placement::{Candidate, Placement, PlacementRequest, Placer, prompt_value};
use crate::health::{HealthTable, ServerOutcome};
use crate::names::{ServerId, ServiceName, VmId, ZoneName};
use crate::time::Moment;

/// Time without a heartbeat after which a server gets no work; five usual heartbeats.
const SILENT_AFTER: Duration = Duration::from_secs(6);
/// Time for which a load that a server told counts.
const TOLD_LIFE: Duration = Duration::from_millis(500);
/// Least servers of a zone that cannot be reached where the zone counts as cut off.
const CUT_SERVERS: u32 = 2;
/// One server in so many must be out of reach where the zone counts as cut off.
const CUT_PART: u32 = 4;
/// Load, as a part of the slots, that a plain call rather bears than cross zones.
const CROSS_LOAD: f64 = 0.34;

/// Load that a plain server told.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: Moment,
    busy: u32,
}

/// Everything that an entry VM knows of the backend servers.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    /// The servers.
    pub directory: Directory,
    /// What runs on the engines.
    pub loads: EngineLoads,
    /// What was seen of the servers.
    pub health: HealthTable,
    /// Plain calls in progress from here.
    calls: BTreeMap<ServerId, u32>,
    told: BTreeMap<ServerId, Told>,
    /// Whether heartbeats reach this VM, so that a silent server is the server's fault.
    pub receives_heartbeats: bool,
}

impl Fleet {
    /// Starts with no servers, in a zone.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            directory: Directory::default(),
            loads: EngineLoads::default(),
            health: HealthTable::default(),
            calls: BTreeMap::new(),
            told: BTreeMap::new(),
            receives_heartbeats: false,
        }
    }

    /// Takes in a record of a server.
    pub fn merge(&mut self, heard: Moment, record: ServerRecord) -> Merged {
        let id = record.id.clone();
        let earlier = self.directory.get(&id).map(|known| known.born);
        let merged = self.directory.merge(heard, record);
        let known = self.directory.get(&id);
        if merged == Merged::Changed && known.map(|known| known.born) != earlier {
            self.health.forget(&id);
        }
        merged
    }

    /// Takes in that another server answered at a server's address.
    pub fn mark_replaced(&mut self, now: Moment, id: &ServerId) {
        let born = self.directory.get(id).map(|record| record.born);
        self.directory.leave(now, id, born);
    }

    /// Takes in a placement, here or elsewhere.
    pub fn add_placement(
        &mut self,
        now: Moment,
        key: &PlacementKey,
        profile: &EngineProfile,
        placed: &PlacedPrompt,
    ) {
        self.loads.add(now, key, profile, placed);
    }

    /// Chooses engines for a prompt, none of them in `tried`, and judges whether to use them now.
    #[must_use]
    pub fn choose_engines(
        &self,
        now: Moment,
        service: &ServiceName,
        profile: &EngineProfile,
        ask: &PlacementRequest,
        tried: &[ServerId],
    ) -> Option<(Placement, PlacementDecision)> {
        let servers = self.usable(now, service, tried);
        let value = prompt_value(ask.prompt_tokens);
        let candidates: Vec<_> = servers
            .into_iter()
            .map(|server| Candidate {
                server,
                penalty: self.health.failing(now, &server.id) * value,
            })
            .collect();
        let placer = Placer {
            profile,
            loads: &self.loads,
            zone: &self.zone,
            now,
        };
        let placement = placer.place(ask, &candidates)?;
        let reading = |c: &&Candidate<'_>| self.loads.is_reading(now, &c.server.id);
        let reading = candidates.iter().filter(reading).count();
        let busy = as_float(reading as u64) / as_float(candidates.len() as u64);
        let verdict = decide_placement(profile, ask, &placement, busy);
        Some((placement, verdict))
    }

    /// Chooses the server of a plain call, not one of `tried`.
    #[must_use]
    pub fn choose_server(
        &self,
        now: Moment,
        service: &ServiceName,
        tried: &[ServerId],
    ) -> Option<ServerId> {
        let servers = self.usable(now, service, tried);
        let load = |server: &&ServerRecord| {
            let crossing = if server.zone == self.zone {
                0.0
            } else {
                CROSS_LOAD
            };
            let failing = self.health.failing(now, &server.id) * 2.0;
            self.busy(now, server) + crossing + failing
        };
        let best = servers
            .into_iter()
            .min_by(|a, b| load(a).total_cmp(&load(b)))?;
        Some(best.id.clone())
    }

    /// Counts a plain call that begins.
    pub fn call_began(&mut self, server: &ServerId) {
        *self.calls.entry(server.clone()).or_default() += 1;
    }

    /// Counts a plain call that ended.
    pub fn call_ended(&mut self, server: &ServerId) {
        if let Some(calls) = self.calls.get_mut(server) {
            *calls = calls.saturating_sub(1);
        }
    }

    /// Takes in the load that a server told, in requests running and waiting.
    pub fn record_load(&mut self, now: Moment, server: &ServerId, busy: u32) {
        let told = Told { at: now, busy };
        self.told.insert(server.clone(), told);
    }

    /// Takes in how a server served a request.
    pub fn record_outcome(&mut self, now: Moment, server: &ServerId, result: ServerOutcome) {
        self.health.note(now, server, result);
    }

    /// Forgets what an entry VM placed.
    pub fn entry_lost(&mut self, now: Moment, entry: &VmId) {
        self.loads.remove_entry(now, entry);
    }

    /// Whether every service of a deployment that has routes has a server.
    #[must_use]
    pub fn has_ready_server(&self, deployment: &Deployment) -> bool {
        let mut ready = deployment
            .services
            .keys()
            .filter(|service| self.directory.ready(service).next().is_some());
        ready.next().is_some()
    }

    /// Returns the servers that may get work: those that answer, or else any that may.
    fn usable<'a>(
        &'a self,
        now: Moment,
        service: &'a ServiceName,
        tried: &[ServerId],
    ) -> Vec<&'a ServerRecord> {
        let fresh = |heard: Moment| !self.receives_heartbeats || now.since(heard) < SILENT_AFTER;
        let ready: Vec<_> = self
            .directory
            .ready(service)
            .filter(|(record, _)| !tried.contains(&record.id))
            .collect();
        let cut = self.cut_zones(now, &ready);
        let good: Vec<_> = ready
            .iter()
            .filter(|(record, heard)| fresh(*heard) && !self.health.is_suspended(now, &record.id))
            .map(|(record, _)| *record)
            .collect();
        let reached = good.iter().filter(|record| !cut.contains(&&record.zone));
        let reached: Vec<_> = reached.copied().collect();
        if !reached.is_empty() {
            reached
        } else if good.is_empty() {
            ready.into_iter().map(|(record, _)| record).collect()
        } else {
            good
        }
    }

    /// Returns the other zones of which too many servers cannot be reached from here.
    ///
    /// One server that does not answer may be dead; several of a zone at once speak for a cut, and
    /// each further try would cost a caller the time of a connection attempt.
    fn cut_zones<'a>(
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
        let cut = counts.into_iter().filter(|(zone, (all, lost))| {
            **zone != self.zone && *lost >= CUT_SERVERS && *lost * CUT_PART >= *all
        });
        cut.map(|(zone, _)| zone).collect()
    }

    /// Returns the requests at a plain server as a part of its slots.
    fn busy(&self, now: Moment, server: &ServerRecord) -> f64 {
        let own = self.calls.get(&server.id).copied().unwrap_or(0);
        let told = self.told.get(&server.id);
        let told = told.filter(|told| now.since(told.at) < TOLD_LIFE);
        let busy = told.map_or(own, |told| told.busy.max(own));
        f64::from(busy) / f64::from(server.slots.max(1))
    }
}
