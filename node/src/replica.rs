//! This VM's replica of the control log: consensus, disk and control state together.

pub mod disk;
pub(crate) mod formation;

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
use slog::{Logger, info, o};

use self::disk::{Disk, DiskJob, DiskReport, OpenedDisk};
use crate::constants::{COMPACT_BYTES, COMPACT_ENTRIES};
use crate::logging;

/// Who waits for a proposal.
#[derive(Clone, Debug)]
pub(crate) struct Requester {
    pub(crate) vm: VmId,
    pub(crate) id: u64,
}

/// An answer on its way to who waits for it.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) requester: Requester,
    /// `None` where the proposal was lost with a leader.
    pub(crate) answer: Option<Answer>,
}

/// The replica of a VM with a disk.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) consensus: Consensus,
    pub(crate) state: ControlState,
    disk: Disk,
    /// Proposals of this leader that are not committed yet.
    waiting: BTreeMap<Index, (Term, Requester)>,
    applied: Index,
    compacted: Index,
    /// Bytes of commands applied since the last compaction.
    grown: usize,
    /// Time stamped on the last command; never goes back.
    stamped: Moment,
    log: Logger,
}

impl Replica {
    pub(crate) fn open(
        now: Moment,
        vm: &VmId,
        opened: OpenedDisk,
        report: impl Fn(DiskReport) + Send + 'static,
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
        let disk = Disk::spawn(opened, report, &log)?;
        Ok(Self {
            consensus,
            state,
            disk,
            waiting: BTreeMap::new(),
            applied: snapshot.index,
            compacted: snapshot.index,
            grown: 0,
            stamped: now,
            log,
        })
    }

    /// Proposes a command for `requester`.
    pub(crate) fn propose(
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

    /// Confirms for `requester` that this replica leads, by an entry that holds nothing.
    ///
    /// The answer is the number of the newest manifest; no newer one was accepted before the call.
    pub(crate) fn confirm(&mut self, now: Moment, requester: Requester) -> Result<(), NotLeader> {
        let (term, index) = self.consensus.propose(now, Payload::Noop)?;
        self.waiting.insert(index, (term, requester));
        Ok(())
    }

    /// Takes in what the disk thread has synced; returns messages that may go out now.
    pub(crate) fn take_report(&mut self, report: DiskReport) -> Vec<(ReplicaId, Message)> {
        if let Some((term, index)) = report.last {
            self.consensus.mark_synced(index, term);
        }
        report.messages
    }

    /// Hands the lead over, where this replica has it.
    pub(crate) fn hand_over(&mut self) {
        if self.consensus.transfer_leadership() {
            info!(self.log, "Handing over the lead");
        }
    }

    /// Puts the leader's time into commands that need one.
    fn stamp(&mut self, now: Moment, mut command: Command) -> Command {
        self.stamped = self.stamped.max(now);
        let stamped = self.stamped;
        if let Command::Claim { now, .. } | Command::AcquireOrderLease { now, .. } = &mut command {
            *now = stamped;
        }
        command
    }

    /// Carries out what the consensus decided; returns answers and messages to send at once.
    pub(crate) fn flush(&mut self) -> Flushed {
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
                Output::SendAfterSync(to, message) => job.messages.push((to, message)),
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
            Payload::Noop => Some(Answer::Accepted(self.state.manifest_number())),
            Payload::Voters(voters) => {
                let voters: Vec<_> = voters.iter().map(|voter| voter.vm.as_str()).collect();
                info!(self.log, "Voters changed"; "voters" => voters.join(" "));
                None
            }
            Payload::Command(bytes) => {
                self.grown += bytes.len();
                Some(self.apply_command(&bytes))
            }
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
        let entries = self.applied.0 - self.compacted.0;
        if entries < COMPACT_ENTRIES && self.grown < COMPACT_BYTES {
            return;
        }
        self.compacted = self.applied;
        self.grown = 0;
        self.consensus
            .compact(self.applied, encode_state(&self.state));
    }
}

#[derive(Debug, Default)]
pub(crate) struct Flushed {
    /// Whether there was anything to carry out.
    pub(crate) busy: bool,
    /// Messages to send at once.
    pub(crate) messages: Vec<(ReplicaId, Message)>,
    /// Answers to proposals.
    pub(crate) answers: Vec<Answered>,
}
