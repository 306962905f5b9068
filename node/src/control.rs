//! The control thread: it owns the core's state and is the only one that changes it.

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

use self::input::{Canceller, ControlInput, EntryEvent};
use self::manifests::Manifests;
use self::proposals::Proposals;
use crate::clock::Clock;
use crate::constants::TICK_PERIOD;
use crate::mesh::Mesh;
use crate::metrics;
use crate::published::PublishedCell;
use crate::replica::Replica;
use crate::replica::disk::OpenedDisk;
use crate::replica::formation::Formation;
use crate::timer::Timer;

/// Handle by which other threads talk to the control thread.
#[derive(Clone, Debug)]
pub struct Control {
    inputs: Sender<ControlInput>,
}

impl Control {
    /// Hands an input over; it is dropped only once the process ends.
    pub fn send(&self, input: ControlInput) {
        drop(self.inputs.send(input));
    }
}

/// What the control thread starts with.
#[derive(Debug)]
pub struct ControlStart {
    /// This VM.
    pub own: ConfiguredVm,
    /// All other VMs.
    pub peers: Vec<ConfiguredVm>,
    /// The clock.
    pub clock: Clock,
    /// The mesh.
    pub mesh: Mesh,
    /// Where snapshots for traffic threads go.
    pub published: PublishedCell,
    /// Tells backend servers to drop requests.
    pub canceller: Canceller,
    /// The opened data folder, on a VM with a disk.
    pub disk: Option<OpenedDisk>,
    /// Root logger.
    pub log: Logger,
}

/// State of the control thread.
struct ControlThread {
    own: ConfiguredVm,
    clock: Clock,
    mesh: Mesh,
    published: PublishedCell,
    canceller: Canceller,
    membership: Membership,
    held: InFlightTable,
    dispatcher: Dispatcher,
    /// Channels of the traffic threads that wait for a decision.
    callers: HashMap<RequestId, Sender<EntryEvent>>,
    /// The control log; `None` on a VM without a usable disk.
    replica: Option<Replica>,
    formation: Option<Formation>,
    manifests: Manifests,
    proposals: Proposals,
    unready: bool,
    stopping: bool,
    log: Logger,
}

/// Makes the channel of a control thread that is started later.
#[must_use]
pub fn channel() -> (Control, Receiver<ControlInput>) {
    let (inputs, receiver) = unbounded();
    (Control { inputs }, receiver)
}

/// Starts the control thread.
///
/// # Errors
/// Fails where the control log cannot be restored or no thread can be started.
pub fn spawn(
    start: ControlStart,
    control: &Control,
    inputs: Receiver<ControlInput>,
    timer: &Timer,
) -> Result<()> {
    let ticks = timer.every(TICK_PERIOD);
    let mut thread = ControlThread::open(start, control)?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            loop {
                // Ticks go first: a flood of inputs must not hold up heartbeats and deadlines.
                select_biased! {
                    recv(ticks) -> _ => thread.tick(),
                    recv(inputs) -> input => match input {
                        Ok(ControlInput::Quit) | Err(_) => return,
                        Ok(input) => thread.take(input),
                    },
                }
                thread.flush();
            }
        })?;
    Ok(())
}

impl ControlThread {
    fn open(start: ControlStart, control: &Control) -> Result<Self> {
        let now = start.clock.now();
        let log = start.log.new(o!("part" => "control"));
        let incarnation = start.clock.started().as_millis();
        let membership = Membership::new(now, start.own.clone(), &start.peers, incarnation);
        let voters: Vec<_> = start
            .peers
            .iter()
            .filter(|peer| peer.disk)
            .cloned()
            .collect();
        let (replica, formation) = match start.disk {
            Some(disk) => {
                let control = control.clone();
                let report = move |report| control.send(ControlInput::Disk(report));
                let replica = Replica::open(now, &start.own.vm, disk, report, &log)?;
                let own = std::iter::once(start.own.vm.clone());
                let founders = own.chain(voters.iter().map(|peer| peer.vm.clone()));
                let formation = Formation::open(founders.collect());
                (Some(replica), Some(formation))
            }
            None => (None, None),
        };
        let control_vms = voters.into_iter().map(|peer| peer.vm).collect();
        Ok(Self {
            own: start.own,
            clock: start.clock,
            mesh: start.mesh,
            published: start.published,
            canceller: start.canceller,
            membership,
            held: InFlightTable::default(),
            dispatcher: Dispatcher::new(now),
            callers: HashMap::new(),
            replica,
            formation,
            manifests: Manifests::default(),
            proposals: Proposals::open(control_vms),
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
        self.held.tick(now);
        self.dispatcher.tick(now);
        self.tick_replica(now);
        self.tick_manifests(now);
        self.tick_proposals(now);
        metrics::note_load(
            self.held.len(),
            self.dispatcher.waiting(),
            self.dispatcher.running(),
        );
    }

    fn take(&mut self, input: ControlInput) {
        match input {
            ControlInput::Mesh(from, message) => self.take_message(&from, message),
            ControlInput::Submit(submission) => self.submit(submission),
            ControlInput::Started(request, attempt) => self.held.started(request, attempt),
            ControlInput::Finish(finish) => self.finish(finish),
            ControlInput::Abandon(request) => self.abandon(request),
            ControlInput::Announce(announced) => self.spread_announcement(&announced),
            ControlInput::Propose(proposal) => self.propose(proposal),
            ControlInput::Disk(report) => self.take_disk_report(report),
            ControlInput::Status(reply) => drop(reply.send(self.status())),
            ControlInput::Holdings(reply) => drop(reply.send(self.placed())),
            ControlInput::Unready => self.become_unready(),
            ControlInput::CacheRead(key, incarnation, view) => {
                self.dispatcher.reset_cache_view(&key, incarnation, view);
            }
            ControlInput::Stop => self.begin_stop(),
            ControlInput::Leave(reply) => self.leave(&reply),
            ControlInput::Quit => {}
        }
    }

    fn take_message(&mut self, from: &VmId, message: MeshMessage) {
        let now = self.now();
        match message {
            MeshMessage::Membership(wire) => self.membership.receive(now, from, wire.into()),
            MeshMessage::Raft { from, to, message } => {
                self.take_log_message(now, &from.into(), &to.into(), message.into());
            }
            MeshMessage::Hello(hello) => self.take_hello(now, from, &hello),
            MeshMessage::ToDispatcher(wire) => {
                let message = wire.into_core(from, now);
                self.dispatch(now, message);
            }
            MeshMessage::FromDispatcher(wire) => self.take_decision(now, from, wire),
            MeshMessage::Announce(wire) => self.take_announcement(now, wire),
            MeshMessage::Propose { id, command } => {
                self.take_proposal(now, from, id, command.into());
            }
            MeshMessage::ProposeReply { id, result } => self.take_proposed(from, id, result),
            MeshMessage::PullManifest { have } => self.answer_pull(now, from, have),
            MeshMessage::Manifest {
                number,
                bytes,
                current,
            } => {
                self.take_manifest(now, ManifestNumber(number), &bytes, current);
            }
            MeshMessage::PullQuarantineList { have } => self.answer_verdicts(from, have),
            MeshMessage::QuarantineList(verdicts) => self.take_verdicts(now, verdicts),
            MeshMessage::ConfirmLeadership { .. }
            | MeshMessage::Handshake(_)
            | MeshMessage::NewestManifest { .. }
            | MeshMessage::Peers(_)
            | MeshMessage::Placements(_)
            | MeshMessage::Servers(_) => {
                warn!(self.log, "Dropped a message that only links carry"; "from" => %from);
            }
        }
    }

    /// Carries out what the state machines decided, until none has anything left.
    fn flush(&mut self) {
        loop {
            let mut busy = self.flush_membership();
            busy |= self.flush_replica();
            busy |= self.flush_held();
            busy |= self.flush_dispatcher();
            if !busy {
                return;
            }
        }
    }

    fn flush_membership(&mut self) -> bool {
        let outputs = self.membership.take_outputs();
        let busy = !outputs.is_empty();
        for output in outputs {
            match output {
                MembershipOutput::Send(to, message) => {
                    self.mesh.send(&to, MeshMessage::Membership(message.into()));
                }
                MembershipOutput::HealthChanged(vm, health) => self.health_changed(&vm, health),
                MembershipOutput::NewIncarnation(vm) => self.mesh.disconnect(&vm),
                MembershipOutput::NewerManifest(vm, number) => self.pull_newer(&vm, number),
            }
        }
        busy
    }

    fn health_changed(&mut self, vm: &VmId, health: Health) {
        let now = self.now();
        info!(self.log, "A VM changed"; "peer" => %vm, "health" => health.as_str());
        if health == Health::Dead {
            self.mesh.disconnect(vm);
            self.dispatcher.vm_lost(now, vm);
        }
        self.refresh_topology(now);
    }

    /// Tells the held requests which VMs serve now.
    fn refresh_topology(&mut self, now: Moment) {
        let mut topology = Topology::default();
        let zones = self
            .membership
            .members()
            .map(|(_, member)| member.zone.clone());
        for zone in zones.chain([self.own.zone.clone()]) {
            let serving = self
                .membership
                .serving_in(&zone)
                .into_iter()
                .cloned()
                .collect();
            topology.zones.entry(zone).or_insert(serving);
        }
        self.held.set_topology(now, topology);
    }

    /// Fails readiness, so that the balancer leaves; requests are still taken.
    fn become_unready(&mut self) {
        self.unready = true;
        self.published.update(|published| published.ready = false);
    }

    /// Stops admitting; what is held goes on.
    fn begin_stop(&mut self) {
        info!(self.log, "Stopping"; "held" => self.held.len());
        self.stopping = true;
        self.published.update(|published| published.stopping = true);
    }

    /// Hands over the lead and tells all that this VM leaves.
    fn leave(&mut self, reply: &Sender<usize>) {
        if let Some(replica) = &mut self.replica {
            replica.hand_over();
        }
        if self.stopping && self.membership_left() {
            info!(self.log, "Leaving"; "held" => self.held.len());
        }
        let sent = reply.send(self.held.len());
        debug_assert!(sent.is_ok(), "the stopping thread waits for the answer");
    }

    fn membership_left(&mut self) -> bool {
        if self.manifests.left {
            return false;
        }
        self.manifests.left = true;
        self.membership.leave();
        let now = self.now();
        self.refresh_topology(now);
        true
    }
}

/// Shares bytes without copying them again.
fn shared(bytes: &[u8]) -> Arc<[u8]> {
    Arc::from(bytes)
}
