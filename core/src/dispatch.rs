//! The dispatcher: queues the requests of a zone and places them on backend servers.
//!
//! It keeps soft state only: entry VMs, which hold the callers' connections, keep every request
//! and submit it again when another VM becomes the dispatcher.

mod admission;
pub mod message;
pub mod running_requests;
mod scheduling;

pub use scheduling::BLOCK_TOKENS;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::message::{AttemptEnd, AttemptSpec, DispatchOutput, Finish, Grant};
use crate::dispatch::running_requests::{
    Exclusivity, LoadQuery, PlacedLoad, RunningRequest, RunningTable,
};
use crate::manifest::Manifest;
use crate::names::{ServerId, ServiceName, VmId};
use crate::outcome::{Refusal, RefusalReason};
use crate::queue::{FairQueue, QueuedRequest};
use crate::registry::{Announcement, CacheView, Registry, RegistryChange, ServerKey};
use crate::suspects::SuspectTable;
use crate::time::Moment;
use crate::units::{AttemptId, ContentDigest, RequestId, Tokens};

/// Lower bound of the retry delay that a refusal gives.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A queued request with its current attempt.
#[derive(Clone, Debug)]
struct Pending {
    spec: AttemptSpec,
    queued_at: Moment,
    deadline: Moment,
    /// Whether it is in the queue of long prompts.
    long: bool,
}

/// Queued requests of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    /// Requests with prompts under `Policy::long_tokens`, and all requests of plain services.
    short_queue: FairQueue,
    /// Requests with longer prompts; every queued request is in exactly one queue.
    long_queue: FairQueue,
    /// All requests in the two queues.
    pending: BTreeMap<RequestId, Pending>,
}

/// Dispatcher of one VM, for every service assigned to it.
///
/// Call [`Dispatcher::take_outputs`] after each input to collect the decisions it led to.
#[derive(Debug)]
pub struct Dispatcher {
    /// When it started to listen to announcements of backend servers.
    started_at: Moment,
    manifest: Option<Arc<Manifest>>,
    registry: Registry,
    queues: BTreeMap<ServiceName, ServiceQueue>,
    running_table: RunningTable,
    suspects: SuspectTable,
    outputs: Vec<DispatchOutput>,
}

impl Dispatcher {
    /// Creates a dispatcher without a manifest and without backend servers.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            started_at: now,
            manifest: None,
            registry: Registry::default(),
            queues: BTreeMap::new(),
            running_table: RunningTable::default(),
            suspects: SuspectTable::default(),
            outputs: Vec::new(),
        }
    }

    /// Replaces the manifest; it applies to all later decisions.
    pub fn set_manifest(&mut self, manifest: Arc<Manifest>) {
        self.manifest = Some(manifest);
    }

    /// Returns the backend servers known from announcements whose lease has not ended.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the number of queued requests over all services.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.pending.len()).sum()
    }

    /// Returns the number of running requests that it placed or adopted.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running_table.len()
    }

    /// Sums the load of all requests that this dispatcher placed on a server.
    #[must_use]
    pub fn load_of(&self, key: &ServerKey, now: Moment) -> PlacedLoad {
        let speed = self
            .registry
            .get(key)
            .map(|server| server.announced.speed)
            .unwrap_or_default();
        self.running_table.load_of(
            key,
            &LoadQuery {
                now,
                speed,
                priority: u8::MAX,
            },
        )
    }

    /// Returns the running requests of a server, with the attempt that runs there.
    #[must_use]
    pub fn requests_on(&self, key: &ServerKey) -> Vec<(RequestId, AttemptId)> {
        self.running_table.requests_on(key)
    }

    /// Returns the decisions since the last call, oldest first.
    pub fn take_outputs(&mut self) -> Vec<DispatchOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Admits, queues and, if possible, places an attempt.
    ///
    /// A duplicate of a queued attempt is ignored; for a placed one the grant is sent again.
    pub fn submit(&mut self, now: Moment, spec: AttemptSpec) {
        if self.handle_duplicate(&spec) {
            return;
        }
        self.running_table.remove(spec.request);
        match self.check_admission(now, &spec) {
            Err(refusal) => self.refuse(&spec, refusal),
            Ok(long) => {
                let service = spec.service.clone();
                self.enqueue(now, spec, long);
                self.place_service(now, &service);
            }
        }
    }

    /// Records that an attempt has produced its first output token.
    ///
    /// The end of prefill may allow further placements on its servers.
    pub fn record_first_token(&mut self, now: Moment, request: RequestId, attempt: AttemptId) {
        let running = self
            .running_table
            .get(request)
            .filter(|running| running.attempt == attempt);
        let unblocks =
            running.filter(|running| running.exclusivity != Exclusivity::None || running.long);
        let service = unblocks.map(|running| running.service.clone());
        self.running_table.record_first_token(request, attempt);
        if let Some(service) = service {
            self.place_service(now, &service);
        }
    }

    /// Ends an attempt and places requests on the capacity it frees.
    pub fn finish(&mut self, now: Moment, finish: &Finish) {
        match &finish.end {
            AttemptEnd::ServerDied(id) => self.handle_server_death(now, finish.request, id),
            AttemptEnd::Unreachable(id) => drop(self.remove_dead_process(now, finish.request, id)),
            AttemptEnd::Complete
            | AttemptEnd::Refused
            | AttemptEnd::Broken
            | AttemptEnd::Cancelled => {}
        }
        let Some(running) = self.running_table.finish(finish.request, finish.attempt) else {
            return;
        };
        if finish.end == AttemptEnd::Complete {
            self.suspects.ran_to_end(&running.digest);
        }
        self.place_service(now, &running.service);
    }

    /// Removes a queued or running request that its caller or entry VM gave up.
    pub fn abandon(&mut self, now: Moment, request: RequestId) {
        self.remove_pending(request);
        if let Some(running) = self.running_table.remove(request) {
            self.place_service(now, &running.service);
        }
    }

    /// Adds a running request that another dispatcher placed, as reported by its entry VM.
    pub fn adopt(&mut self, request: RequestId, mut running: RunningRequest) {
        let long_tokens = self
            .manifest
            .as_ref()
            .map(|manifest| manifest.policy.long_tokens);
        running.long = long_tokens.is_some_and(|bound| running.prefill >= bound);
        self.running_table.insert(request, running);
    }

    /// Processes an announcement of a backend server and places requests on it.
    ///
    /// A new incarnation means that the old process died with every request that ran on it.
    pub fn announce(&mut self, now: Moment, announced: Announcement) -> RegistryChange {
        let key = announced.key();
        let change = self.registry.announce(now, announced);
        if change == RegistryChange::Restarted {
            let incarnation = self
                .registry
                .get(&key)
                .map(|server| server.announced.incarnation);
            self.mark_suspects(now, &key, incarnation);
        }
        if change != RegistryChange::Stale {
            self.place_service(now, &key.service);
        }
        change
    }

    /// Replaces the known prefix cache of a server by one that was read whole.
    pub fn reset_cache_view(&mut self, key: &ServerKey, incarnation: u64, view: CacheView) {
        self.registry.resync_cache(key, incarnation, view);
    }

    /// Quarantines a content that the control log names as one that kills servers.
    pub fn quarantine(&mut self, now: Moment, content: ContentDigest) {
        self.suspects.quarantine(now, content);
    }

    /// Removes all requests of a lost entry VM and cancels those that run.
    pub fn vm_lost(&mut self, now: Moment, vm: &VmId) {
        let waiting: Vec<_> = self
            .queues
            .values()
            .flat_map(|queue| queue.pending.values())
            .filter(|pending| pending.spec.entry == *vm)
            .map(|pending| pending.spec.request)
            .collect();
        for request in waiting {
            self.remove_pending(request);
        }
        for (request, running) in self.running_table.remove_by_entry(vm) {
            let servers = running.granted();
            self.outputs
                .push(DispatchOutput::Cancel { request, servers });
        }
        self.place_all(now);
    }

    /// Expires leases, suspicions and deadlines, then places what fits.
    pub fn tick(&mut self, now: Moment) {
        self.registry.expire(now);
        self.suspects.expire(now);
        self.refuse_unservable(now);
        self.place_all(now);
    }

    fn place_all(&mut self, now: Moment) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            self.place_service(now, &service);
        }
    }

    /// Answers a duplicate of a queued or running attempt; returns whether it was one.
    fn handle_duplicate(&mut self, spec: &AttemptSpec) -> bool {
        if self.is_waiting(&spec.service, spec.request, spec.attempt) {
            return true;
        }
        let Some(running) = self.running_table.get(spec.request) else {
            return false;
        };
        if running.attempt != spec.attempt {
            return false;
        }
        let servers = running.granted();
        self.outputs
            .push(DispatchOutput::Grant(Grant::new(spec, servers)));
        true
    }

    fn is_waiting(&self, service: &ServiceName, request: RequestId, attempt: AttemptId) -> bool {
        let queue = self.queues.get(service);
        let pending = queue.and_then(|queue| queue.pending.get(&request));
        pending.is_some_and(|pending| pending.spec.attempt == attempt)
    }

    fn enqueue(&mut self, now: Moment, spec: AttemptSpec, long: bool) {
        self.remove_pending(spec.request);
        let speed = self.speed(&spec.service);
        let waiting = QueuedRequest {
            request: spec.request,
            customer: spec.customer.clone(),
            weight: self.weight(&spec.customer),
            work: spec.work.engine_time(Tokens(0), speed),
            queued_at: now,
        };
        let deadline = now + spec.time_left;
        let queue = self.queues.entry(spec.service.clone()).or_default();
        if long {
            &mut queue.long_queue
        } else {
            &mut queue.short_queue
        }
        .push(waiting);
        queue.pending.insert(
            spec.request,
            Pending {
                spec,
                queued_at: now,
                deadline,
                long,
            },
        );
    }

    fn remove_pending(&mut self, request: RequestId) {
        for queue in self.queues.values_mut() {
            if queue.pending.remove(&request).is_some() {
                queue.short_queue.remove(request);
                queue.long_queue.remove(request);
            }
        }
    }

    fn refuse(&mut self, spec: &AttemptSpec, refusal: Refusal) {
        self.outputs.push(DispatchOutput::Refuse {
            entry: spec.entry.clone(),
            request: spec.request,
            attempt: spec.attempt,
            refusal,
        });
    }

    /// Refuses queued requests past their deadline or of services without servers.
    ///
    /// Refusing at once keeps callers from waiting in vain.
    fn refuse_unservable(&mut self, now: Moment) {
        let mut refusals = Vec::new();
        for (service, queue) in &self.queues {
            let no_servers = self.lacks_servers(now, service);
            for pending in queue.pending.values() {
                if pending.deadline <= now {
                    refusals.push((pending.spec.clone(), RefusalReason::DeadlinePassed));
                } else if no_servers {
                    refusals.push((pending.spec.clone(), RefusalReason::NoServer));
                }
            }
        }
        for (spec, reason) in refusals {
            self.remove_pending(spec.request);
            self.refuse(&spec, Refusal::not_run(reason, Some(MIN_RETRY_AFTER)));
        }
    }

    fn handle_server_death(&mut self, now: Moment, request: RequestId, id: &ServerId) {
        if let Some(key) = self.remove_dead_process(now, request, id) {
            let live_incarnation = self
                .registry
                .get(&key)
                .map(|server| server.announced.incarnation);
            self.mark_suspects(now, &key, live_incarnation);
        }
    }

    /// Removes a server process found dead, unless a newer one replaced it.
    fn remove_dead_process(
        &mut self,
        now: Moment,
        request: RequestId,
        id: &ServerId,
    ) -> Option<ServerKey> {
        let running = self.running_table.get(request)?;
        let key = ServerKey {
            service: running.service.clone(),
            id: id.clone(),
        };
        let dead_incarnation = running.incarnation_of(id);
        let known_incarnation = self
            .registry
            .get(&key)
            .map(|server| server.announced.incarnation);
        if known_incarnation == dead_incarnation {
            self.registry.remove(now, &key);
        }
        Some(key)
    }

    /// Makes each request on a dead process a suspect, once per death.
    fn mark_suspects(&mut self, now: Moment, key: &ServerKey, live_incarnation: Option<u64>) {
        let affected = self.running_table.record_crash(key, live_incarnation);
        if let Some(content) = self.suspects.server_died(now, &affected) {
            self.outputs.push(DispatchOutput::Quarantine(content));
            self.refuse_quarantined(content);
        }
    }

    fn refuse_quarantined(&mut self, content: ContentDigest) {
        let waiting: Vec<_> = self
            .queues
            .values()
            .flat_map(|queue| queue.pending.values())
            .filter(|pending| pending.spec.digest == content)
            .map(|pending| pending.spec.clone())
            .collect();
        for spec in waiting {
            self.remove_pending(spec.request);
            self.refuse(&spec, Refusal::not_run(RefusalReason::Quarantined, None));
        }
    }
}
