//! How the dispatcher turns waiting requests into placements.

use std::sync::Arc;
use std::time::Duration;

use super::ledger::{Apart, LoadQuestion, Running, Share};
use super::message::{Ask, DispatchOutput, Grant, GrantedServer};
use super::{Dispatcher, Pending};
use crate::manifest::Policy;
use crate::names::{ServerId, ServiceName};
use crate::outcome::{Refusal, RefusalReason};
use crate::placement::{Candidate, Isolation, PlacementQuestion, PlacementResult, place};
use crate::registry::{KnownServer, ServerKey};
use crate::suspects::Suspicion;
use crate::time::Moment;
use crate::units::{RequestId, Tokens};

/// Prompt tokens that one block of a prefix hash covers.
pub const BLOCK_TOKENS: usize = 256;

/// Time that a suspect waits for an empty server before it takes one with few others.
const SUSPECT_PATIENCE: Duration = Duration::from_millis(300);

/// Which of a service's two queues is looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Class {
    Short,
    Long,
}

impl Dispatcher {
    /// Places all that fits, shorts before longs; longs have servers of their own bound.
    pub(super) fn place_service(&mut self, now: Moment, service: &ServiceName) {
        let Some(policy) = self.manifest.as_ref().map(|manifest| manifest.policy) else {
            return;
        };
        while self.place_next(now, service, Class::Short, &policy) {}
        while self.place_next(now, service, Class::Long, &policy) {}
    }

    /// Places or refuses one request of a class; returns whether there may be more to place.
    fn place_next(
        &mut self,
        now: Moment,
        service: &ServiceName,
        class: Class,
        policy: &Policy,
    ) -> bool {
        for request in self.next_requests(now, service, class, policy.aging_time) {
            let Some(pending) = self.pending(service, request).cloned() else {
                continue;
            };
            match self.choose(now, &pending, policy) {
                PlacementResult::Full => {}
                PlacementResult::Placed(servers) => {
                    self.grant(now, &pending, &servers);
                    return true;
                }
                PlacementResult::TooLarge => {
                    self.forget_pending(request);
                    let refusal = Refusal::not_run(RefusalReason::PromptTooLong, None);
                    self.refuse(&pending.ask, refusal);
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
        class: Class,
        aging: Duration,
    ) -> Vec<RequestId> {
        let Some(queue) = self.queues.get(service) else {
            return Vec::new();
        };
        let queue = match class {
            Class::Short => &queue.shorts,
            Class::Long => &queue.longs,
        };
        queue
            .ordered(now, aging)
            .into_iter()
            .map(|waiting| waiting.request)
            .collect()
    }

    fn pending(&self, service: &ServiceName, request: RequestId) -> Option<&Pending> {
        self.queues.get(service)?.pending.get(&request)
    }

    fn choose(&self, now: Moment, pending: &Pending, policy: &Policy) -> PlacementResult {
        let ask = &pending.ask;
        let mut candidates = self.candidates(now, ask);
        if candidates.is_empty() {
            return PlacementResult::Full;
        }
        let question = PlacementQuestion {
            work: ask.work,
            long: pending.long,
            isolation: self.isolation(now, pending),
            long_servers: long_servers(candidates.len(), policy),
        };
        let all = candidates.clone();
        candidates.retain(|candidate| !ask.avoid.contains(&candidate.id));
        match place(&question, &candidates) {
            PlacementResult::Placed(servers) => PlacementResult::Placed(servers),
            // A server that failed the request once is better than none.
            PlacementResult::Full | PlacementResult::TooLarge => place(&question, &all),
        }
    }

    fn isolation(&self, now: Moment, pending: &Pending) -> Isolation {
        let patient = now.since(pending.since) < SUSPECT_PATIENCE;
        match self.suspects.suspicion(&pending.ask.digest) {
            Suspicion::Clear | Suspicion::Quarantined => Isolation::Among,
            Suspicion::Suspect | Suspicion::StrictSuspect if patient => Isolation::Alone,
            Suspicion::Suspect | Suspicion::StrictSuspect => Isolation::Apart,
        }
    }

    fn candidates(&self, now: Moment, ask: &Ask) -> Vec<Candidate> {
        let servers = self.registry.of_service(&ask.service);
        servers
            .map(|server| self.candidate(now, ask, server))
            .collect()
    }

    fn candidate(&self, now: Moment, ask: &Ask, server: &KnownServer) -> Candidate {
        let announced = &server.announced;
        let priority = ask.work.priority();
        let question = LoadQuestion {
            now,
            speed: announced.speed,
            priority,
        };
        let own = self.ledger.load_of(&announced.key(), &question);
        // Requests that wait inside the server were placed by others; they count as taken slots.
        let foreign = announced.load.waiting;
        Candidate {
            id: announced.id.clone(),
            memory: announced.memory,
            free: announced.memory.saturating_sub(own.memory),
            free_slots: announced
                .slots
                .saturating_sub(own.running)
                .saturating_sub(foreign),
            backlog: own.backlog,
            disturbed: own.disturbed,
            running: own.running,
            longs: own.longs,
            cached: cached_tokens(ask, server),
            speed: announced.speed,
            apart: own.apart,
        }
    }

    fn grant(&mut self, now: Moment, pending: &Pending, servers: &[ServerId]) {
        let ask = &pending.ask;
        let shares = self.shares(now, ask, servers);
        let running = self.running_entry(now, pending, shares);
        let granted = running.granted();
        self.ledger.insert(ask.request, running);
        self.charge(ask);
        self.outputs
            .push(DispatchOutput::Grant(Grant::new(ask, granted)));
    }

    fn running_entry(&self, now: Moment, pending: &Pending, servers: Vec<Share>) -> Running {
        let ask = &pending.ask;
        let first = servers.first().map(|share| ServerKey {
            service: ask.service.clone(),
            id: share.server.id.clone(),
        });
        let first = first.and_then(|key| self.registry.get(&key));
        let cached = first.map_or(Tokens(0), |server| cached_tokens(ask, server));
        let suspicion = self.suspects.suspicion(&ask.digest);
        Running {
            attempt: ask.attempt,
            entry: ask.entry.clone(),
            service: ask.service.clone(),
            customer: ask.customer.clone(),
            digest: ask.digest,
            servers,
            prefill: ask.work.prompt.saturating_sub(cached),
            priority: ask.work.priority(),
            long: pending.long,
            apart: match suspicion {
                Suspicion::Clear | Suspicion::Quarantined => Apart::No,
                Suspicion::Suspect => Apart::UntilFirstToken,
                Suspicion::StrictSuspect => Apart::ToTheEnd,
            },
            since: now,
            started: false,
        }
    }

    /// Splits the memory that a request needs over its servers, each giving what it has free.
    fn shares(&self, now: Moment, ask: &Ask, servers: &[ServerId]) -> Vec<Share> {
        let mut need = ask.work.memory();
        let mut shares = Vec::new();
        for id in servers {
            let key = ServerKey {
                service: ask.service.clone(),
                id: id.clone(),
            };
            let Some(server) = self.registry.get(&key) else {
                continue;
            };
            let own = self.load_of(&key, now);
            let memory = need.min(server.announced.memory.saturating_sub(own.memory));
            need = need.saturating_sub(memory);
            let server = GrantedServer {
                id: id.clone(),
                address: Arc::clone(&server.announced.address),
                incarnation: server.announced.incarnation,
                memory,
            };
            shares.push(Share {
                server,
                blamed: false,
            });
        }
        shares
    }

    fn charge(&mut self, ask: &Ask) {
        let Some(queue) = self.queues.get_mut(&ask.service) else {
            return;
        };
        let Some(pending) = queue.pending.remove(&ask.request) else {
            return;
        };
        let class = if pending.long {
            &mut queue.longs
        } else {
            &mut queue.shorts
        };
        class.take(ask.request);
    }
}

/// Returns how many servers may hold long prompts; at least one.
fn long_servers(servers: usize, policy: &Policy) -> usize {
    (servers * usize::from(policy.long_percent) / 100).max(1)
}

/// Counts the prompt's leading tokens that a server caches.
fn cached_tokens(ask: &Ask, server: &KnownServer) -> Tokens {
    let blocks = server.cache.leading(&ask.prefix);
    Tokens((blocks * BLOCK_TOKENS) as u64).min(ask.work.prompt)
}
