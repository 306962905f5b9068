//! Takes requests from the queues and grants them backend servers.

use std::sync::Arc;
use std::time::Duration;

use super::message::{AttemptSpec, DispatchOutput, Grant, GrantedServer};
use super::running_requests::{Exclusivity, LoadQuery, RunningRequest, ServerReservation};
use super::{Dispatcher, Pending};
use crate::manifest::Policy;
use crate::names::{ServerId, ServiceName};
use crate::outcome::{Refusal, RefusalReason};
use crate::placement::{Candidate, Isolation, PlacementQuery, PlacementResult, place};
use crate::registry::{KnownServer, ServerKey};
use crate::suspects::Suspicion;
use crate::time::Moment;
use crate::units::{RequestId, Tokens};

/// Prompt tokens covered by one block of a prefix hash.
pub const BLOCK_TOKENS: usize = 256;

/// Time that a crash suspect waits for an idle server before it shares one.
const IDLE_SERVER_WAIT: Duration = Duration::from_millis(300);

/// Selects one of the two queues of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PromptClass {
    Short,
    Long,
}

impl Dispatcher {
    /// Places every queued request of a service that fits, short prompts first.
    ///
    /// Long prompts have their own limit, on the number of servers that may hold them.
    pub(super) fn place_service(&mut self, now: Moment, service: &ServiceName) {
        let Some(policy) = self.manifest.as_ref().map(|manifest| manifest.policy) else {
            return;
        };
        while self.place_next(now, service, PromptClass::Short, &policy) {}
        while self.place_next(now, service, PromptClass::Long, &policy) {}
    }

    /// Places or refuses one request of a class; returns whether to call it again.
    fn place_next(
        &mut self,
        now: Moment,
        service: &ServiceName,
        class: PromptClass,
        policy: &Policy,
    ) -> bool {
        for request in self.next_requests(now, service, class, policy.aging_time) {
            let Some(pending) = self.pending(service, request).cloned() else {
                continue;
            };
            match self.choose_servers(now, &pending, policy) {
                PlacementResult::Full => {}
                PlacementResult::Placed(servers) => {
                    self.grant(now, &pending, &servers);
                    return true;
                }
                PlacementResult::TooLarge => {
                    self.remove_pending(request);
                    let refusal = Refusal::not_run(RefusalReason::PromptTooLong, None);
                    self.refuse(&pending.spec, refusal);
                    return true;
                }
            }
        }
        false
    }

    fn next_requests(
        &self,
        now: Moment,
        service: &ServiceName,
        class: PromptClass,
        aging_time: Duration,
    ) -> Vec<RequestId> {
        let Some(queue) = self.queues.get(service) else {
            return Vec::new();
        };
        let queue = match class {
            PromptClass::Short => &queue.short_queue,
            PromptClass::Long => &queue.long_queue,
        };
        queue
            .next_by_customer(now, aging_time)
            .into_iter()
            .map(|waiting| waiting.request)
            .collect()
    }

    fn pending(&self, service: &ServiceName, request: RequestId) -> Option<&Pending> {
        self.queues.get(service)?.pending.get(&request)
    }

    fn choose_servers(&self, now: Moment, pending: &Pending, policy: &Policy) -> PlacementResult {
        let spec = &pending.spec;
        let mut candidates = self.candidates(now, spec);
        if candidates.is_empty() {
            return PlacementResult::Full;
        }
        let query = PlacementQuery {
            work: spec.work,
            long: pending.long,
            isolation: self.isolation(now, pending),
            long_servers: long_servers(candidates.len(), policy),
        };
        let all = candidates.clone();
        candidates.retain(|candidate| !spec.avoid.contains(&candidate.id));
        match place(&query, &candidates) {
            PlacementResult::Placed(servers) => PlacementResult::Placed(servers),
            // A server on which an earlier attempt failed is better than none.
            PlacementResult::Full | PlacementResult::TooLarge => place(&query, &all),
        }
    }

    fn isolation(&self, now: Moment, pending: &Pending) -> Isolation {
        let wait_for_idle = now.since(pending.queued_at) < IDLE_SERVER_WAIT;
        match self.suspects.suspicion(&pending.spec.digest) {
            Suspicion::Clear | Suspicion::Quarantined => Isolation::None,
            Suspicion::Suspect | Suspicion::StrictSuspect if wait_for_idle => {
                Isolation::RequireIdle
            }
            Suspicion::Suspect | Suspicion::StrictSuspect => Isolation::PreferIdle,
        }
    }

    fn candidates(&self, now: Moment, spec: &AttemptSpec) -> Vec<Candidate> {
        let servers = self.registry.of_service(&spec.service);
        servers
            .map(|server| self.candidate(now, spec, server))
            .collect()
    }

    fn candidate(&self, now: Moment, spec: &AttemptSpec, server: &KnownServer) -> Candidate {
        let announced = &server.announced;
        let priority = spec.work.priority();
        let query = LoadQuery {
            now,
            speed: announced.speed,
            priority,
        };
        let placed = self.running_table.load_of(&announced.key(), &query);
        // Requests queued inside the server were placed by others; they count as taken slots.
        let queued_inside = announced.load.waiting;
        Candidate {
            id: announced.id.clone(),
            memory: announced.memory,
            free_memory: announced.memory.saturating_sub(placed.memory),
            free_slots: announced
                .slots
                .saturating_sub(placed.running)
                .saturating_sub(queued_inside),
            backlog: placed.backlog,
            heavy_prefill: placed.heavy_prefill,
            running: placed.running,
            long_prefills: placed.long_prefills,
            cached: cached_tokens(spec, server),
            speed: announced.speed,
            exclusive: placed.exclusive,
        }
    }

    fn grant(&mut self, now: Moment, pending: &Pending, servers: &[ServerId]) {
        let spec = &pending.spec;
        let reservations = self.reservations(now, spec, servers);
        let running = self.running_request(now, pending, reservations);
        let granted = running.granted();
        self.running_table.insert(spec.request, running);
        self.dequeue_granted(spec);
        self.outputs
            .push(DispatchOutput::Grant(Grant::new(spec, granted)));
    }

    fn running_request(
        &self,
        now: Moment,
        pending: &Pending,
        servers: Vec<ServerReservation>,
    ) -> RunningRequest {
        let spec = &pending.spec;
        let first = servers.first().map(|reservation| ServerKey {
            service: spec.service.clone(),
            id: reservation.server.id.clone(),
        });
        let first = first.and_then(|key| self.registry.get(&key));
        let cached = first.map_or(Tokens(0), |server| cached_tokens(spec, server));
        let suspicion = self.suspects.suspicion(&spec.digest);
        RunningRequest {
            attempt: spec.attempt,
            entry: spec.entry.clone(),
            service: spec.service.clone(),
            customer: spec.customer.clone(),
            digest: spec.digest,
            servers,
            prefill: spec.work.prompt.saturating_sub(cached),
            priority: spec.work.priority(),
            long: pending.long,
            exclusivity: match suspicion {
                Suspicion::Clear | Suspicion::Quarantined => Exclusivity::None,
                Suspicion::Suspect => Exclusivity::UntilFirstToken,
                Suspicion::StrictSuspect => Exclusivity::UntilFinished,
            },
            placed_at: now,
            prefill_done: false,
        }
    }

    /// Splits a request's memory over its servers, filling each in turn.
    fn reservations(
        &self,
        now: Moment,
        spec: &AttemptSpec,
        servers: &[ServerId],
    ) -> Vec<ServerReservation> {
        let mut missing_memory = spec.work.memory();
        let mut reservations = Vec::new();
        for id in servers {
            let key = ServerKey {
                service: spec.service.clone(),
                id: id.clone(),
            };
            let Some(server) = self.registry.get(&key) else {
                continue;
            };
            let placed = self.load_of(&key, now);
            let memory = missing_memory.min(server.announced.memory.saturating_sub(placed.memory));
            missing_memory = missing_memory.saturating_sub(memory);
            let server = GrantedServer {
                id: id.clone(),
                address: Arc::clone(&server.announced.address),
                incarnation: server.announced.incarnation,
                memory,
            };
            reservations.push(ServerReservation {
                server,
                crash_counted: false,
            });
        }
        reservations
    }

    fn dequeue_granted(&mut self, spec: &AttemptSpec) {
        let Some(queue) = self.queues.get_mut(&spec.service) else {
            return;
        };
        let Some(pending) = queue.pending.remove(&spec.request) else {
            return;
        };
        let queue_of_class = if pending.long {
            &mut queue.long_queue
        } else {
            &mut queue.short_queue
        };
        queue_of_class.dequeue(spec.request);
    }
}

/// Returns the number of servers that may hold long prompts; at least one.
fn long_servers(servers: usize, policy: &Policy) -> usize {
    (servers * usize::from(policy.long_percent) / 100).max(1)
}

/// Returns how many leading tokens of the prompt are in a server's prefix cache.
fn cached_tokens(spec: &AttemptSpec, server: &KnownServer) -> Tokens {
    let blocks = server.cache.cached_prefix_len(&spec.prefix);
    Tokens((blocks * BLOCK_TOKENS) as u64).min(spec.work.prompt)
}
