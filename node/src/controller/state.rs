//! State of the control thread: replica, backend servers and pending operator calls.

use std::time::Duration;

use anyhow::Result;
use merlinrudder_core::consensus::message::{Message, ReplicaId};
use merlinrudder_core::control::Command;
use merlinrudder_core::evacuation::CommandSupport;
use merlinrudder_core::names::VmId;
use merlinrudder_core::peer_list::PeerListSchedule;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireProposeResult};
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, info, o};

use super::ControllerConfig;
use super::calls::PendingCalls;
use super::input::{Input, InputSender};
use super::known_peers::KnownPeers;
use super::manifest_source::ManifestSource;
use super::pause::Pauses;
use super::servers::ServerTracker;
use crate::clock::Clock;
use crate::crash_exchange::CrashExchange;
use crate::links::{AddressSource, LinkEvent, Links};
use crate::metrics;
use crate::replica::disk::OpenedDisk;
use crate::replica::formation::ClusterFormation;
use crate::replica::{ProposalOutcome, Replica, Requester};

/// Interval at which entry VMs are sent the number of the newest manifest.
const ADVERTISE_INTERVAL: Duration = Duration::from_millis(400);
/// Time without contact after which a follower counts as cut off from the leader.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(700);

/// State of the control thread of a control VM.
#[derive(Debug)]
pub(super) struct Controller {
    pub(super) local_peer: WirePeer,
    pub(super) clock: Clock,
    pub(super) links: Links,
    pub(super) replica: Replica,
    pub(super) servers: ServerTracker,
    pub(super) calls: PendingCalls,
    pub(super) crashes: CrashExchange,
    /// VMs that can apply orders to evacuate without a number.
    pub(super) evacuation_support: CommandSupport,
    /// VMs that can apply numbered orders to evacuate.
    pub(super) order_support: CommandSupport,
    /// When this thread last stood still.
    pub(super) pauses: Pauses,
    /// Revision of the evacuated zones that was last sent to the entry VMs on its change.
    pub(super) advertised_evacuations: u64,
    /// When the crash history is next compared with the control log.
    pub(super) next_record: Moment,
    pub(super) formation: ClusterFormation,
    /// Link addresses of the VMs that bootstrap a new cluster; may be empty.
    pub(super) initial_addrs: Vec<std::net::SocketAddr>,
    /// The manifest that this VM has applied, as entry VMs get it.
    pub(super) manifests: ManifestSource,
    /// Manifest number last sent to the entry VMs.
    advertised: u64,
    next_advertise: Moment,
    /// When the linked VMs are sent the list of known VMs.
    peer_list: PeerListSchedule,
    /// The other VMs, as they are kept for the next start.
    known_peers: KnownPeers,
    was_leader: bool,
    pub(super) log: Logger,
}

impl Controller {
    pub(super) fn open(
        config: ControllerConfig,
        clock: Clock,
        links: Links,
        disk: OpenedDisk,
        inputs: InputSender,
        log: &Logger,
    ) -> Result<Self> {
        let log = log.new(o!("part" => "control"));
        let now = clock.now();
        let report = move |report| inputs.send(Input::Disk(report));
        let own = config.local_peer.vm_id();
        let known_peers = KnownPeers::open(now, &config.data_dir, &log)?;
        dial_kept(&links, known_peers.kept());
        let mut replica = Replica::open(now, &own, disk, report, &log)?;
        replica
            .consensus
            .allow_voter_removal(2 * config.tolerated_losses + 1);
        let initial_addrs = if config.bootstrap {
            config.seeds
        } else {
            Vec::new()
        };
        Ok(Self {
            local_peer: config.local_peer,
            clock,
            links,
            replica,
            servers: ServerTracker::default(),
            calls: PendingCalls::default(),
            crashes: CrashExchange::default(),
            evacuation_support: CommandSupport::default(),
            order_support: CommandSupport::default(),
            pauses: Pauses::new(now),
            advertised_evacuations: 0,
            next_record: now,
            formation: ClusterFormation::awaiting(initial_addrs.len()),
            initial_addrs,
            manifests: ManifestSource::default(),
            advertised: 0,
            next_advertise: now,
            peer_list: PeerListSchedule::default(),
            known_peers,
            was_leader: false,
            log,
        })
    }

    pub(super) fn handle_input(&mut self, input: Input) {
        let now = self.clock.now();
        self.pauses.observe(now);
        if input.is_abandoned() {
            info!(self.log, "Ignored a call that was given up"; "call" => input.kind(),
                "last_pause_ms" => self.pauses.length.as_millis(),
                "since_pause_ms" => now.since(self.pauses.ended).as_millis());
            return;
        }
        match input {
            Input::Link(event) => self.handle_link_event(now, event),
            Input::Disk(report) => {
                for (to, message) in self.replica.record_sync(report) {
                    self.send_raft_message(now, &to, message);
                }
            }
            Input::Publish(published, reply) => self.handle_publish(now, published, reply),
            Input::Read(reply) => self.handle_read(now, reply),
            Input::Heartbeat(record, report, reply) => {
                self.handle_heartbeat(now, record, &report, reply);
            }
            Input::Deregister(id, born, reply) => self.handle_deregister(now, &id, born, reply),
            Input::SetEvacuation {
                zone,
                active,
                caller,
                reply,
            } => self.handle_set_evacuation(now, zone, active, caller, reply),
            Input::ListEvacuations(reply) => {
                // The operator may have disconnected.
                let _ignored = reply.send(self.replica.state.evacuations.clone());
            }
            Input::ListQuarantine(reply) => {
                // The operator may have disconnected.
                let _ignored = reply.send(self.quarantined(now));
            }
            Input::LiftQuarantine { content, reply, .. } => {
                let _ignored = reply.send(self.lift_quarantine(now, &content));
            }
            Input::Stop => self.replica.transfer_leadership(),
        }
    }

    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        self.pauses.observe(now);
        let contacts = self.replica.consensus.voter_contacts(now);
        self.replica.consensus.tick(now);
        if !contacts.is_empty() && !self.replica.consensus.is_leader() {
            let contacts: Vec<_> = contacts
                .iter()
                .map(|(voter, age)| format!("{} {}", voter.vm, age.as_millis()))
                .collect();
            info!(self.log, "Leader lost its quorum"; "contact_ms" => contacts.join(", "));
        }
        if let Some(hello) = self.formation.tick(now, &mut self.replica.consensus) {
            for peer in self.control_peers() {
                self.send(&peer, &MeshMessage::Hello(hello.clone()));
            }
        }
        self.tick_calls(now);
        self.tick_servers(now);
        self.tick_crashes(now);
        if now >= self.next_advertise {
            self.advertise_manifest(now);
        }
        if self.peer_list.is_due(now) {
            self.send_peers(now);
        }
        if self.known_peers.is_due(now) {
            self.save_peers(now);
        }
        let is_leader = self.replica.consensus.is_leader();
        if is_leader != self.was_leader {
            self.was_leader = is_leader;
            let term = self.replica.consensus.term().0;
            info!(self.log, "Leadership changed"; "leads" => is_leader, "term" => term);
        }
        let number = self.replica.state.manifest_number().0;
        metrics::set_control_gauges(number, self.replica.consensus.term().0, is_leader);
        metrics::set_evacuated_zones(self.replica.state.evacuations.zones.len());
    }

    /// Carries out the outputs of the consensus until none is left.
    pub(super) fn flush(&mut self) {
        loop {
            let now = self.clock.now();
            self.replica.consensus.announce_commit(now);
            let outputs = self.replica.flush();
            if !outputs.progressed && outputs.outcomes.is_empty() {
                break;
            }
            for (to, message) in outputs.messages {
                self.send_raft_message(now, &to, message);
            }
            for outcome in outputs.outcomes {
                self.send_proposal_outcome(outcome);
            }
        }
        let now = self.clock.now();
        self.announce_evacuations();
        self.record_manifest();
        if self.replica.state.manifest_number().0 > self.advertised {
            self.advertise_manifest(now);
            self.complete_calls();
        }
    }

    /// Prepares the newest manifest for the entry VMs, unless that is done.
    fn record_manifest(&mut self) {
        let newest = self.replica.state.manifest.as_ref();
        let Some(manifest) = newest.filter(|newest| newest.number > self.manifests.number()) else {
            return;
        };
        let step_bytes = self.manifests.record(manifest);
        info!(self.log, "Manifest applied"; "number" => manifest.number.0,
            "bytes" => manifest.bytes.len(), "step_bytes" => step_bytes);
    }

    /// Whether this VM is in contact with the leader.
    ///
    /// A leader counts as in contact with itself while it holds the leader lease.
    pub(super) fn has_leader_contact(&self, now: Moment) -> bool {
        let consensus = &self.replica.consensus;
        if consensus.is_leader() {
            return consensus.has_lease(now);
        }
        consensus.leader().is_some()
            && consensus
                .leader_contact()
                .is_some_and(|heard_at| now.since(heard_at) < LEADER_CONTACT_TIMEOUT)
    }

    pub(super) fn send(&self, to: &VmId, message: &MeshMessage) {
        self.links.send(to, message);
    }

    /// Returns the other control VMs with an open link.
    pub(super) fn control_peers(&self) -> Vec<VmId> {
        let peers = self.links.peers();
        let control = peers.iter().filter(|peer| peer.control);
        control.map(WirePeer::vm_id).collect()
    }

    /// Returns the entry VMs with an open link.
    pub(super) fn entry_peers(&self) -> Vec<VmId> {
        let peers = self.links.peers();
        let entry_peers = peers.iter().filter(|peer| !peer.control);
        entry_peers.map(WirePeer::vm_id).collect()
    }

    fn handle_link_event(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Up(peer) => self.handle_link_up(now, &peer),
            LinkEvent::Down(vm, _) => {
                self.crashes.link_down(&vm);
                self.resolve_initial_vms();
            }
            LinkEvent::Message(from, message) => self.handle_message(now, &from, message),
        }
    }

    /// Sends a newly linked VM all servers, the manifest number and the list of known VMs.
    fn handle_link_up(&mut self, now: Moment, peer: &WirePeer) {
        if peer.control {
            self.links.dial(peer.address, AddressSource::Handshake);
        } else {
            self.links.help_dial(peer.address);
        }
        self.known_peers.linked(now, peer);
        self.resolve_initial_vms();
        let vm = peer.vm_id();
        self.send_all_cold(now, &vm);
        self.crashes.pull(&self.links, &vm);
        let servers = self.servers.all_records(now);
        self.send(&vm, &MeshMessage::Servers(servers));
        // Before the manifest number, after which an entry VM may report that it is ready.
        self.evacuation_link_up(peer);
        self.send(&vm, &self.newest_manifest(now));
        self.send(&vm, &MeshMessage::Peers(self.known_peers()));
        self.peer_list.opened((vm, peer.address));
    }

    fn handle_message(&mut self, now: Moment, from: &VmId, message: MeshMessage) {
        match message {
            MeshMessage::Raft { from, to, message } => {
                let (from, to) = (ReplicaId::from(from), ReplicaId::from(to));
                // The message may be meant for an earlier incarnation, whose disk was lost.
                if *self.replica.consensus.id() == to {
                    self.replica.consensus.receive(now, &from, message.into());
                }
            }
            MeshMessage::Hello(hello) => {
                let consensus = &mut self.replica.consensus;
                if let Some(reply) = self.formation.receive_hello(now, consensus, &hello) {
                    self.send(from, &MeshMessage::Hello(reply));
                }
            }
            MeshMessage::Propose { id, command } => {
                let requester = Requester {
                    vm: from.clone(),
                    id,
                };
                self.propose(now, requester, command.into());
            }
            MeshMessage::ConfirmLeadership { id } => {
                let requester = Requester {
                    vm: from.clone(),
                    id,
                };
                self.confirm_leadership(now, requester);
            }
            MeshMessage::ProposeReply { id, result } => self.handle_proposal_result(id, result),
            MeshMessage::PullManifest { have } => self.send_manifest(now, from, have),
            MeshMessage::PullQuarantineList { have } => {
                self.crashes.answer_pull(now, &self.links, from, have);
            }
            MeshMessage::CrashReports(reports) => self.handle_crash_reports(now, from, reports),
            MeshMessage::Servers(servers) => self.handle_servers(now, servers),
            MeshMessage::ColdServers(servers) => self.handle_cold_servers(now, servers),
            MeshMessage::Peers(peers) => {
                for peer in peers.iter().filter(|peer| peer.control) {
                    self.links.dial(peer.address, AddressSource::PeerList);
                }
            }
            // A control VM has no use for the other messages.
            _ => {}
        }
    }

    /// Proposes a command for a requester.
    ///
    /// If this VM does not lead, or the other VMs do not all understand the command, the requester is
    /// told that it does not lead, and sends the command again later.
    pub(super) fn propose(&mut self, now: Moment, requester: Requester, command: Command) {
        if !self.may_append(&command)
            || self
                .replica
                .propose(now, requester.clone(), command)
                .is_err()
        {
            self.reject_proposal(requester);
        }
    }

    /// Confirms to a requester that this VM leads.
    ///
    /// If this VM does not lead, the requester is told so at once.
    pub(super) fn confirm_leadership(&mut self, now: Moment, requester: Requester) {
        if self
            .replica
            .confirm_leadership(now, requester.clone())
            .is_err()
        {
            self.reject_proposal(requester);
        }
    }

    /// Tells a requester that this VM does not lead.
    fn reject_proposal(&mut self, requester: Requester) {
        let answer = None;
        self.send_proposal_outcome(ProposalOutcome { requester, answer });
    }

    /// Sends a Raft message; one to this replica itself is processed at once.
    fn send_raft_message(&mut self, now: Moment, to: &ReplicaId, message: Message) {
        let own = self.replica.consensus.id().clone();
        if *to == own {
            self.replica.consensus.receive(now, &own, message);
            return;
        }
        let vm = to.vm.clone();
        let message = MeshMessage::Raft {
            from: own.into(),
            to: to.clone().into(),
            message: message.into(),
        };
        self.send(&vm, &message);
    }

    fn send_proposal_outcome(&mut self, outcome: ProposalOutcome) {
        let Requester { vm, id } = outcome.requester;
        let result = match outcome.answer {
            Some(answer) => WireProposeResult::Committed(answer.into()),
            None => WireProposeResult::NotLeader {
                leader: self.leader_vm().map(|vm| vm.to_string()),
            },
        };
        if vm == self.local_peer.vm_id() {
            self.handle_proposal_result(id, result);
        } else {
            self.send(&vm, &MeshMessage::ProposeReply { id, result });
        }
    }

    /// Returns the leader of the control log, if this VM's replica knows one.
    pub(super) fn leader_vm(&self) -> Option<VmId> {
        let leader = self.replica.consensus.leader()?;
        Some(leader.vm.clone())
    }

    /// Returns the message that tells a VM the number of the newest manifest.
    ///
    /// It counts as current only once this VM has applied all that was committed before the current
    /// term: an entry VM reports ready then, and must know the evacuations of before a power loss.
    fn newest_manifest(&self, now: Moment) -> MeshMessage {
        MeshMessage::NewestManifest {
            number: self.replica.state.manifest_number().0,
            current: self.has_leader_contact(now) && self.replica.is_caught_up(),
        }
    }

    /// Sends the number of the newest manifest to all entry VMs.
    fn advertise_manifest(&mut self, now: Moment) {
        self.next_advertise = now + ADVERTISE_INTERVAL;
        self.advertised = self.replica.state.manifest_number().0;
        let newest = self.newest_manifest(now);
        let entries = self.entry_peers();
        if self.replica.state.evacuations.revision > 0 {
            self.send_evacuations(&entries);
        }
        self.links.send_all(&entries, &newest);
    }

    /// Keeps the known VMs for the next start.
    fn save_peers(&mut self, now: Moment) {
        let linked = self.links.peers();
        let voters = self.replica.consensus.voters().iter();
        let voters: Vec<_> = voters.map(|voter| voter.vm.clone()).collect();
        self.known_peers.save(now, &linked, &voters);
    }

    /// Returns all linked VMs and this one.
    fn known_peers(&self) -> Vec<WirePeer> {
        let mut peers = self.links.peers();
        peers.push(self.local_peer.clone());
        peers
    }

    /// Sends the list of known VMs to all linked VMs.
    fn send_peers(&mut self, now: Moment) {
        let peers = self.known_peers();
        let listed = peers.iter().map(|peer| (peer.vm_id(), peer.address));
        self.peer_list.sent(now, listed);
        let others = peers.iter().filter(|peer| **peer != self.local_peer);
        let others: Vec<_> = others.map(WirePeer::vm_id).collect();
        self.links.send_all(&others, &MeshMessage::Peers(peers));
    }
}

/// Connects to the VMs that were kept from before the start.
fn dial_kept(links: &Links, kept: &[WirePeer]) {
    for peer in kept {
        if peer.control {
            links.dial(peer.address, AddressSource::Kept);
        } else {
            links.help_dial(peer.address);
        }
    }
}
