//! Control thread of a VM that accepts callers, dispatches and replicates in one process.
//!
//! It owns the state machines of the core and is the only thread that changes them. Other threads
//! send it inputs, and the request threads read the snapshots that it publishes. Only a VM with a
//! disk replicates the control log. On the hosting platform, a control VM runs
//! [`controller`](crate::controller) instead.

mod hello;
pub mod input;
mod manifests;
mod proposals;
mod replica;
mod serving;
mod status;

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;

use anyhow::Result;
use crossbeam::channel::{Receiver, Sender, select_biased, unbounded};
use merlinrudder_core::dispatch::Dispatcher;
use merlinrudder_core::in_flight::{InFlightTable, Topology};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::membership::message::Health;
use merlinrudder_core::membership::{ConfiguredVm, Membership, MembershipOutput};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::RequestId;
use merlinrudder_wire::mesh::MeshMessage;
use slog::{Logger, info, o, warn};

use self::input::{Canceller, ControlInput, DispatchDecision};
use self::manifests::Manifests;
use self::proposals::Proposals;
use crate::clock::Clock;
use crate::constants::TICK_PERIOD;
use crate::mesh::Mesh;
use crate::metrics;
use crate::published::RoutingSnapshotCell;
use crate::replica::Replica;
use crate::replica::disk::OpenedDisk;
use crate::replica::formation::ClusterFormation;
use crate::timer::Timer;

/// Handle with which other threads send inputs to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    inputs: Sender<ControlInput>,
}

impl ControlHandle {
    /// Sends an input without blocking.
    ///
    /// It is lost only if the control thread has ended.
    pub fn send(&self, input: ControlInput) {
        drop(self.inputs.send(input));
    }
}

/// Configuration of the control thread and the services it uses.
#[derive(Debug)]
pub struct ControlConfig {
    /// Id, zone and disk of this VM.
    pub local: ConfiguredVm,
    /// All other VMs, as listed in the settings.
    pub peers: Vec<ConfiguredVm>,
    /// Clock of the process.
    pub clock: Clock,
    /// Connections to the other VMs.
    pub mesh: Mesh,
    /// Receives the snapshots for the request threads.
    pub published: RoutingSnapshotCell,
    /// Cancels requests at backend servers.
    pub canceller: Canceller,
    /// Opened data folder; `None` on a VM without a disk.
    pub disk: Option<OpenedDisk>,
    /// Root logger of the process.
    pub log: Logger,
}

/// State of the control thread.
struct ControlThread {
    local: ConfiguredVm,
    clock: Clock,
    mesh: Mesh,
    published: RoutingSnapshotCell,
    canceller: Canceller,
    membership: Membership,
    in_flight: InFlightTable,
    dispatcher: Dispatcher,
    /// Channels to the request threads, by the request whose decision they wait for.
    reply_senders: HashMap<RequestId, Sender<DispatchDecision>>,
    /// Replica of the control log; `None` on a VM without a disk.
    replica: Option<Replica>,
    /// Hello exchange of the replica; `None` on a VM without a disk.
    formation: Option<ClusterFormation>,
    manifests: Manifests,
    proposals: Proposals,
    /// Whether readiness probes fail because the VM is stopping; requests may still be admitted.
    unready: bool,
    /// Whether the VM admits no more requests.
    stopping: bool,
    log: Logger,
}

/// Creates the input channel for a control thread that is spawned later.
#[must_use]
pub fn channel() -> (ControlHandle, Receiver<ControlInput>) {
    let (inputs, receiver) = unbounded();
    (ControlHandle { inputs }, receiver)
}

/// Starts the control thread.
///
/// # Errors
/// Fails if the control log cannot be restored or the thread cannot be spawned.
pub fn spawn(
    config: ControlConfig,
    control: &ControlHandle,
    inputs: Receiver<ControlInput>,
    timer: &Timer,
) -> Result<()> {
    let ticks = timer.every(TICK_PERIOD);
    let mut thread = ControlThread::open(config, control)?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            loop {
                // Ticks take precedence, so that many inputs do not delay heartbeats and deadlines.
                select_biased! {
                    recv(ticks) -> _ => thread.tick(),
                    recv(inputs) -> input => match input {
                        Ok(ControlInput::Quit) | Err(_) => return,
                        Ok(input) => thread.handle_input(input),
                    },
                }
                thread.flush();
            }
        })?;
    Ok(())
}

impl ControlThread {
    /// Restores the replica if there is a disk, and sets up all state machines.
    fn open(config: ControlConfig, control: &ControlHandle) -> Result<Self> {
        let now = config.clock.now();
        let log = config.log.new(o!("part" => "control"));
        let incarnation = config.clock.start_time().as_millis();
        let membership = Membership::new(now, config.local.clone(), &config.peers, incarnation);
        let disk_peers: Vec<_> = config
            .peers
            .iter()
            .filter(|peer| peer.disk)
            .cloned()
            .collect();
        let (replica, formation) = match config.disk {
            Some(disk) => {
                let control = control.clone();
                let report = move |report| control.send(ControlInput::Disk(report));
                let replica = Replica::open(now, &config.local.vm, disk, report, &log)?;
                let own = std::iter::once(config.local.vm.clone());
                let initial_vms = own.chain(disk_peers.iter().map(|peer| peer.vm.clone()));
                let formation = ClusterFormation::new(initial_vms.collect());
                (Some(replica), Some(formation))
            }
            None => (None, None),
        };
        let replica_vms = disk_peers.into_iter().map(|peer| peer.vm).collect();
        Ok(Self {
            local: config.local,
            clock: config.clock,
            mesh: config.mesh,
            published: config.published,
            canceller: config.canceller,
            membership,
            in_flight: InFlightTable::default(),
            dispatcher: Dispatcher::new(now),
            reply_senders: HashMap::new(),
            replica,
            formation,
            manifests: Manifests::default(),
            proposals: Proposals::new(replica_vms),
            unready: false,
            stopping: false,
            log,
        })
    }

    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn tick(&mut self) {
        let now = self.now();
        self.membership.tick(now);
        self.in_flight.tick(now);
        self.dispatcher.tick(now);
        self.tick_replica(now);
        self.tick_manifests(now);
        self.tick_proposals(now);
        metrics::set_load_gauges(
            self.in_flight.len(),
            self.dispatcher.waiting(),
            self.dispatcher.running(),
        );
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Mesh(from, message) => self.handle_message(&from, message),
            ControlInput::Submit(submission) => self.submit(submission),
            ControlInput::FirstToken(request, attempt) => {
                self.in_flight.record_first_token(request, attempt);
            }
            ControlInput::Finish(finish) => self.finish(finish),
            ControlInput::Abandon(request) => self.abandon(request),
            ControlInput::Announce(announced) => self.forward_announcement(&announced),
            ControlInput::Propose(proposal) => self.propose(proposal),
            ControlInput::Disk(report) => self.handle_sync_report(report),
            ControlInput::Status(reply) => drop(reply.send(self.status())),
            ControlInput::Placements(reply) => drop(reply.send(self.server_placements())),
            ControlInput::Unready => self.set_unready(),
            ControlInput::CacheRead(key, incarnation, view) => {
                self.dispatcher.reset_cache_view(&key, incarnation, view);
            }
            ControlInput::Stop => self.begin_stop(),
            ControlInput::Leave(reply) => self.leave(&reply),
            ControlInput::Quit => {}
        }
    }

    fn handle_message(&mut self, from: &VmId, message: MeshMessage) {
        let now = self.now();
        match message {
            MeshMessage::Membership(wire) => self.membership.receive(now, from, wire.into()),
            MeshMessage::Raft { from, to, message } => {
                self.handle_raft_message(now, &from.into(), &to.into(), message.into());
            }
            MeshMessage::Hello(hello) => self.handle_hello(now, from, &hello),
            MeshMessage::ToDispatcher(wire) => {
                let message = wire.into_core(from, now);
                self.handle_dispatcher_message(now, message);
            }
            MeshMessage::FromDispatcher(wire) => self.handle_remote_decision(now, from, wire),
            MeshMessage::Announce(wire) => self.handle_announcement(now, wire),
            MeshMessage::Propose { id, command } => {
                self.handle_proposal(now, from, id, command.into());
            }
            MeshMessage::ProposeReply { id, result } => {
                self.handle_proposal_result(from, id, result);
            }
            MeshMessage::PullManifest { have } => self.handle_manifest_pull(now, from, have),
            MeshMessage::Manifest {
                number,
                bytes,
                current,
            } => {
                self.handle_manifest(now, ManifestNumber(number), &bytes, current);
            }
            MeshMessage::PullQuarantineList { have } => self.handle_quarantine_pull(from, have),
            MeshMessage::QuarantineList(digests) => self.handle_quarantined(now, digests),
            MeshMessage::ConfirmLeadership { .. }
            | MeshMessage::TrialStarted(_)
            | MeshMessage::Handshake(_)
            | MeshMessage::Rates(_)
            | MeshMessage::CutOff(_)
            | MeshMessage::ColdServers(_)
            | MeshMessage::Capacities(_)
            | MeshMessage::ManifestUpdate(_)
            | MeshMessage::PromptReceived(_)
            | MeshMessage::PullControlVms
            | MeshMessage::CrashReports(_)
            | MeshMessage::Evacuations(_)
            | MeshMessage::NewestManifest { .. }
            | MeshMessage::Peers(_)
            | MeshMessage::Placements(_)
            | MeshMessage::Servers(_) => {
                warn!(self.log, "Dropped a message that is only valid on links"; "from" => %from);
            }
        }
    }

    /// Carries out the outputs of all state machines until none is left.
    fn flush(&mut self) {
        loop {
            let mut progressed = self.flush_membership();
            progressed |= self.flush_replica();
            progressed |= self.flush_in_flight();
            progressed |= self.flush_dispatcher();
            if !progressed {
                return;
            }
        }
    }

    fn flush_membership(&mut self) -> bool {
        let outputs = self.membership.take_outputs();
        let progressed = !outputs.is_empty();
        for output in outputs {
            match output {
                MembershipOutput::Send(to, message) => {
                    self.mesh.send(&to, MeshMessage::Membership(message.into()));
                }
                MembershipOutput::HealthChanged(vm, health) => self.handle_health(&vm, health),
                MembershipOutput::NewIncarnation(vm) => self.mesh.disconnect(&vm),
                MembershipOutput::NewerManifest(vm, number) => self.pull_if_newer(&vm, number),
            }
        }
        progressed
    }

    /// Handles a change in the health of another VM.
    fn handle_health(&mut self, vm: &VmId, health: Health) {
        let now = self.now();
        info!(self.log, "VM health changed"; "peer" => %vm, "health" => health.as_str());
        if health == Health::Dead {
            self.mesh.disconnect(vm);
            self.dispatcher.vm_lost(now, vm);
        }
        self.refresh_topology(now);
    }

    /// Updates the VMs among which in-flight requests find their dispatcher.
    fn refresh_topology(&mut self, now: Moment) {
        let mut topology = Topology::default();
        let zones = self
            .membership
            .members()
            .map(|(_, member)| member.zone.clone());
        for zone in zones.chain([self.local.zone.clone()]) {
            let serving = self
                .membership
                .serving_in(&zone)
                .into_iter()
                .cloned()
                .collect();
            topology.zones.entry(zone).or_insert(serving);
        }
        self.in_flight.set_topology(now, topology);
    }

    /// Fails readiness probes, so that the load balancer moves away; still admits requests.
    fn set_unready(&mut self) {
        self.unready = true;
        self.published.update(|published| published.ready = false);
    }

    /// Stops admitting requests; those in flight continue.
    fn begin_stop(&mut self) {
        info!(self.log, "Stopping"; "held" => self.in_flight.len());
        self.stopping = true;
        self.published.update(|published| published.stopping = true);
    }

    /// Transfers the leadership, announces the leave and replies with the requests in flight.
    ///
    /// A stopping VM sends this input until no request is in flight. Only the first call
    /// announces the leave.
    fn leave(&mut self, reply: &Sender<usize>) {
        if let Some(replica) = &mut self.replica {
            replica.transfer_leadership();
        }
        if self.stopping && self.announce_leave() {
            info!(self.log, "Leaving"; "held" => self.in_flight.len());
        }
        let sent = reply.send(self.in_flight.len());
        debug_assert!(sent.is_ok(), "the stopping thread waits for the reply");
    }

    /// Announces that this VM leaves; returns false if that was done before.
    fn announce_leave(&mut self) -> bool {
        if self.manifests.leave_announced {
            return false;
        }
        self.manifests.leave_announced = true;
        self.membership.leave();
        let now = self.now();
        self.refresh_topology(now);
        true
    }
}

/// Copies bytes into a buffer that can be shared between threads.
fn to_shared_bytes(bytes: &[u8]) -> Arc<[u8]> {
    Arc::from(bytes)
}
