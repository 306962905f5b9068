//! Running requests and the server capacity they reserve.
//!
//! Load is computed from the dispatcher's own placements, since load reports of servers arrive
//! late.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::message::GrantedServer;
use crate::estimate::EngineSpeed;
use crate::names::{CustomerName, ServerId, ServiceName, VmId};
use crate::registry::ServerKey;
use crate::suspects::AffectedRequest;
use crate::time::Moment;
use crate::units::{AttemptId, ContentDigest, RequestId, Tokens};

/// Priority value from which the prefill of a prompt slows down shorter prompts.
///
/// Such a prompt takes many engine steps to prefill.
pub const HEAVY_PREFILL_PRIORITY: u8 = 3;

/// Whether a running request keeps others off its servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Exclusivity {
    /// Other requests may be placed on its servers.
    #[default]
    None,
    /// It is a crash suspect and stays exclusive until its first output token.
    UntilFirstToken,
    /// It is a crash suspect and stays exclusive until it ends.
    UntilFinished,
}

/// Reservation of a request on one of its servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReservation {
    /// Granted server and memory, as sent to the entry VM.
    ///
    /// They are kept so that the grant can be sent again after the server left.
    pub server: GrantedServer,
    /// Whether the crash of this incarnation was already counted against the request.
    pub crash_counted: bool,
}

/// A request that was placed on backend servers and has not ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningRequest {
    /// Number of the attempt that runs.
    pub attempt: AttemptId,
    /// VM that holds the caller's connection.
    pub entry: VmId,
    /// Service whose servers run it.
    pub service: ServiceName,
    /// Customer whose running limit it counts against.
    pub customer: CustomerName,
    /// Digest of the request's content.
    pub digest: ContentDigest,
    /// Reservations, that of the server which streams the answer first; never empty.
    pub servers: Vec<ServerReservation>,
    /// Prompt tokens that were not in the prefix cache when it was placed.
    pub prefill: Tokens,
    /// Priority at the engine; lower values run first.
    pub priority: u8,
    /// Whether its prompt counts as long.
    pub long: bool,
    /// Whether other requests are kept off its servers.
    pub exclusivity: Exclusivity,
    /// When it was placed, or adopted from another dispatcher.
    pub placed_at: Moment,
    /// Whether its first output token has arrived, so that prefill is over.
    pub prefill_done: bool,
}

impl RunningRequest {
    /// Returns the incarnation of server `id` on which the request was placed.
    #[must_use]
    pub fn incarnation_of(&self, id: &ServerId) -> Option<u64> {
        self.servers
            .iter()
            .find(|reservation| reservation.server.id == *id)
            .map(|reservation| reservation.server.incarnation)
    }

    /// Returns the servers as granted, the one that streams the answer first.
    #[must_use]
    pub fn granted(&self) -> Vec<GrantedServer> {
        self.servers
            .iter()
            .map(|reservation| reservation.server.clone())
            .collect()
    }

    /// Returns the memory reserved on each server, in tokens.
    fn memory_by_server(&self) -> Vec<(ServerKey, Tokens)> {
        let part = |reservation: &ServerReservation| {
            let key = ServerKey {
                service: self.service.clone(),
                id: reservation.server.id.clone(),
            };
            (key, reservation.server.memory)
        };
        self.servers.iter().map(part).collect()
    }

    /// Whether it affects its servers' load by more than its memory and its slot.
    fn is_inspected(&self) -> bool {
        !self.prefill_done || self.exclusivity != Exclusivity::None
    }

    fn backlog(&self, now: Moment, speed: EngineSpeed) -> Duration {
        if self.prefill_done {
            return Duration::ZERO;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts stay far below 2^52"
        )]
        let whole = self.prefill.0 as f64 / speed.prefill_rate;
        let whole = Duration::try_from_secs_f64(whole).unwrap_or_default();
        whole.saturating_sub(now.since(self.placed_at))
    }
}

/// Load of one server from the dispatcher's own placements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlacedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of long prompts among them that are still in prefill.
    pub long_prefills: u32,
    /// Reserved memory in tokens.
    pub memory: Tokens,
    /// Remaining prefill time of requests that the engine runs before the queried one.
    pub backlog: Duration,
    /// Whether a request of `HEAVY_PREFILL_PRIORITY` or above is still in prefill.
    pub heavy_prefill: bool,
    /// Whether a request there keeps others off the server.
    pub exclusive: bool,
}

/// Parameters of a load query.
#[derive(Clone, Copy, Debug)]
pub struct LoadQuery {
    /// Current time, to estimate how far each prefill has got.
    pub now: Moment,
    /// Speed of the server's engine.
    pub speed: EngineSpeed,
    /// Engine priority of the request to place; higher values run after it.
    pub priority: u8,
}

/// Running requests, indexed by id and by server.
#[derive(Debug, Default)]
pub struct RunningTable {
    by_request: BTreeMap<RequestId, RunningRequest>,
    /// Load of each server; always the sum of the reservations in `by_request`.
    by_server: BTreeMap<ServerKey, ServerLoad>,
}

/// Requests on one server.
#[derive(Debug, Default)]
struct ServerLoad {
    requests: BTreeSet<RequestId>,
    /// Those of `requests` that are in prefill or exclusive; `load_of` looks at these only.
    inspected: BTreeSet<RequestId>,
    /// Memory reserved for `requests`, in tokens.
    memory: Tokens,
}

impl RunningTable {
    /// Returns the number of running requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether no request is running.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Returns a running request, or `None` if it isn't running.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<&RunningRequest> {
        self.by_request.get(&request)
    }

    /// Adds a running request; replaces an earlier attempt of the same request.
    pub fn insert(&mut self, request: RequestId, running: RunningRequest) {
        self.remove(request);
        for (key, memory) in running.memory_by_server() {
            let load = self.by_server.entry(key).or_default();
            load.requests.insert(request);
            load.memory += memory;
            if running.is_inspected() {
                load.inspected.insert(request);
            }
        }
        self.by_request.insert(request, running);
    }

    /// Records the first output token of an attempt; ignores attempts that don't run.
    pub fn record_first_token(&mut self, request: RequestId, attempt: AttemptId) {
        let running = self.by_request.get_mut(&request);
        let Some(running) = running.filter(|running| running.attempt == attempt) else {
            return;
        };
        running.prefill_done = true;
        if running.exclusivity == Exclusivity::UntilFirstToken {
            running.exclusivity = Exclusivity::None;
        }
        if !running.is_inspected() {
            for (key, _) in running.memory_by_server() {
                if let Some(load) = self.by_server.get_mut(&key) {
                    load.inspected.remove(&request);
                }
            }
        }
    }

    /// Removes and returns an attempt that ended; ignores older and unknown attempts.
    pub fn finish(&mut self, request: RequestId, attempt: AttemptId) -> Option<RunningRequest> {
        if self.by_request.get(&request)?.attempt != attempt {
            return None;
        }
        self.remove(request)
    }

    /// Removes and returns the request, whichever attempt is running.
    pub fn remove(&mut self, request: RequestId) -> Option<RunningRequest> {
        let running = self.by_request.remove(&request)?;
        for (key, memory) in running.memory_by_server() {
            if let Some(load) = self.by_server.get_mut(&key) {
                load.requests.remove(&request);
                load.inspected.remove(&request);
                load.memory = load.memory.saturating_sub(memory);
                if load.requests.is_empty() {
                    self.by_server.remove(&key);
                }
            }
        }
        Some(running)
    }

    /// Removes and returns all requests of an entry VM.
    pub fn remove_by_entry(&mut self, vm: &VmId) -> Vec<(RequestId, RunningRequest)> {
        let of_entry = self
            .by_request
            .iter()
            .filter(|(_, running)| running.entry == *vm);
        let requests: Vec<_> = of_entry.map(|(request, _)| *request).collect();
        requests
            .into_iter()
            .filter_map(|id| Some((id, self.remove(id)?)))
            .collect()
    }

    /// Returns the number of running requests of a customer at a service.
    #[must_use]
    pub fn count_for_customer(&self, service: &ServiceName, customer: &CustomerName) -> usize {
        let matches = |running: &&RunningRequest| {
            running.service == *service && running.customer == *customer
        };
        self.by_request.values().filter(matches).count()
    }

    /// Sums the load of the requests on a server.
    #[must_use]
    pub fn load_of(&self, key: &ServerKey, query: &LoadQuery) -> PlacedLoad {
        let Some(server) = self.by_server.get(key) else {
            return PlacedLoad::default();
        };
        let mut load = PlacedLoad {
            running: u32::try_from(server.requests.len()).unwrap_or(u32::MAX),
            memory: server.memory,
            ..PlacedLoad::default()
        };
        for running in server
            .inspected
            .iter()
            .filter_map(|request| self.by_request.get(request))
        {
            load.long_prefills += u32::from(running.long && !running.prefill_done);
            let left = running.backlog(query.now, query.speed);
            if running.priority <= query.priority {
                load.backlog += left;
            }
            load.heavy_prefill |= running.priority >= HEAVY_PREFILL_PRIORITY && !left.is_zero();
            load.exclusive |= running.exclusivity != Exclusivity::None;
        }
        load
    }

    /// Returns the requests on a server, with the attempt that runs there.
    #[must_use]
    pub fn requests_on(&self, key: &ServerKey) -> Vec<(RequestId, AttemptId)> {
        let attempt = |request| Some((request, self.by_request.get(&request)?.attempt));
        self.request_ids_on(key).filter_map(attempt).collect()
    }

    fn request_ids_on(&self, key: &ServerKey) -> impl Iterator<Item = RequestId> {
        let load = self.by_server.get(key);
        load.into_iter().flat_map(|load| &load.requests).copied()
    }

    /// Counts a crash of a server against the requests that ran on it, and returns them.
    ///
    /// Processes of an incarnation other than `live_incarnation` have crashed. A request is
    /// returned only once for each of them.
    pub fn record_crash(
        &mut self,
        key: &ServerKey,
        live_incarnation: Option<u64>,
    ) -> Vec<AffectedRequest> {
        let mut affected = Vec::new();
        let requests: Vec<_> = self.request_ids_on(key).collect();
        for request in requests {
            let Some(running) = self.by_request.get_mut(&request) else {
                continue;
            };
            let affected_request = AffectedRequest {
                content: running.digest,
                cleared: running.exclusivity == Exclusivity::None,
            };
            for reservation in running
                .servers
                .iter_mut()
                .filter(|reservation| reservation.server.id == key.id)
            {
                if !reservation.crash_counted
                    && Some(reservation.server.incarnation) != live_incarnation
                {
                    reservation.crash_counted = true;
                    affected.push(affected_request);
                }
            }
        }
        affected
    }
}
