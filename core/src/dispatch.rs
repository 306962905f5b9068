//! The dispatcher: queues, orders and places the requests of one zone.
//!
//! Its state is soft. Entry VMs hold every request and ask again when the dispatcher changes.

mod admission;
pub mod ledger;
pub mod message;
mod placing;

pub use placing::BLOCK_TOKENS;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::ledger::{Apart, Ledger, LoadQuestion, OwnLoad, Running};
use crate::dispatch::message::{Ask, AttemptEnd, DispatchOutput, Finish, Grant};
use crate::manifest::Manifest;
use crate::names::{ServerId, ServiceName, VmId};
use crate::outcome::{Refusal, RefusalReason};
use crate::queue::{FairQueue, Waiting};
use crate::registry::{Announcement, CacheView, Registry, RegistryChange, ServerKey};
use crate::suspects::SuspectTable;
use crate::time::Moment;
use crate::units::{AttemptId, ContentDigest, RequestId, Tokens};

/// Shortest wait that a refused caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that waits at the dispatcher.
#[derive(Clone, Debug)]
struct Pending {
    ask: Ask,
    since: Moment,
    deadline: Moment,
    long: bool,
}

/// Queues and waiting requests of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    /// Requests whose predicted prefill is short.
    shorts: FairQueue,
    /// The others; each waiting request is in exactly one of the two.
    longs: FairQueue,
    pending: BTreeMap<RequestId, Pending>,
}

/// The dispatcher of one VM for every service that it holds.
#[derive(Debug)]
pub struct Dispatcher {
    /// When it started to listen to announcements.
    opened: Moment,
    manifest: Option<Arc<Manifest>>,
    registry: Registry,
    queues: BTreeMap<ServiceName, ServiceQueue>,
    ledger: Ledger,
    suspects: SuspectTable,
    outputs: Vec<DispatchOutput>,
}

impl Dispatcher {
    /// Starts without any backend server.
    #[must_use]
    pub fn open(now: Moment) -> Self {
        Self {
            opened: now,
            manifest: None,
            registry: Registry::default(),
            queues: BTreeMap::new(),
            ledger: Ledger::default(),
            suspects: SuspectTable::default(),
            outputs: Vec::new(),
        }
    }

    /// Puts a manifest in force.
    pub fn set_manifest(&mut self, manifest: Arc<Manifest>) {
        self.manifest = Some(manifest);
    }

    /// Returns the known backend servers.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns how many requests wait, over all services.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.pending.len()).sum()
    }

    /// Returns how many requests run, as far as this dispatcher placed them or was told.
    #[must_use]
    pub fn running(&self) -> usize {
        self.ledger.len()
    }

    /// Sums what this dispatcher placed on a server.
    #[must_use]
    pub fn load_of(&self, key: &ServerKey, now: Moment) -> OwnLoad {
        let speed = self
            .registry
            .get(key)
            .map(|server| server.announced.speed)
            .unwrap_or_default();
        self.ledger.load_of(
            key,
            &LoadQuestion {
                now,
                speed,
                priority: u8::MAX,
            },
        )
    }

    /// Returns the requests that are placed on a server.
    #[must_use]
    pub fn placed_at(&self, key: &ServerKey) -> Vec<(RequestId, AttemptId)> {
        self.ledger.placed_at(key)
    }

    /// Returns what was decided since the last call.
    pub fn take_outputs(&mut self) -> Vec<DispatchOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes in a request to place; the same ask again changes nothing or repeats the grant.
    pub fn ask(&mut self, now: Moment, ask: Ask) {
        if self.repeat_grant(&ask) {
            return;
        }
        self.ledger.remove(ask.request);
        match self.check(now, &ask) {
            Err(refusal) => self.refuse(&ask, refusal),
            Ok(long) => {
                let service = ask.service.clone();
                self.enqueue(now, ask, long);
                self.place_service(now, &service);
            }
        }
    }

    /// Takes in that an attempt made its first token.
    pub fn started(&mut self, now: Moment, request: RequestId, attempt: AttemptId) {
        let running = self
            .ledger
            .get(request)
            .filter(|running| running.attempt == attempt);
        let frees = running.filter(|running| running.apart != Apart::No || running.long);
        let service = frees.map(|running| running.service.clone());
        self.ledger.started(request, attempt);
        if let Some(service) = service {
            self.place_service(now, &service);
        }
    }

    /// Takes in the end of an attempt and places what waited for its room.
    pub fn finish(&mut self, now: Moment, finish: &Finish) {
        match &finish.end {
            AttemptEnd::ServerDied(id) => self.server_died(now, finish.request, id),
            AttemptEnd::Unreachable(id) => drop(self.remove_dead(now, finish.request, id)),
            AttemptEnd::Complete
            | AttemptEnd::Refused
            | AttemptEnd::Broken
            | AttemptEnd::Cancelled => {}
        }
        let Some(running) = self.ledger.finish(finish.request, finish.attempt) else {
            return;
        };
        if finish.end == AttemptEnd::Complete {
            self.suspects.ran_to_end(&running.digest);
        }
        self.place_service(now, &running.service);
    }

    /// Takes in that a caller or an entry gave a waiting or running request up.
    pub fn abandon(&mut self, now: Moment, request: RequestId) {
        self.forget_pending(request);
        if let Some(running) = self.ledger.remove(request) {
            self.place_service(now, &running.service);
        }
    }

    /// Takes in a request that already runs, told by its entry to a new dispatcher.
    pub fn adopt(&mut self, request: RequestId, mut running: Running) {
        let long_tokens = self
            .manifest
            .as_ref()
            .map(|manifest| manifest.policy.long_tokens);
        running.long = long_tokens.is_some_and(|bound| running.prefill >= bound);
        self.ledger.insert(request, running);
    }

    /// Takes in an announcement of a backend server.
    pub fn announce(&mut self, now: Moment, announced: Announcement) -> RegistryChange {
        let key = announced.key();
        let change = self.registry.announce(now, announced);
        if change == RegistryChange::Restarted {
            let incarnation = self
                .registry
                .get(&key)
                .map(|server| server.announced.incarnation);
            self.blame_running(now, &key, incarnation);
        }
        if change != RegistryChange::Stale {
            self.place_service(now, &key.service);
        }
        change
    }

    /// Takes in the whole cache of a server.
    pub fn cache_read(&mut self, key: &ServerKey, incarnation: u64, view: CacheView) {
        self.registry.cache_read(key, incarnation, view);
    }

    /// Takes in a verdict of the control log.
    pub fn convict(&mut self, now: Moment, content: ContentDigest) {
        self.suspects.quarantine(now, content);
    }

    /// Frees what a lost entry VM held, and has its running requests cancelled.
    pub fn vm_lost(&mut self, now: Moment, vm: &VmId) {
        let waiting: Vec<_> = self
            .queues
            .values()
            .flat_map(|queue| queue.pending.values())
            .filter(|pending| pending.ask.entry == *vm)
            .map(|pending| pending.ask.request)
            .collect();
        for request in waiting {
            self.forget_pending(request);
        }
        for (request, running) in self.ledger.remove_entry(vm) {
            let servers = running.granted();
            self.outputs
                .push(DispatchOutput::Cancel { request, servers });
        }
        self.place_all(now);
    }

    /// Ends leases and waits whose time has come, and places what it can.
    pub fn tick(&mut self, now: Moment) {
        self.registry.expire(now);
        self.suspects.expire(now);
        self.refuse_late(now);
        self.place_all(now);
    }

    fn place_all(&mut self, now: Moment) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            self.place_service(now, &service);
        }
    }

    fn repeat_grant(&mut self, ask: &Ask) -> bool {
        if self.is_waiting(&ask.service, ask.request, ask.attempt) {
            return true;
        }
        let Some(running) = self.ledger.get(ask.request) else {
            return false;
        };
        if running.attempt != ask.attempt {
            return false;
        }
        let servers = running.granted();
        self.outputs
            .push(DispatchOutput::Grant(Grant::new(ask, servers)));
        true
    }

    fn is_waiting(&self, service: &ServiceName, request: RequestId, attempt: AttemptId) -> bool {
        let queue = self.queues.get(service);
        let pending = queue.and_then(|queue| queue.pending.get(&request));
        pending.is_some_and(|pending| pending.ask.attempt == attempt)
    }

    fn enqueue(&mut self, now: Moment, ask: Ask, long: bool) {
        self.forget_pending(ask.request);
        let speed = self.speed(&ask.service);
        let waiting = Waiting {
            request: ask.request,
            customer: ask.customer.clone(),
            weight: self.weight(&ask.customer),
            work: ask.work.engine_time(Tokens(0), speed),
            since: now,
        };
        let deadline = now + ask.time_left;
        let queue = self.queues.entry(ask.service.clone()).or_default();
        if long {
            &mut queue.longs
        } else {
            &mut queue.shorts
        }
        .push(waiting);
        queue.pending.insert(
            ask.request,
            Pending {
                ask,
                since: now,
                deadline,
                long,
            },
        );
    }

    fn forget_pending(&mut self, request: RequestId) {
        for queue in self.queues.values_mut() {
            if queue.pending.remove(&request).is_some() {
                queue.shorts.remove(request);
                queue.longs.remove(request);
            }
        }
    }

    fn refuse(&mut self, ask: &Ask, refusal: Refusal) {
        self.outputs.push(DispatchOutput::Refuse {
            entry: ask.entry.clone(),
            request: ask.request,
            attempt: ask.attempt,
            refusal,
        });
    }

    /// Refuses at once what cannot be met any more, so that no caller is kept for nothing.
    fn refuse_late(&mut self, now: Moment) {
        let mut late = Vec::new();
        for (service, queue) in &self.queues {
            let unserved = self.is_unserved(now, service);
            for pending in queue.pending.values() {
                if pending.deadline <= now {
                    late.push((pending.ask.clone(), RefusalReason::DeadlinePassed));
                } else if unserved {
                    late.push((pending.ask.clone(), RefusalReason::NoServer));
                }
            }
        }
        for (ask, reason) in late {
            self.forget_pending(ask.request);
            self.refuse(&ask, Refusal::not_run(reason, Some(MIN_RETRY_AFTER)));
        }
    }

    fn server_died(&mut self, now: Moment, request: RequestId, id: &ServerId) {
        if let Some(key) = self.remove_dead(now, request, id) {
            let alive = self
                .registry
                .get(&key)
                .map(|server| server.announced.incarnation);
            self.blame_running(now, &key, alive);
        }
    }

    /// Forgets a server process that an attempt found dead; a newer process of it stays.
    fn remove_dead(&mut self, now: Moment, request: RequestId, id: &ServerId) -> Option<ServerKey> {
        let running = self.ledger.get(request)?;
        let key = ServerKey {
            service: running.service.clone(),
            id: id.clone(),
        };
        let died = running.incarnation_of(id);
        let current = self
            .registry
            .get(&key)
            .map(|server| server.announced.incarnation);
        if current == died {
            self.registry.remove(now, &key);
        }
        Some(key)
    }

    /// Makes every request that ran on a dead process of this server a suspect, once a death.
    fn blame_running(&mut self, now: Moment, key: &ServerKey, alive: Option<u64>) {
        let blamed = self.ledger.blame(key, alive);
        if let Some(content) = self.suspects.server_died(now, &blamed) {
            self.outputs.push(DispatchOutput::Convict(content));
            self.refuse_convicted(content);
        }
    }

    fn refuse_convicted(&mut self, content: ContentDigest) {
        let waiting: Vec<_> = self
            .queues
            .values()
            .flat_map(|queue| queue.pending.values())
            .filter(|pending| pending.ask.digest == content)
            .map(|pending| pending.ask.clone())
            .collect();
        for ask in waiting {
            self.forget_pending(ask.request);
            self.refuse(&ask, Refusal::not_run(RefusalReason::Quarantined, None));
        }
    }
}
