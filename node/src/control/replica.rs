//! This VM's replica of the control log: consensus, disk and control state together.

use std::collections::BTreeMap;
use std::sync::Arc;

use anyhow::{Context, Result};
use merlinrudder_core::consensus::message::{
    Entry, Index, Message, Payload, Record, ReplicaId, Term,
};
use merlinrudder_core::consensus::{Consensus, NotLeader, Output};
use merlinrudder_core::control::{Answer, Command, ControlState};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::control::{decode_command, decode_state, encode_command, encode_state};
use merlinrudder_wire::mesh::{MeshMessage, WireProposed};
use slog::{Logger, error, info, o};

use super::disk::{Disk, DiskJob, OpenedDisk};
use super::input::DiskReport;
use super::{Control, ControlThread};
use crate::constants::COMPACT_ENTRIES;
use crate::{logging, metrics};

/// Who waits for a proposal.
#[derive(Clone, Debug)]
pub(super) struct Requester {
    pub(super) vm: VmId,
    pub(super) id: u64,
}

/// An answer on its way to who waits for it.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) requester: Requester,
    /// `None` where the proposal was lost with a leader.
    pub(super) answer: Option<Answer>,
}

/// The replica of a VM with a disk.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) consensus: Consensus,
    pub(super) state: ControlState,
    disk: Disk,
    /// Proposals of this leader that are not committed yet.
    waiting: BTreeMap<Index, (Term, Requester)>,
    applied: Index,
    compacted: Index,
    /// Time stamped on the last command; never goes back.
    stamped: Moment,
    log: Logger,
}

impl Replica {
    pub(super) fn open(
        now: Moment,
        vm: &VmId,
        opened: OpenedDisk,
        control: &Control,
        log: &Logger,
    ) -> Result<Self> {
        let log = log.new(o!("part" => "log"));
        let own = ReplicaId {
            vm: vm.clone(),
            incarnation: opened.incarnation(),
        };
        let snapshot = opened.log.snapshot().clone();
        let state = decode_state(&snapshot.data).context("the snapshot of the control log")?;
        info!(log, "Opened"; "incarnation" => own.incarnation, "snapshot" => snapshot.index.0,
            "last" => opened.log.last_index().0, "term" => opened.hard.term.0);
        let seed = own.incarnation;
        let consensus = Consensus::open(now, own, opened.hard.clone(), opened.log.clone(), seed);
        let disk = Disk::spawn(opened, control)?;
        Ok(Self {
            consensus,
            state,
            disk,
            waiting: BTreeMap::new(),
            applied: snapshot.index,
            compacted: snapshot.index,
            stamped: now,
            log,
        })
    }

    /// Proposes a command for `requester`.
    pub(super) fn propose(
        &mut self,
        now: Moment,
        requester: Requester,
        command: Command,
    ) -> Result<(), NotLeader> {
        let command = self.stamp(now, command);
        let payload = Payload::Command(encode_command(command));
        let (term, index) = self.consensus.propose(now, payload)?;
        self.waiting.insert(index, (term, requester));
        Ok(())
    }

    /// Hands the lead over, where this replica has it.
    pub(super) fn hand_over(&mut self) {
        if self.consensus.hand_over() {
            info!(self.log, "Handing over the lead");
        }
    }

    /// Puts the leader's time into commands that need one.
    fn stamp(&mut self, now: Moment, mut command: Command) -> Command {
        self.stamped = self.stamped.max(now);
        let stamped = self.stamped;
        if let Command::Claim { now, .. } | Command::LeaseOrders { now, .. } = &mut command {
            *now = stamped;
        }
        command
    }

    /// Carries out what the consensus decided; returns answers and messages to send at once.
    fn flush(&mut self) -> Flushed {
        let mut flushed = Flushed::default();
        let mut job = DiskJob {
            records: Vec::new(),
            replace: false,
            messages: Vec::new(),
        };
        for output in self.consensus.take_outputs() {
            flushed.busy = true;
            match output {
                Output::Persist(record) => self.persist(&mut job, record),
                Output::Send(to, message) => flushed.messages.push((to, message)),
                Output::SendSynced(to, message) => job.messages.push((to, message)),
                Output::Apply(entry) => flushed.answers.extend(self.apply(entry)),
                Output::Restore(snapshot) => self.restore(&snapshot.data, snapshot.index),
            }
        }
        if !self.consensus.is_leader() {
            flushed.answers.extend(self.drop_waiting());
        }
        if !job.records.is_empty() || !job.messages.is_empty() {
            self.disk.write(job);
        }
        self.compact();
        flushed
    }

    /// Adds a record to a job; a snapshot has the whole journal written anew.
    fn persist(&self, job: &mut DiskJob, record: Record) {
        if !matches!(record, Record::Snapshot(_)) {
            job.records.push(record);
            return;
        }
        // Records that were decided before in the same step are part of the journal.
        let messages = std::mem::take(&mut job.messages);
        job.records.clear();
        let records = self.consensus.journal();
        self.disk.write(DiskJob {
            records,
            replace: true,
            messages,
        });
    }

    fn apply(&mut self, entry: Entry) -> Option<Answered> {
        self.applied = entry.index;
        let answer = match entry.payload {
            Payload::Noop => None,
            Payload::Voters(voters) => {
                let voters: Vec<_> = voters.iter().map(|voter| voter.vm.as_str()).collect();
                info!(self.log, "Voters changed"; "voters" => voters.join(" "));
                None
            }
            Payload::Command(bytes) => Some(self.apply_command(&bytes)),
        };
        let (term, requester) = self.waiting.remove(&entry.index)?;
        let answer = answer.filter(|_| term == entry.term);
        Some(Answered { requester, answer })
    }

    fn apply_command(&mut self, bytes: &Arc<[u8]>) -> Answer {
        match decode_command(bytes) {
            Ok(command) => self.state.apply(command),
            // Skipping a committed command would let the replicas differ.
            Err(error) => {
                logging::stop_process(&self.log, format_args!("Cannot read a command: {error}"))
            }
        }
    }

    fn restore(&mut self, data: &[u8], index: Index) {
        match decode_state(data) {
            Ok(state) => self.state = state,
            Err(error) => {
                logging::stop_process(&self.log, format_args!("Cannot read a snapshot: {error}"))
            }
        }
        self.applied = index;
        self.compacted = index;
        info!(self.log, "Restored from a snapshot"; "index" => index.0);
    }

    fn drop_waiting(&mut self) -> Vec<Answered> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_values()
            .map(|(_, requester)| Answered {
                requester,
                answer: None,
            })
            .collect()
    }

    fn compact(&mut self) {
        if self.applied.0 - self.compacted.0 < COMPACT_ENTRIES {
            return;
        }
        self.compacted = self.applied;
        self.consensus
            .compact(self.applied, encode_state(&self.state));
    }
}

#[derive(Debug, Default)]
struct Flushed {
    busy: bool,
    messages: Vec<(ReplicaId, Message)>,
    answers: Vec<Answered>,
}

impl ControlThread {
    pub(super) fn tick_replica(&mut self, now: Moment) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        replica.consensus.tick(now);
        let consensus = &replica.consensus;
        let number = replica.state.manifest_number().0;
        metrics::note_control(number, consensus.term().0, consensus.is_leader());
        self.tick_formation(now);
    }

    pub(super) fn take_log_message(
        &mut self,
        now: Moment,
        from: &ReplicaId,
        to: &ReplicaId,
        message: Message,
    ) {
        // A message for the VM's lost disk is not for this replica.
        if let Some(replica) = self.replica.as_mut().filter(|r| r.consensus.own() == to) {
            replica.consensus.receive(now, from, message);
        }
    }

    pub(super) fn take_disk_report(&mut self, report: DiskReport) {
        let now = self.now();
        match report {
            DiskReport::Synced { last, messages } => {
                if let (Some(replica), Some((term, index))) = (&mut self.replica, last) {
                    replica.consensus.synced(index, term);
                }
                for (to, message) in messages {
                    self.send_log(now, to, message);
                }
            }
            DiskReport::Failed(detail) => {
                error!(self.log, "The disk failed; this VM leaves the control log";
                    "error" => detail);
                self.replica = None;
                self.formation = None;
            }
        }
    }

    pub(super) fn flush_replica(&mut self) -> bool {
        let now = self.now();
        let Some(replica) = &mut self.replica else {
            return false;
        };
        let flushed = replica.flush();
        for (to, message) in flushed.messages {
            self.send_log(now, to, message);
        }
        for answered in flushed.answers {
            self.send_answer(answered);
        }
        if flushed.busy {
            self.adopt_own_state(now);
        }
        flushed.busy
    }

    fn send_log(&mut self, now: Moment, to: ReplicaId, message: Message) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let own = replica.consensus.own().clone();
        if to == own {
            replica.consensus.receive(now, &own, message);
            return;
        }
        let vm = to.vm.clone();
        let message = MeshMessage::Log {
            from: own.into(),
            to: to.into(),
            message: message.into(),
        };
        self.mesh.send(&vm, message);
    }

    fn send_answer(&mut self, answered: Answered) {
        let Requester { vm, id } = answered.requester;
        let result = match answered.answer {
            Some(answer) => WireProposed::Committed(answer.into()),
            None => WireProposed::NotLeader {
                leader: self.leader_vm().map(|vm| vm.to_string()),
            },
        };
        if vm == self.own.vm {
            self.take_proposed(&vm, id, result);
        } else {
            self.mesh.send(&vm, MeshMessage::Proposed { id, result });
        }
    }

    /// Returns the VM that leads the control log, as far as this VM knows.
    pub(super) fn leader_vm(&self) -> Option<VmId> {
        let replica = self.replica.as_ref()?;
        replica.consensus.leader().map(|leader| leader.vm.clone())
    }
}
