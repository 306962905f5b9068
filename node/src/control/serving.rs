//! The serving side of the control thread: held requests, dispatcher, announcements.

use std::sync::Arc;

use merlinrudder_core::control::Command;
use merlinrudder_core::dispatch::message::{DispatchOutput, Finish};
use merlinrudder_core::in_flight::{InFlightOutput, ToDispatcher};
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::registry::{Announcement, RegistryChange};
use merlinrudder_core::rendezvous::rank_dispatchers;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, ContentDigest, RequestId};
use merlinrudder_wire::announce::WireAnnouncement;
use merlinrudder_wire::dispatch::{FromDispatcher, WireFromDispatcher};
use merlinrudder_wire::mesh::MeshMessage;
use slog::{debug, info, warn};

use super::ControlThread;
use super::input::{DispatchDecision, Proposal, Submission};
use crate::constants::PROPOSE_TIMEOUT;
use crate::metrics;

/// VMs that keep a zone's backend servers: the dispatcher and its successor.
const KEEPERS: usize = 2;

/// What this VM's dispatcher placed at one backend server.
#[derive(Clone, Debug)]
pub struct ServerPlacements {
    /// Its service.
    pub service: ServiceName,
    /// Its name.
    pub id: ServerId,
    /// Its address.
    pub address: Arc<str>,
    /// Whether its load is known to be an engine's.
    pub is_engine: bool,
    /// Whether its cache must be read anew.
    pub out_of_sync: bool,
    /// Requests placed there, with their attempts.
    pub requests: Vec<(RequestId, AttemptId)>,
}

impl ControlThread {
    pub(super) fn submit(&mut self, submission: Submission) {
        let now = self.now();
        let Submission {
            ask,
            deadline,
            zones,
            reply,
        } = submission;
        self.callers.insert(ask.request, reply);
        self.held.submit(now, ask, deadline, zones);
    }

    pub(super) fn finish(&mut self, finish: Finish) {
        self.callers.remove(&finish.request);
        self.held.finish(finish);
    }

    pub(super) fn abandon(&mut self, request: RequestId) {
        self.callers.remove(&request);
        self.held.abandon(request);
    }

    pub(super) fn flush_held(&mut self) -> bool {
        let outputs = self.held.take_outputs();
        let busy = !outputs.is_empty();
        let now = self.now();
        for output in outputs {
            match output {
                InFlightOutput::Send(to, message) if to == self.own.vm => {
                    self.dispatch(now, message);
                }
                InFlightOutput::Send(to, message) => {
                    self.mesh
                        .send(&to, MeshMessage::ToDispatcher(message.into()));
                }
                InFlightOutput::Run(grant) => {
                    let request = grant.request;
                    self.tell_caller(request, DispatchDecision::Run(grant));
                }
                InFlightOutput::Refuse(request, refusal) => {
                    self.tell_caller(request, DispatchDecision::Refuse(refusal));
                    self.callers.remove(&request);
                }
                InFlightOutput::Retry(reason) => metrics::count_retry(reason),
            }
        }
        busy
    }

    fn tell_caller(&self, request: RequestId, event: DispatchDecision) {
        if let Some(caller) = self.callers.get(&request) {
            // A traffic thread that is gone has abandoned its request by itself.
            drop(caller.send(event));
        }
    }

    /// Takes in an entry's message, from another VM or from this one.
    pub(super) fn dispatch(&mut self, now: Moment, message: ToDispatcher) {
        match message {
            ToDispatcher::Submit(ask) => self.dispatcher.submit(now, ask),
            ToDispatcher::Adopt(request, running) => self.dispatcher.adopt(request, running),
            ToDispatcher::Started(request, attempt) => {
                self.dispatcher.record_first_token(now, request, attempt);
            }
            ToDispatcher::Finish(finish) => self.dispatcher.finish(now, &finish),
            ToDispatcher::Abandon(request) => self.dispatcher.abandon(now, request),
        }
    }

    pub(super) fn flush_dispatcher(&mut self) -> bool {
        let outputs = self.dispatcher.take_outputs();
        let busy = !outputs.is_empty();
        for output in outputs {
            match output {
                DispatchOutput::Grant(grant) => {
                    let entry = grant.entry.clone();
                    self.decide(&entry, FromDispatcher::Grant(grant));
                }
                DispatchOutput::Refuse {
                    entry,
                    request,
                    attempt,
                    refusal,
                } => {
                    self.decide(&entry, FromDispatcher::Refuse(request, attempt, refusal));
                }
                DispatchOutput::Cancel { request, servers } => {
                    self.canceller.cancel(request, servers);
                }
                DispatchOutput::Quarantine(content) => self.convict(content),
            }
        }
        busy
    }

    fn decide(&mut self, entry: &VmId, decision: FromDispatcher) {
        if *entry == self.own.vm {
            let own = entry.clone();
            self.take_own_decision(&own, decision);
        } else {
            self.mesh
                .send(entry, MeshMessage::FromDispatcher(decision.into()));
        }
    }

    pub(super) fn take_decision(&mut self, now: Moment, from: &VmId, wire: WireFromDispatcher) {
        match wire.into_core(&self.own.vm) {
            Ok(FromDispatcher::Grant(grant)) => self.held.granted(now, from, grant),
            Ok(FromDispatcher::Refuse(request, attempt, refusal)) => {
                self.held.refused(now, request, attempt, refusal);
            }
            Err(error) => warn!(self.log, "A decision cannot be read"; "error" => %error),
        }
    }

    fn take_own_decision(&mut self, own: &VmId, decision: FromDispatcher) {
        let now = self.now();
        match decision {
            FromDispatcher::Grant(grant) => self.held.granted(now, own, grant),
            FromDispatcher::Refuse(request, attempt, refusal) => {
                self.held.refused(now, request, attempt, refusal);
            }
        }
    }

    fn convict(&mut self, content: ContentDigest) {
        warn!(self.log, "A content killed backend servers"; "content" => %content);
        let deadline = self.now() + PROPOSE_TIMEOUT * 12;
        let (reply, _) = crossbeam::channel::bounded(1);
        self.propose(Proposal {
            command: Command::Quarantine(content),
            deadline,
            reply,
        });
    }

    /// Sends an announcement to the VMs that keep the zone's backend servers.
    pub(super) fn spread_announcement(&mut self, announced: &Announcement) {
        let wire = WireAnnouncement::from(announced);
        for vm in self.keepers(&announced.zone, &announced.service) {
            if vm == self.own.vm {
                let now = self.now();
                self.take_announcement(now, wire.clone());
            } else {
                self.mesh.send(&vm, MeshMessage::Announce(wire.clone()));
            }
        }
    }

    fn keepers(&self, zone: &ZoneName, service: &ServiceName) -> Vec<VmId> {
        let serving = self.membership.serving_in(zone);
        let ranked = rank_dispatchers(zone, service, serving.into_iter());
        ranked.into_iter().take(KEEPERS).cloned().collect()
    }

    pub(super) fn take_announcement(&mut self, now: Moment, wire: WireAnnouncement) {
        let announced = match Announcement::try_from(wire) {
            Ok(announced) => announced,
            Err(error) => {
                warn!(self.log, "An announcement cannot be read"; "error" => %error);
                return;
            }
        };
        let (service, id) = (announced.service.clone(), announced.id.clone());
        let change = self.dispatcher.announce(now, announced);
        metrics::count_announcement(change_name(change));
        match change {
            RegistryChange::Renewed => {}
            RegistryChange::Stale => {
                debug!(self.log, "A stale announcement"; "server" => %id);
            }
            RegistryChange::Joined | RegistryChange::Restarted | RegistryChange::Left => {
                info!(self.log, "A backend server changed"; "service" => %service,
                    "server" => %id, "change" => change_name(change));
            }
        }
    }

    pub(super) fn placed(&self) -> Vec<ServerPlacements> {
        let servers = self.dispatcher.registry().all();
        servers
            .filter(|server| self.dispatches(&server.announced.zone, &server.announced.service))
            .map(|server| ServerPlacements {
                service: server.announced.service.clone(),
                id: server.announced.id.clone(),
                address: Arc::clone(&server.announced.address),
                is_engine: server.announced.memory.0 > 0,
                out_of_sync: server.cache.is_out_of_sync(),
                requests: self.dispatcher.requests_on(&server.announced.key()),
            })
            .collect()
    }

    fn dispatches(&self, zone: &ZoneName, service: &ServiceName) -> bool {
        self.keepers(zone, service).first() == Some(&self.own.vm)
    }
}

const fn change_name(change: RegistryChange) -> &'static str {
    match change {
        RegistryChange::Joined => "joined",
        RegistryChange::Renewed => "renewed",
        RegistryChange::Restarted => "restarted",
        RegistryChange::Left => "left",
        RegistryChange::Stale => "stale",
    }
}
