//! Requests in the control thread: in-flight table, dispatcher and server announcements.

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

/// Number of VMs that register the backend servers of a service in a zone.
///
/// They are the dispatcher and the VM that succeeds it if it fails.
const REGISTRY_VMS: usize = 2;

/// Requests that this VM's dispatcher placed at one backend server.
#[derive(Clone, Debug)]
pub struct ServerPlacements {
    /// Service that the server offers.
    pub service: ServiceName,
    /// Name of the server within its service.
    pub id: ServerId,
    /// Host and port at which the server accepts HTTP.
    pub address: Arc<str>,
    /// Whether the server announced engine memory; plain HTTP servers announce none.
    pub is_engine: bool,
    /// Whether cache events were lost, so that the prefix cache must be read again.
    pub out_of_sync: bool,
    /// Requests placed at the server, with their attempts.
    pub requests: Vec<(RequestId, AttemptId)>,
}

impl ControlThread {
    pub(super) fn submit(&mut self, submission: Submission) {
        let now = self.now();
        let Submission {
            spec,
            deadline,
            zones,
            reply,
        } = submission;
        self.reply_senders.insert(spec.request, reply);
        self.in_flight.submit(now, spec, deadline, zones);
    }

    pub(super) fn finish(&mut self, finish: Finish) {
        self.reply_senders.remove(&finish.request);
        self.in_flight.finish(finish);
    }

    pub(super) fn abandon(&mut self, request: RequestId) {
        self.reply_senders.remove(&request);
        self.in_flight.abandon(request);
    }

    /// Carries out the outputs of the in-flight table; returns whether there were any.
    pub(super) fn flush_in_flight(&mut self) -> bool {
        let outputs = self.in_flight.take_outputs();
        let progressed = !outputs.is_empty();
        let now = self.now();
        for output in outputs {
            match output {
                InFlightOutput::Send(to, message) if to == self.local.vm => {
                    self.handle_dispatcher_message(now, message);
                }
                InFlightOutput::Send(to, message) => {
                    self.mesh
                        .send(&to, MeshMessage::ToDispatcher(message.into()));
                }
                InFlightOutput::Run(grant) => {
                    let request = grant.request;
                    self.reply_to_thread(request, DispatchDecision::Run(grant));
                }
                InFlightOutput::Refuse(request, refusal) => {
                    self.reply_to_thread(request, DispatchDecision::Refuse(refusal));
                    self.reply_senders.remove(&request);
                }
                InFlightOutput::Retry(reason) => metrics::count_retry(reason),
            }
        }
        progressed
    }

    /// Sends a decision to the request thread that waits for it.
    fn reply_to_thread(&self, request: RequestId, decision: DispatchDecision) {
        if let Some(sender) = self.reply_senders.get(&request) {
            // A request thread that no longer receives has abandoned its request itself.
            drop(sender.send(decision));
        }
    }

    /// Handles a message to this VM's dispatcher, from another VM or from this one.
    pub(super) fn handle_dispatcher_message(&mut self, now: Moment, message: ToDispatcher) {
        match message {
            ToDispatcher::Submit(spec) => self.dispatcher.submit(now, spec),
            ToDispatcher::Adopt(request, running) => self.dispatcher.adopt(request, running),
            ToDispatcher::FirstToken(request, attempt) => {
                self.dispatcher.record_first_token(now, request, attempt);
            }
            ToDispatcher::Finish(finish) => self.dispatcher.finish(now, &finish),
            ToDispatcher::Abandon(request) => self.dispatcher.abandon(now, request),
        }
    }

    /// Carries out the outputs of the dispatcher; returns whether there were any.
    pub(super) fn flush_dispatcher(&mut self) -> bool {
        let outputs = self.dispatcher.take_outputs();
        let progressed = !outputs.is_empty();
        for output in outputs {
            match output {
                DispatchOutput::Grant(grant) => {
                    let entry = grant.entry.clone();
                    self.send_decision(&entry, FromDispatcher::Grant(grant));
                }
                DispatchOutput::Refuse {
                    entry,
                    request,
                    attempt,
                    refusal,
                } => {
                    self.send_decision(&entry, FromDispatcher::Refuse(request, attempt, refusal));
                }
                DispatchOutput::Cancel { request, servers } => {
                    self.canceller.cancel(request, servers);
                }
                DispatchOutput::Quarantine(content) => self.propose_quarantine(content),
            }
        }
        progressed
    }

    /// Sends a decision of this VM's dispatcher to the entry VM of the request.
    fn send_decision(&mut self, entry: &VmId, decision: FromDispatcher) {
        if *entry == self.local.vm {
            let own = entry.clone();
            self.handle_local_decision(&own, decision);
        } else {
            self.mesh
                .send(entry, MeshMessage::FromDispatcher(decision.into()));
        }
    }

    /// Handles a decision of another VM's dispatcher on a request of this VM.
    pub(super) fn handle_remote_decision(
        &mut self,
        now: Moment,
        from: &VmId,
        wire: WireFromDispatcher,
    ) {
        match wire.into_core(&self.local.vm) {
            Ok(FromDispatcher::Grant(grant)) => self.in_flight.granted(now, from, grant),
            Ok(FromDispatcher::Refuse(request, attempt, refusal)) => {
                self.in_flight.refused(now, request, attempt, refusal);
            }
            Err(error) => warn!(self.log, "Cannot decode a dispatcher decision"; "error" => %error),
        }
    }

    /// Handles a decision of this VM's dispatcher on a request of this VM.
    fn handle_local_decision(&mut self, own: &VmId, decision: FromDispatcher) {
        let now = self.now();
        match decision {
            FromDispatcher::Grant(grant) => self.in_flight.granted(now, own, grant),
            FromDispatcher::Refuse(request, attempt, refusal) => {
                self.in_flight.refused(now, request, attempt, refusal);
            }
        }
    }

    /// Proposes to quarantine a request content; nothing waits for the answer.
    fn propose_quarantine(&mut self, content: ContentDigest) {
        warn!(self.log, "Quarantining request content that crashed backend servers";
            "content" => %content);
        let deadline = self.now() + PROPOSE_TIMEOUT * 12;
        let (reply, _) = crossbeam::channel::bounded(1);
        self.propose(Proposal {
            command: Command::Quarantine(content),
            deadline,
            reply,
        });
    }

    /// Forwards an announcement to the VMs that register the server.
    pub(super) fn forward_announcement(&mut self, announced: &Announcement) {
        let wire = WireAnnouncement::from(announced);
        for vm in self.registry_vms(&announced.zone, &announced.service) {
            if vm == self.local.vm {
                let now = self.now();
                self.handle_announcement(now, wire.clone());
            } else {
                self.mesh.send(&vm, MeshMessage::Announce(wire.clone()));
            }
        }
    }

    /// Returns the VMs that register the servers of a service, the dispatcher first.
    fn registry_vms(&self, zone: &ZoneName, service: &ServiceName) -> Vec<VmId> {
        let serving = self.membership.serving_in(zone);
        let ranked = rank_dispatchers(zone, service, serving.into_iter());
        ranked.into_iter().take(REGISTRY_VMS).cloned().collect()
    }

    /// Registers an announced server on this VM.
    pub(super) fn handle_announcement(&mut self, now: Moment, wire: WireAnnouncement) {
        let announced = match Announcement::try_from(wire) {
            Ok(announced) => announced,
            Err(error) => {
                warn!(self.log, "Cannot decode an announcement"; "error" => %error);
                return;
            }
        };
        let (service, id) = (announced.service.clone(), announced.id.clone());
        let change = self.dispatcher.announce(now, announced);
        metrics::count_announcement(change_label(change));
        match change {
            RegistryChange::Renewed => {}
            RegistryChange::Stale => {
                debug!(self.log, "Ignored a stale announcement"; "server" => %id);
            }
            RegistryChange::Joined | RegistryChange::Restarted | RegistryChange::Left => {
                info!(self.log, "Backend server changed"; "service" => %service,
                    "server" => %id, "change" => change_label(change));
            }
        }
    }

    /// Returns the placements at all servers for which this VM is the dispatcher.
    pub(super) fn server_placements(&self) -> Vec<ServerPlacements> {
        let servers = self.dispatcher.registry().all();
        servers
            .filter(|server| self.is_dispatcher(&server.announced.zone, &server.announced.service))
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

    /// Whether this VM is the dispatcher of a service in a zone.
    fn is_dispatcher(&self, zone: &ZoneName, service: &ServiceName) -> bool {
        self.registry_vms(zone, service).first() == Some(&self.local.vm)
    }
}

/// Returns the label of a change in metrics and log lines.
const fn change_label(change: RegistryChange) -> &'static str {
    match change {
        RegistryChange::Joined => "joined",
        RegistryChange::Renewed => "renewed",
        RegistryChange::Restarted => "restarted",
        RegistryChange::Left => "left",
        RegistryChange::Stale => "stale",
    }
}
