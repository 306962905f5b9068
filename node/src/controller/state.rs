//! The control thread's state: replica, servers, and the calls that wait for the log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use merlinrudder_core::consensus::message::{Message, ReplicaId};
use merlinrudder_core::control::Command;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireProposeResult};
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, info, o};

use super::ControllerStart;
use super::calls::Calls;
use super::input::{Input, Inputs};
use super::servers::Servers;
use crate::clock::Clock;
use crate::links::{LinkEvent, Links};
use crate::metrics;
use crate::replica::disk::OpenedDisk;
use crate::replica::formation::Formation;
use crate::replica::{Answered, Replica, Requester};

/// Time between two tellings of the newest manifest's number.
const NEWEST_PERIOD: Duration = Duration::from_millis(400);
/// Time between two tellings of the known VMs.
const PEERS_PERIOD: Duration = Duration::from_secs(2);
/// Time since the last word of the leader in which this VM counts as in touch with it.
const IN_TOUCH: Duration = Duration::from_millis(700);

/// State of the control thread.
#[derive(Debug)]
pub(super) struct Controller {
    pub(super) own: WirePeer,
    pub(super) clock: Clock,
    pub(super) links: Links,
    pub(super) replica: Replica,
    pub(super) servers: Servers,
    pub(super) calls: Calls,
    formation: Formation,
    /// Links of the first control VMs, where they form a new cluster.
    founders: Vec<std::net::SocketAddr>,
    /// Number of the manifest that entry VMs were told last.
    told: u64,
    newest_due: Moment,
    peers_due: Moment,
    was_leader: bool,
    pub(super) log: Logger,
}

impl Controller {
    pub(super) fn open(
        start: ControllerStart,
        clock: Clock,
        links: Links,
        disk: OpenedDisk,
        inputs: Inputs,
        log: &Logger,
    ) -> Result<Self> {
        let log = log.new(o!("part" => "control"));
        let now = clock.now();
        let report = move |report| inputs.send(Input::Disk(report));
        let own = start.own.vm_id();
        let mut replica = Replica::open(now, &own, disk, report, &log)?;
        replica
            .consensus
            .allow_voter_removal(2 * start.tolerated + 1);
        let founders = if start.first_start {
            start.seeds
        } else {
            Vec::new()
        };
        Ok(Self {
            own: start.own,
            clock,
            links,
            replica,
            servers: Servers::default(),
            calls: Calls::default(),
            formation: Formation::default(),
            founders,
            told: 0,
            newest_due: now,
            peers_due: now,
            was_leader: false,
            log,
        })
    }

    pub(super) fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Link(event) => self.take_link(now, event),
            Input::Disk(report) => {
                for (to, message) in self.replica.take_report(report) {
                    self.send_log(now, &to, message);
                }
            }
            Input::Publish(published, reply) => self.take_publish(now, published, reply),
            Input::Read(reply) => self.take_read(now, reply),
            Input::Heartbeat(record, reply) => self.take_heartbeat(now, record, reply),
            Input::Leave(id, born, reply) => self.take_leave(now, &id, born, reply),
            Input::Stop => self.replica.hand_over(),
        }
    }

    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        self.replica.consensus.tick(now);
        if let Some(hello) = self.formation.tick(now, &mut self.replica.consensus) {
            for peer in self.control_peers() {
                self.send(&peer, &MeshMessage::Hello(hello.clone()));
            }
        }
        self.tick_calls(now);
        self.tick_servers(now);
        if now >= self.newest_due {
            self.tell_newest(now);
        }
        if now >= self.peers_due {
            self.tell_peers(now);
        }
        let leads = self.replica.consensus.is_leader();
        if leads != self.was_leader {
            self.was_leader = leads;
            let term = self.replica.consensus.term().0;
            info!(self.log, "Lead changed"; "leads" => leads, "term" => term);
        }
        let number = self.replica.state.manifest_number().0;
        metrics::note_control(number, self.replica.consensus.term().0, leads);
    }

    /// Carries out what the consensus decided, until nothing is left.
    pub(super) fn flush(&mut self) {
        loop {
            let now = self.clock.now();
            let flushed = self.replica.flush();
            if !flushed.busy && flushed.answers.is_empty() {
                break;
            }
            for (to, message) in flushed.messages {
                self.send_log(now, &to, message);
            }
            for answered in flushed.answers {
                self.send_answer(answered);
            }
        }
        let now = self.clock.now();
        if self.replica.state.manifest_number().0 > self.told {
            self.tell_newest(now);
            self.answer_calls();
        }
    }

    /// Whether the leader was heard of late, so that this VM is not cut off from the log.
    pub(super) fn in_touch(&self, now: Moment) -> bool {
        let consensus = &self.replica.consensus;
        if consensus.is_leader() {
            return consensus.has_lease(now);
        }
        consensus.leader().is_some()
            && consensus
                .leader_contact()
                .is_some_and(|heard| now.since(heard) < IN_TOUCH)
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
    pub(super) fn entries(&self) -> Vec<VmId> {
        let peers = self.links.peers();
        let entries = peers.iter().filter(|peer| !peer.control);
        entries.map(WirePeer::vm_id).collect()
    }

    fn take_link(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Up(peer) => self.link_up(now, &peer),
            LinkEvent::Down(_) => {}
            LinkEvent::Message(from, message) => self.take_message(now, &from, message),
        }
    }

    fn link_up(&mut self, now: Moment, peer: &WirePeer) {
        if peer.control {
            self.links.dial(peer.address, false);
        }
        self.find_founders();
        let vm = peer.vm_id();
        let servers = self.servers.all(now);
        self.send(&vm, &MeshMessage::Servers(servers));
        self.send(&vm, &self.newest(now));
        self.peers_due = now;
    }

    /// Learns the names of the founders from their links.
    fn find_founders(&mut self) {
        if self.founders.is_empty() || !self.formation.founders.is_empty() {
            return;
        }
        let mut known: BTreeMap<_, _> = self
            .links
            .peers()
            .into_iter()
            .map(|peer| (peer.address, peer.vm_id()))
            .collect();
        known.insert(self.own.address, self.own.vm_id());
        let names = self
            .founders
            .iter()
            .map(|address| known.get(address).cloned());
        if let Some(names) = names.collect::<Option<Vec<_>>>() {
            self.formation.founders = names;
        }
    }

    fn take_message(&mut self, now: Moment, from: &VmId, message: MeshMessage) {
        match message {
            MeshMessage::Raft { from, to, message } => {
                let (from, to) = (ReplicaId::from(from), ReplicaId::from(to));
                // A message for the VM's lost disk is not for this replica.
                if *self.replica.consensus.id() == to {
                    self.replica.consensus.receive(now, &from, message.into());
                }
            }
            MeshMessage::Hello(hello) => {
                let consensus = &mut self.replica.consensus;
                if let Some(answer) = self.formation.take(now, consensus, &hello) {
                    self.send(from, &MeshMessage::Hello(answer));
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
                self.confirm(now, requester);
            }
            MeshMessage::ProposeReply { id, result } => self.take_proposed(id, result),
            MeshMessage::PullManifest { have } => self.send_manifest(now, from, have),
            MeshMessage::Servers(servers) => self.take_servers(now, servers),
            MeshMessage::Peers(peers) => {
                for peer in peers.iter().filter(|peer| peer.control) {
                    self.links.dial(peer.address, false);
                }
            }
            _ => {}
        }
    }

    pub(super) fn propose(&mut self, now: Moment, requester: Requester, command: Command) {
        if self
            .replica
            .propose(now, requester.clone(), command)
            .is_err()
        {
            self.refuse_proposal(requester);
        }
    }

    pub(super) fn confirm(&mut self, now: Moment, requester: Requester) {
        if self.replica.confirm(now, requester.clone()).is_err() {
            self.refuse_proposal(requester);
        }
    }

    fn refuse_proposal(&mut self, requester: Requester) {
        let answer = None;
        self.send_answer(Answered { requester, answer });
    }

    fn send_log(&mut self, now: Moment, to: &ReplicaId, message: Message) {
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

    fn send_answer(&mut self, answered: Answered) {
        let Requester { vm, id } = answered.requester;
        let result = match answered.answer {
            Some(answer) => WireProposeResult::Committed(answer.into()),
            None => WireProposeResult::NotLeader {
                leader: self.leader().map(|vm| vm.to_string()),
            },
        };
        if vm == self.own.vm_id() {
            self.take_proposed(id, result);
        } else {
            self.send(&vm, &MeshMessage::ProposeReply { id, result });
        }
    }

    /// Returns the VM that leads the control log, as far as this VM knows.
    pub(super) fn leader(&self) -> Option<VmId> {
        let leader = self.replica.consensus.leader()?;
        Some(leader.vm.clone())
    }

    fn newest(&self, now: Moment) -> MeshMessage {
        MeshMessage::NewestManifest {
            number: self.replica.state.manifest_number().0,
            current: self.in_touch(now),
        }
    }

    fn tell_newest(&mut self, now: Moment) {
        self.newest_due = now + NEWEST_PERIOD;
        self.told = self.replica.state.manifest_number().0;
        let newest = self.newest(now);
        for entry in self.entries() {
            self.send(&entry, &newest);
        }
    }

    fn tell_peers(&mut self, now: Moment) {
        self.peers_due = now + PEERS_PERIOD;
        let mut peers = self.links.peers();
        peers.push(self.own.clone());
        let message = MeshMessage::Peers(peers.clone());
        for peer in &peers {
            if peer.vm != self.own.vm {
                self.send(&peer.vm_id(), &message);
            }
        }
    }

    fn send_manifest(&self, now: Moment, to: &VmId, have: u64) {
        let Some(manifest) = &self.replica.state.manifest else {
            return;
        };
        if manifest.number.0 <= have {
            return;
        }
        let message = MeshMessage::Manifest {
            number: manifest.number.0,
            bytes: Arc::clone(&manifest.bytes),
            current: self.in_touch(now),
        };
        self.send(to, &message);
    }
}
