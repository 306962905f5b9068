//! Requests in flight at an entry VM, from admission to the final outcome.
//!
//! Each request waits for the grant of a dispatcher, first of the one in this VM's zone and then of
//! those in further zones. It then runs on the granted servers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatch::message::{AttemptEnd, AttemptSpec, Finish, Grant, GrantedServer};
use crate::dispatch::running_requests::{Exclusivity, RunningRequest, ServerReservation};
use crate::names::{ServiceName, VmId, ZoneName};
use crate::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use crate::rendezvous::rank_dispatchers;
use crate::time::Moment;
use crate::units::{AttemptId, RequestId};

/// Time without an answer after which the dispatcher is asked again.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Retry hint for callers that are refused for a passed deadline or a missing dispatcher.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serving VMs by availability zone, from which dispatchers are chosen.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Topology {
    /// VMs that take work in each zone.
    pub zones: BTreeMap<ZoneName, Vec<VmId>>,
}

impl Topology {
    /// Returns the dispatcher of a service in a zone; `None` if the zone has no serving VM.
    #[must_use]
    pub fn dispatcher(&self, zone: &ZoneName, service: &ServiceName) -> Option<&VmId> {
        let vms = self.zones.get(zone)?;
        rank_dispatchers(zone, service, vms.iter()).first().copied()
    }
}

/// A message from an entry VM to a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum ToDispatcher {
    /// Asks for a request to be placed.
    Submit(AttemptSpec),
    /// Hands a running request over to a new dispatcher.
    Adopt(RequestId, RunningRequest),
    /// Reports the first token of an attempt.
    FirstToken(RequestId, AttemptId),
    /// Reports the end of an attempt.
    Finish(Finish),
    /// Withdraws a request.
    Abandon(RequestId),
}

/// An action for the owner of the table to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum InFlightOutput {
    /// Send a message to the dispatcher on the given VM.
    Send(VmId, ToDispatcher),
    /// Run an attempt on the granted servers.
    Run(Grant),
    /// Refuse the request to its caller.
    Refuse(RequestId, Refusal),
    /// Count a retry for the metrics.
    Retry(RetryReason),
}

/// Progress of the current attempt.
#[derive(Clone, Debug)]
enum Stage {
    /// The dispatcher was asked for a grant.
    Waiting { asked_at: Moment },
    /// The attempt runs on the granted servers.
    Running {
        servers: Vec<GrantedServer>,
        granted_at: Moment,
        /// Whether the first token has arrived, so that prefill is over.
        prefill_done: bool,
    },
}

/// A request with the dispatcher that is responsible for it.
#[derive(Debug)]
struct InFlightRequest {
    spec: AttemptSpec,
    deadline: Moment,
    /// Zones that may run the request, the zone of this VM first.
    zones: Vec<ZoneName>,
    /// Index in `zones` of the zone that is asked.
    zone_index: usize,
    dispatcher: VmId,
    stage: Stage,
    /// Refusal by the first zone, which the caller gets if no zone takes the request.
    refusal: Option<Refusal>,
}

/// All requests in flight at one entry VM, as a state machine without I/O.
#[derive(Debug, Default)]
pub struct InFlightTable {
    requests: BTreeMap<RequestId, InFlightRequest>,
    topology: Topology,
    outputs: Vec<InFlightOutput>,
}

impl InFlightTable {
    /// Takes the actions that are due since the last call.
    pub fn take_outputs(&mut self) -> Vec<InFlightOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Submits a request or its next attempt to the first zone that has a dispatcher.
    ///
    /// `zones` lists the zones that may run the request, in order of preference.
    pub fn submit(
        &mut self,
        now: Moment,
        mut spec: AttemptSpec,
        deadline: Moment,
        zones: Vec<ZoneName>,
    ) {
        let request = spec.request;
        spec.time_left = deadline.since(now);
        let found = self.first_dispatcher(&zones, 0, &spec.service);
        let Some((zone_index, dispatcher)) = found else {
            let refusal = Refusal::not_run(RefusalReason::NoServer, Some(RETRY_AFTER));
            self.outputs.push(InFlightOutput::Refuse(request, refusal));
            return;
        };
        self.send(&dispatcher, ToDispatcher::Submit(spec.clone()));
        let stage = Stage::Waiting { asked_at: now };
        let in_flight = InFlightRequest {
            spec,
            deadline,
            zones,
            zone_index,
            dispatcher,
            stage,
            refusal: None,
        };
        self.requests.insert(request, in_flight);
    }

    /// Handles a grant; one that no request waits for is returned to the dispatcher.
    pub fn granted(&mut self, now: Moment, from: &VmId, grant: Grant) {
        let matching = self.requests.get_mut(&grant.request).filter(|in_flight| {
            in_flight.spec.attempt == grant.attempt
                && matches!(in_flight.stage, Stage::Waiting { .. })
        });
        let Some(in_flight) = matching else {
            self.return_grant(from, &grant);
            return;
        };
        let servers = grant.servers.clone();
        in_flight.dispatcher = from.clone();
        in_flight.stage = Stage::Running {
            servers,
            granted_at: now,
            prefill_done: false,
        };
        self.outputs.push(InFlightOutput::Run(grant));
    }

    /// Handles a refusal: asks the next zone, or refuses the request to its caller.
    ///
    /// The next zone is asked only if the refusal may not apply there.
    pub fn refused(
        &mut self,
        now: Moment,
        request: RequestId,
        attempt: AttemptId,
        refusal: Refusal,
    ) {
        let waiting = self.requests.get(&request).is_some_and(|in_flight| {
            in_flight.spec.attempt == attempt && matches!(in_flight.stage, Stage::Waiting { .. })
        });
        if !waiting {
            return;
        }
        if !(may_spill_over(refusal.reason) && self.ask_next_zone(now, request, refusal)) {
            let first = self
                .requests
                .remove(&request)
                .and_then(|in_flight| in_flight.refusal);
            self.outputs
                .push(InFlightOutput::Refuse(request, first.unwrap_or(refusal)));
        }
    }

    /// Handles the first token of an attempt and reports it to the dispatcher.
    pub fn record_first_token(&mut self, request: RequestId, attempt: AttemptId) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        if let Stage::Running { prefill_done, .. } = &mut in_flight.stage {
            *prefill_done = true;
            let dispatcher = in_flight.dispatcher.clone();
            self.send(&dispatcher, ToDispatcher::FirstToken(request, attempt));
        }
    }

    /// Handles the end of an attempt and reports it to the dispatcher.
    ///
    /// The request is removed; a further attempt has to be submitted again.
    pub fn finish(&mut self, finish: Finish) {
        if let Some(in_flight) = self.requests.remove(&finish.request) {
            self.send(&in_flight.dispatcher, ToDispatcher::Finish(finish));
        }
    }

    /// Removes a request whose caller left, and withdraws it from the dispatcher.
    pub fn abandon(&mut self, request: RequestId) {
        if let Some(in_flight) = self.requests.remove(&request) {
            self.send(&in_flight.dispatcher, ToDispatcher::Abandon(request));
        }
    }

    /// Replaces the topology and moves requests whose dispatcher changed.
    pub fn set_topology(&mut self, now: Moment, topology: Topology) {
        if self.topology == topology {
            return;
        }
        self.topology = topology;
        let request_ids: Vec<_> = self.requests.keys().copied().collect();
        for request in request_ids {
            self.move_to_current_dispatcher(now, request);
        }
    }

    /// Refuses waiting requests past their deadline, and asks silent dispatchers again.
    pub fn tick(&mut self, now: Moment) {
        let expired: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, in_flight)| matches!(in_flight.stage, Stage::Waiting { .. }))
            .filter(|(_, in_flight)| in_flight.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            self.abandon(request);
            let refusal = Refusal::not_run(RefusalReason::DeadlinePassed, Some(RETRY_AFTER));
            self.outputs.push(InFlightOutput::Refuse(request, refusal));
        }
        self.ask_again(now);
    }

    fn ask_again(&mut self, now: Moment) {
        let mut messages = Vec::new();
        for in_flight in self.requests.values_mut() {
            if let Stage::Waiting { asked_at } = &mut in_flight.stage
                && now.since(*asked_at) >= ASK_TIMEOUT
            {
                *asked_at = now;
                in_flight.spec.time_left = in_flight.deadline.since(now);
                messages.push((
                    in_flight.dispatcher.clone(),
                    ToDispatcher::Submit(in_flight.spec.clone()),
                ));
            }
        }
        for (to, message) in messages {
            self.send(&to, message);
        }
    }

    fn send(&mut self, to: &VmId, message: ToDispatcher) {
        self.outputs.push(InFlightOutput::Send(to.clone(), message));
    }

    fn return_grant(&mut self, from: &VmId, grant: &Grant) {
        let running = self.requests.get(&grant.request);
        if running.is_some_and(|in_flight| {
            in_flight.spec.attempt == grant.attempt && in_flight.dispatcher == *from
        }) {
            // Duplicate grant: the attempt already runs.
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
        let Some(in_flight) = self.requests.get(&request) else {
            return false;
        };
        let next = self.first_dispatcher(
            &in_flight.zones,
            in_flight.zone_index + 1,
            &in_flight.spec.service,
        );
        let (Some((zone_index, dispatcher)), Some(in_flight)) =
            (next, self.requests.get_mut(&request))
        else {
            return false;
        };
        in_flight.refusal.get_or_insert(refusal);
        in_flight.zone_index = zone_index;
        in_flight.dispatcher = dispatcher.clone();
        in_flight.stage = Stage::Waiting { asked_at: now };
        in_flight.spec.time_left = in_flight.deadline.since(now);
        let spec = in_flight.spec.clone();
        self.send(&dispatcher, ToDispatcher::Submit(spec));
        true
    }

    fn move_to_current_dispatcher(&mut self, now: Moment, request: RequestId) {
        let Some(in_flight) = self.requests.get(&request) else {
            return;
        };
        let zone = in_flight.zones.get(in_flight.zone_index);
        let current = zone.and_then(|zone| self.topology.dispatcher(zone, &in_flight.spec.service));
        let Some(dispatcher) = current.filter(|vm| **vm != in_flight.dispatcher).cloned() else {
            return;
        };
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let old = std::mem::replace(&mut in_flight.dispatcher, dispatcher.clone());
        let message = match &mut in_flight.stage {
            Stage::Waiting { asked_at } => {
                *asked_at = now;
                in_flight.spec.time_left = in_flight.deadline.since(now);
                self.outputs
                    .push(InFlightOutput::Retry(RetryReason::DispatcherChanged));
                ToDispatcher::Submit(in_flight.spec.clone())
            }
            Stage::Running { .. } => ToDispatcher::Adopt(request, in_flight.to_running()),
        };
        // The old dispatcher, if it is still alive, must release the capacity of the request.
        self.send(&old, ToDispatcher::Abandon(request));
        self.send(&dispatcher, message);
    }

    /// Returns whether a request's current attempt may have run, for the answer to its caller.
    #[must_use]
    pub fn run_state(&self, request: RequestId) -> RunState {
        match self
            .requests
            .get(&request)
            .map(|in_flight| &in_flight.stage)
        {
            Some(Stage::Running { .. }) => RunState::MayHaveRun,
            Some(Stage::Waiting { .. }) | None => RunState::NotRun,
        }
    }
}

impl InFlightRequest {
    fn to_running(&self) -> RunningRequest {
        let (servers, stage_start, prefill_done) = match &self.stage {
            Stage::Running {
                servers,
                granted_at,
                prefill_done,
            } => (servers.as_slice(), *granted_at, *prefill_done),
            Stage::Waiting { asked_at } => (&[][..], *asked_at, false),
        };
        let reservation = |server: &GrantedServer| ServerReservation {
            server: server.clone(),
            crash_counted: false,
        };
        RunningRequest {
            attempt: self.spec.attempt,
            entry: self.spec.entry.clone(),
            service: self.spec.service.clone(),
            customer: self.spec.customer.clone(),
            digest: self.spec.digest,
            servers: servers.iter().map(reservation).collect(),
            prefill: self.spec.work.prompt,
            priority: self.spec.work.priority(),
            // The dispatcher that adopts the request sets it.
            long: false,
            exclusivity: Exclusivity::None,
            placed_at: stage_start,
            prefill_done,
        }
    }
}

/// Returns whether another zone may accept a request that was refused for `reason`.
const fn may_spill_over(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NoServer
            | RefusalReason::QueueFull
            | RefusalReason::DeadlineUnmeetable
            | RefusalReason::PromptTooLong
    )
}
