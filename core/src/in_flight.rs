//! The requests that an entry VM holds for its callers, from admission to their one outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatch::ledger::{Apart, Running, Share};
use crate::dispatch::message::{Ask, AttemptEnd, Finish, Grant, GrantedServer};
use crate::names::{ServiceName, VmId, ZoneName};
use crate::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use crate::rendezvous::rank_dispatchers;
use crate::time::Moment;
use crate::units::{AttemptId, RequestId};

/// Time without an answer after which a dispatcher is asked again.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// When a caller whose deadline passed may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// VMs that take work, by zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Topology {
    /// Serving VMs of each zone.
    pub zones: BTreeMap<ZoneName, Vec<VmId>>,
}

impl Topology {
    /// Returns the dispatcher of a service in a zone.
    #[must_use]
    pub fn dispatcher(&self, zone: &ZoneName, service: &ServiceName) -> Option<&VmId> {
        let vms = self.zones.get(zone)?;
        rank_dispatchers(zone, service, vms.iter()).first().copied()
    }
}

/// A message of an entry VM to a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum ToDispatcher {
    /// Place a request.
    Ask(Ask),
    /// Count a request that runs already.
    Adopt(RequestId, Running),
    /// The first token of an attempt came.
    Started(RequestId, AttemptId),
    /// An attempt ended.
    Finish(Finish),
    /// A request is given up.
    Abandon(RequestId),
}

/// What the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum InFlightOutput {
    /// Send to a dispatcher.
    Send(VmId, ToDispatcher),
    /// Run an attempt on the granted servers.
    Run(Grant),
    /// Tell the caller that the request is refused.
    Refuse(RequestId, Refusal),
    /// Count a retry.
    Retry(RetryReason),
}

#[derive(Clone, Debug)]
enum Stage {
    Waiting {
        asked: Moment,
    },
    Running {
        servers: Vec<GrantedServer>,
        since: Moment,
        started: bool,
    },
}

#[derive(Debug)]
struct Held {
    ask: Ask,
    deadline: Moment,
    /// Zones that may run it, the own one first.
    zones: Vec<ZoneName>,
    /// Place in `zones` of the zone that is asked.
    zone: usize,
    dispatcher: VmId,
    stage: Stage,
    /// Refusal of the first zone, told when no zone takes the request.
    refusal: Option<Refusal>,
}

/// The requests of one entry VM.
#[derive(Debug, Default)]
pub struct InFlightTable {
    held: BTreeMap<RequestId, Held>,
    topology: Topology,
    outputs: Vec<InFlightOutput>,
}

impl InFlightTable {
    /// Returns what has to be carried out since the last call.
    pub fn take_outputs(&mut self) -> Vec<InFlightOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns how many requests are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no request is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes in a request or its next attempt; `zones` are those that may run it, in order.
    pub fn submit(&mut self, now: Moment, mut ask: Ask, deadline: Moment, zones: Vec<ZoneName>) {
        let request = ask.request;
        ask.time_left = deadline.since(now);
        let found = self.first_dispatcher(&zones, 0, &ask.service);
        let Some((zone, dispatcher)) = found else {
            let refusal = Refusal::not_run(RefusalReason::NoServer, Some(RETRY_AFTER));
            self.outputs.push(InFlightOutput::Refuse(request, refusal));
            return;
        };
        self.send(&dispatcher, ToDispatcher::Ask(ask.clone()));
        let stage = Stage::Waiting { asked: now };
        let held = Held {
            ask,
            deadline,
            zones,
            zone,
            dispatcher,
            stage,
            refusal: None,
        };
        self.held.insert(request, held);
    }

    /// Takes in a placement; one that nobody waits for is given back.
    pub fn granted(&mut self, now: Moment, from: &VmId, grant: Grant) {
        let wanted = self.held.get_mut(&grant.request).filter(|held| {
            held.ask.attempt == grant.attempt && matches!(held.stage, Stage::Waiting { .. })
        });
        let Some(held) = wanted else {
            self.give_back(from, &grant);
            return;
        };
        let servers = grant.servers.clone();
        held.dispatcher = from.clone();
        held.stage = Stage::Running {
            servers,
            since: now,
            started: false,
        };
        self.outputs.push(InFlightOutput::Run(grant));
    }

    /// Takes in a refusal; the next zone is asked before the caller is told.
    pub fn refused(
        &mut self,
        now: Moment,
        request: RequestId,
        attempt: AttemptId,
        refusal: Refusal,
    ) {
        let waiting = self.held.get(&request).is_some_and(|held| {
            held.ask.attempt == attempt && matches!(held.stage, Stage::Waiting { .. })
        });
        if !waiting {
            return;
        }
        if !(spills(refusal.reason) && self.ask_next_zone(now, request, refusal)) {
            let first = self.held.remove(&request).and_then(|held| held.refusal);
            self.outputs
                .push(InFlightOutput::Refuse(request, first.unwrap_or(refusal)));
        }
    }

    /// Takes in that the first token of an attempt came.
    pub fn started(&mut self, request: RequestId, attempt: AttemptId) {
        let Some(held) = self.held.get_mut(&request) else {
            return;
        };
        if let Stage::Running { started, .. } = &mut held.stage {
            *started = true;
            let dispatcher = held.dispatcher.clone();
            self.send(&dispatcher, ToDispatcher::Started(request, attempt));
        }
    }

    /// Takes in the end of an attempt; the request is held on only through a further `submit`.
    pub fn finish(&mut self, finish: Finish) {
        if let Some(held) = self.held.remove(&finish.request) {
            self.send(&held.dispatcher, ToDispatcher::Finish(finish));
        }
    }

    /// Gives up a request whose caller left while it waited.
    pub fn abandon(&mut self, request: RequestId) {
        if let Some(held) = self.held.remove(&request) {
            self.send(&held.dispatcher, ToDispatcher::Abandon(request));
        }
    }

    /// Takes in which VMs serve now, and tells new dispatchers what is held.
    pub fn set_topology(&mut self, now: Moment, topology: Topology) {
        if self.topology == topology {
            return;
        }
        self.topology = topology;
        let moved: Vec<_> = self.held.keys().copied().collect();
        for request in moved {
            self.follow_dispatcher(now, request);
        }
    }

    /// Refuses at once what is past its deadline, and asks again where no answer came.
    pub fn tick(&mut self, now: Moment) {
        let late: Vec<_> = self
            .held
            .iter()
            .filter(|(_, held)| matches!(held.stage, Stage::Waiting { .. }))
            .filter(|(_, held)| held.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in late {
            self.abandon(request);
            let refusal = Refusal::not_run(RefusalReason::DeadlinePassed, Some(RETRY_AFTER));
            self.outputs.push(InFlightOutput::Refuse(request, refusal));
        }
        self.ask_again(now);
    }

    fn ask_again(&mut self, now: Moment) {
        let mut sends = Vec::new();
        for held in self.held.values_mut() {
            if let Stage::Waiting { asked } = &mut held.stage
                && now.since(*asked) >= ASK_AGAIN
            {
                *asked = now;
                held.ask.time_left = held.deadline.since(now);
                sends.push((held.dispatcher.clone(), ToDispatcher::Ask(held.ask.clone())));
            }
        }
        for (to, message) in sends {
            self.send(&to, message);
        }
    }

    fn send(&mut self, to: &VmId, message: ToDispatcher) {
        self.outputs.push(InFlightOutput::Send(to.clone(), message));
    }

    fn give_back(&mut self, from: &VmId, grant: &Grant) {
        let running = self.held.get(&grant.request);
        if running.is_some_and(|held| held.ask.attempt == grant.attempt && held.dispatcher == *from)
        {
            // The grant was repeated; the attempt runs already.
            return;
        }
        let end = AttemptEnd::Cancelled;
        let finish = Finish {
            request: grant.request,
            attempt: grant.attempt,
            end,
        };
        self.send(from, ToDispatcher::Finish(finish));
    }

    fn first_dispatcher(
        &self,
        zones: &[ZoneName],
        skip: usize,
        service: &ServiceName,
    ) -> Option<(usize, VmId)> {
        let candidates = zones.iter().enumerate().skip(skip);
        let mut found = candidates.filter_map(|(index, zone)| {
            Some((index, self.topology.dispatcher(zone, service)?.clone()))
        });
        found.next()
    }

    fn ask_next_zone(&mut self, now: Moment, request: RequestId, refusal: Refusal) -> bool {
        let Some(held) = self.held.get(&request) else {
            return false;
        };
        let next = self.first_dispatcher(&held.zones, held.zone + 1, &held.ask.service);
        let (Some((zone, dispatcher)), Some(held)) = (next, self.held.get_mut(&request)) else {
            return false;
        };
        held.refusal.get_or_insert(refusal);
        held.zone = zone;
        held.dispatcher = dispatcher.clone();
        held.stage = Stage::Waiting { asked: now };
        held.ask.time_left = held.deadline.since(now);
        let ask = held.ask.clone();
        self.send(&dispatcher, ToDispatcher::Ask(ask));
        true
    }

    fn follow_dispatcher(&mut self, now: Moment, request: RequestId) {
        let Some(held) = self.held.get(&request) else {
            return;
        };
        let zone = held.zones.get(held.zone);
        let current = zone.and_then(|zone| self.topology.dispatcher(zone, &held.ask.service));
        let Some(dispatcher) = current.filter(|vm| **vm != held.dispatcher).cloned() else {
            return;
        };
        let Some(held) = self.held.get_mut(&request) else {
            return;
        };
        let old = std::mem::replace(&mut held.dispatcher, dispatcher.clone());
        let message = match &mut held.stage {
            Stage::Waiting { asked } => {
                *asked = now;
                held.ask.time_left = held.deadline.since(now);
                self.outputs
                    .push(InFlightOutput::Retry(RetryReason::DispatcherChanged));
                ToDispatcher::Ask(held.ask.clone())
            }
            Stage::Running { .. } => ToDispatcher::Adopt(request, held.running()),
        };
        // An old dispatcher that still lives must not keep the request's room.
        self.send(&old, ToDispatcher::Abandon(request));
        self.send(&dispatcher, message);
    }

    /// Returns how far the attempt of a request came, for a last answer to its caller.
    #[must_use]
    pub fn run_state(&self, request: RequestId) -> RunState {
        match self.held.get(&request).map(|held| &held.stage) {
            Some(Stage::Running { .. }) => RunState::MayHaveRun,
            Some(Stage::Waiting { .. }) | None => RunState::NotRun,
        }
    }
}

impl Held {
    fn running(&self) -> Running {
        let (servers, since, started) = match &self.stage {
            Stage::Running {
                servers,
                since,
                started,
            } => (servers.as_slice(), *since, *started),
            Stage::Waiting { asked } => (&[][..], *asked, false),
        };
        let share = |server: &GrantedServer| Share {
            server: server.clone(),
            blamed: false,
        };
        Running {
            attempt: self.ask.attempt,
            entry: self.ask.entry.clone(),
            service: self.ask.service.clone(),
            customer: self.ask.customer.clone(),
            digest: self.ask.digest,
            servers: servers.iter().map(share).collect(),
            prefill: self.ask.work.prompt,
            priority: self.ask.work.priority(),
            long: false,
            apart: Apart::No,
            since,
            started,
        }
    }
}

/// Whether another zone may take what this one refused.
const fn spills(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NoServer
            | RefusalReason::QueueFull
            | RefusalReason::DeadlineUnmeetable
            | RefusalReason::PromptTooLong
    )
}
