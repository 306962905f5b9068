//! What the dispatcher promised to whom, from its own placements rather than from late reports.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::message::GrantedServer;
use crate::estimate::EngineSpeed;
use crate::names::{CustomerName, ServerId, ServiceName, VmId};
use crate::registry::ServerKey;
use crate::suspects::AffectedRequest;
use crate::time::Moment;
use crate::units::{AttemptId, ContentDigest, RequestId, Tokens};

/// Priority from which on a prompt takes so many steps to read that it disturbs shorter ones.
pub const HEAVY_PRIORITY: u8 = 3;

/// Whether nothing else is placed beside a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Apart {
    /// Others may run beside it.
    #[default]
    No,
    /// It is a suspect that is cleared by its first token.
    UntilFirstToken,
    /// It is a suspect that only its end clears.
    ToTheEnd,
}

/// Part of a request that one server holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The server and what it was granted for; it is kept here, so that the grant of a server that
    /// left meanwhile can be repeated.
    pub server: GrantedServer,
    /// Whether the death of this incarnation was counted against the request.
    pub blamed: bool,
}

/// A placed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// The attempt.
    pub attempt: AttemptId,
    /// VM that holds the request.
    pub entry: VmId,
    /// Its service.
    pub service: ServiceName,
    /// Its customer.
    pub customer: CustomerName,
    /// Digest of its content.
    pub digest: ContentDigest,
    /// Servers that run it; never empty.
    pub servers: Vec<Share>,
    /// Prompt tokens that were not cached when it was placed.
    pub prefill: Tokens,
    /// Its priority at the engine; lower ones run first.
    pub priority: u8,
    /// Whether it counts as long.
    pub long: bool,
    /// Whether others are kept away from it.
    pub apart: Apart,
    /// When it was placed.
    pub since: Moment,
    /// Whether its first token came.
    pub started: bool,
}

impl Running {
    /// Returns the incarnation of `id` that runs the request.
    #[must_use]
    pub fn incarnation_of(&self, id: &ServerId) -> Option<u64> {
        self.servers
            .iter()
            .find(|share| share.server.id == *id)
            .map(|share| share.server.incarnation)
    }

    /// Returns the servers as they were granted.
    #[must_use]
    pub fn granted(&self) -> Vec<GrantedServer> {
        self.servers
            .iter()
            .map(|share| share.server.clone())
            .collect()
    }

    /// Returns the servers that hold a part of it, with the tokens of the part.
    fn held(&self) -> Vec<(ServerKey, Tokens)> {
        let part = |share: &Share| {
            let key = ServerKey {
                service: self.service.clone(),
                id: share.server.id.clone(),
            };
            (key, share.server.memory)
        };
        self.servers.iter().map(part).collect()
    }

    /// Whether it matters to placements by more than its memory and its slot.
    fn is_watched(&self) -> bool {
        !self.started || self.apart != Apart::No
    }

    fn backlog(&self, now: Moment, speed: EngineSpeed) -> Duration {
        if self.started {
            return Duration::ZERO;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts stay far below 2^52"
        )]
        let whole = self.prefill.0 as f64 / speed.prefill_rate;
        let whole = Duration::try_from_secs_f64(whole).unwrap_or_default();
        whole.saturating_sub(now.since(self.since))
    }
}

/// Load that the dispatcher's own placements put on one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnLoad {
    /// Requests.
    pub running: u32,
    /// Long prompts among them whose first token has not come.
    pub longs: u32,
    /// Tokens promised.
    pub memory: Tokens,
    /// Prefill time still to come of requests that the engine runs before the one in question.
    pub backlog: Duration,
    /// Whether prefill that fills the engine's steps is still to come.
    pub disturbed: bool,
    /// Whether a suspect runs there.
    pub apart: bool,
}

/// For which request a load is summed.
#[derive(Clone, Copy, Debug)]
pub struct LoadQuestion {
    /// Now.
    pub now: Moment,
    /// Speed of the server.
    pub speed: EngineSpeed,
    /// Priority of the request at the engine.
    pub priority: u8,
}

/// Placed requests by id.
#[derive(Debug, Default)]
pub struct Ledger {
    running: BTreeMap<RequestId, Running>,
    /// Load of each server; holds exactly the shares of `running`.
    by_server: BTreeMap<ServerKey, ServerLoad>,
}

/// What one server holds.
#[derive(Debug, Default)]
struct ServerLoad {
    requests: BTreeSet<RequestId>,
    /// Those of `requests` whose first token has not come or that are kept apart.
    watched: BTreeSet<RequestId>,
    /// Sum of the shares of `requests`.
    memory: Tokens,
}

impl Ledger {
    /// Returns how many requests run.
    #[must_use]
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Whether nothing runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Finds a request.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<&Running> {
        self.running.get(&request)
    }

    /// Enters a placement in place of an older one of the same request.
    pub fn insert(&mut self, request: RequestId, running: Running) {
        self.remove(request);
        for (key, memory) in running.held() {
            let load = self.by_server.entry(key).or_default();
            load.requests.insert(request);
            load.memory += memory;
            if running.is_watched() {
                load.watched.insert(request);
            }
        }
        self.running.insert(request, running);
    }

    /// Notes the first token of an attempt.
    pub fn started(&mut self, request: RequestId, attempt: AttemptId) {
        let running = self.running.get_mut(&request);
        let Some(running) = running.filter(|running| running.attempt == attempt) else {
            return;
        };
        running.started = true;
        if running.apart == Apart::UntilFirstToken {
            running.apart = Apart::No;
        }
        if !running.is_watched() {
            for (key, _) in running.held() {
                if let Some(load) = self.by_server.get_mut(&key) {
                    load.watched.remove(&request);
                }
            }
        }
    }

    /// Ends an attempt; an older or unknown one changes nothing.
    pub fn finish(&mut self, request: RequestId, attempt: AttemptId) -> Option<Running> {
        if self.running.get(&request)?.attempt != attempt {
            return None;
        }
        self.remove(request)
    }

    /// Ends whatever attempt of the request runs.
    pub fn remove(&mut self, request: RequestId) -> Option<Running> {
        let running = self.running.remove(&request)?;
        for (key, memory) in running.held() {
            if let Some(load) = self.by_server.get_mut(&key) {
                load.requests.remove(&request);
                load.watched.remove(&request);
                load.memory = load.memory.saturating_sub(memory);
                if load.requests.is_empty() {
                    self.by_server.remove(&key);
                }
            }
        }
        Some(running)
    }

    /// Ends all requests of an entry VM.
    pub fn remove_entry(&mut self, vm: &VmId) -> Vec<(RequestId, Running)> {
        let of_entry = self
            .running
            .iter()
            .filter(|(_, running)| running.entry == *vm);
        let requests: Vec<_> = of_entry.map(|(request, _)| *request).collect();
        requests
            .into_iter()
            .filter_map(|id| Some((id, self.remove(id)?)))
            .collect()
    }

    /// Returns how many requests of a customer run.
    #[must_use]
    pub fn of_customer(&self, service: &ServiceName, customer: &CustomerName) -> usize {
        let of_both =
            |running: &&Running| running.service == *service && running.customer == *customer;
        self.running.values().filter(of_both).count()
    }

    /// Sums what was placed on a server.
    #[must_use]
    pub fn load_of(&self, key: &ServerKey, question: &LoadQuestion) -> OwnLoad {
        let Some(server) = self.by_server.get(key) else {
            return OwnLoad::default();
        };
        let mut load = OwnLoad {
            running: u32::try_from(server.requests.len()).unwrap_or(u32::MAX),
            memory: server.memory,
            ..OwnLoad::default()
        };
        for running in server
            .watched
            .iter()
            .filter_map(|request| self.running.get(request))
        {
            load.longs += u32::from(running.long && !running.started);
            let left = running.backlog(question.now, question.speed);
            if running.priority <= question.priority {
                load.backlog += left;
            }
            load.disturbed |= running.priority >= HEAVY_PRIORITY && !left.is_zero();
            load.apart |= running.apart != Apart::No;
        }
        load
    }

    /// Returns the requests on a server.
    #[must_use]
    pub fn placed_at(&self, key: &ServerKey) -> Vec<(RequestId, AttemptId)> {
        let attempt = |request| Some((request, self.running.get(&request)?.attempt));
        self.on_server(key).filter_map(attempt).collect()
    }

    fn on_server(&self, key: &ServerKey) -> impl Iterator<Item = RequestId> {
        let load = self.by_server.get(key);
        load.into_iter().flat_map(|load| &load.requests).copied()
    }

    /// Returns the requests that ran on processes of a server other than `alive`, each once.
    pub fn blame(&mut self, key: &ServerKey, alive: Option<u64>) -> Vec<AffectedRequest> {
        let mut blamed = Vec::new();
        let requests: Vec<_> = self.on_server(key).collect();
        for request in requests {
            let Some(running) = self.running.get_mut(&request) else {
                continue;
            };
            let known = AffectedRequest {
                content: running.digest,
                cleared: running.apart == Apart::No,
            };
            for share in running
                .servers
                .iter_mut()
                .filter(|share| share.server.id == key.id)
            {
                if !share.blamed && Some(share.server.incarnation) != alive {
                    share.blamed = true;
                    blamed.push(known);
                }
            }
        }
        blamed
    }
}
