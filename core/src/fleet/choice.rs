//! Choice of the servers for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use super::Fleet;
use crate::cold::Warmth;
use crate::directory::ServerRecord;
use crate::engine_model::{EngineProfile, as_float};
use crate::engine_placement::decision::{
    PlacementDecision, Pressure, decide_placement, may_await_room,
};
use crate::engine_placement::loads::EngineLoad;
use crate::engine_placement::{Candidate, Placement, PlacementRequest, Placer};
use crate::names::{ServerId, ServiceName, ZoneName};
use crate::time::Moment;

/// Time without a heartbeat after which a server gets no work: five usual heartbeat periods.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(6);
/// Minimum number of unreachable servers for a zone to count as unreachable.
const MIN_UNREACHABLE_SERVERS: u32 = 2;
/// Divisor for the share of unreachable servers in such a zone: at least 1 in 4.
const UNREACHABLE_DIVISOR: u32 = 4;
/// Additional occupancy that a plain call accepts in order to stay in its zone.
const ZONE_CROSSING_LOAD: f64 = 0.34;

/// Largest random penalty of a server while the placements of other entry VMs are unknown.
///
/// It outweighs a predicted time to first token that is up to 250 ms longer. VMs that start at the
/// same moment see all servers idle, and would otherwise send the returning callers to the same ones.
const UNSEEN_LOAD_PENALTY: f64 = 0.05;

/// Additional occupancy of a server that takes twice its usual time for plain calls.
const PACE_LOAD: f64 = 0.25;

/// Why no server can be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoChoice {
    /// None is left.
    NoServer,
    /// All that are left have limits on their request rates, and no permit is at hand.
    RateLimited,
    /// All that are left are cold, and this VM may not send to any of them now.
    Cold,
    /// No engines have KV cache for the prompt now, and it may wait until some have.
    AwaitRoom,
    /// No engines have KV cache for the prompt soon enough, or none ever have.
    NoRoom,
    /// All servers of the service want no requests; holds the shortest time left.
    HeldBack(Duration),
}

impl Fleet {
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
        let mut unseen_load_penalty = || {
            if self.sees_placements {
                0.0
            } else {
                rng.f64() * UNSEEN_LOAD_PENALTY
            }
        };
        let candidates: Vec<_> = servers
            .into_iter()
            .map(|server| Candidate {
                server,
                penalty: self.health.failure_rate(now, &server.id) * value + unseen_load_penalty(),
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
        let placement = placement.ok_or_else(|| {
            // Engines that are suspended or without a permit now may have room soon.
            let engines = self.open_servers(service).count();
            let may_wait = placer.could_hold(request, engines) && may_await_room(request);
            if may_wait {
                NoChoice::AwaitRoom
            } else {
                NoChoice::NoRoom
            }
        })?;
        let pressure = self.pressure(now, profile, &candidates);
        let decision = decide_placement(profile, request, &placement, pressure);
        Ok((placement, decision))
    }

    /// Returns how busy the candidates are.
    fn pressure(
        &self,
        now: Moment,
        profile: &EngineProfile,
        candidates: &[Candidate<'_>],
    ) -> Pressure {
        let mut prefilling = 0;
        let mut taken = 0;
        let mut slots = 0;
        for candidate in candidates {
            let server = &candidate.server.id;
            prefilling += u64::from(self.loads.has_prefill_backlog(now, server));
            taken += self.loads.load(server).map_or(0, EngineLoad::lead_count) as u64;
            slots += u64::from(self.loads.usable_slots(profile, server));
        }
        Pressure {
            busy_fraction: as_float(prefilling) / as_float(candidates.len() as u64),
            taken_fraction: as_float(taken) / as_float(slots.max(1)),
        }
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

    /// Returns the servers of a service that may get work, except those in `tried`.
    ///
    /// Servers that are held back or in evacuated zones get none. Servers with a limit need a
    /// permit, and cold ones a turn of this VM. Prefers servers that send heartbeats, are not
    /// suspended and are not in an unreachable zone. If there are none, unreachable zones are
    /// ignored; if there are still none, every ready server that is left is used.
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
}
