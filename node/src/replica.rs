//! Replica of the control log on this VM.
//!
//! It connects the Raft state machine, the disk thread and the control state, which is built by
//! applying the committed commands.

pub mod disk;
pub(crate) mod formation;

use std::collections::BTreeMap;
use std::sync::Arc;

use anyhow::{Context, Result};
use merlinrudder_core::consensus::message::{
    Entry, Index, Message, Payload, Record, ReplicaId, Term,
};
use merlinrudder_core::consensus::{Consensus, NotLeader, Output};
use merlinrudder_core::control::{Answer, Command, ControlState, PublishedManifest};
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::publishing::{PublishDecision, Publishing};
use merlinrudder_core::time::Moment;
use merlinrudder_wire::control::{decode_command, decode_state, encode_command, encode_state};
use slog::{Logger, debug, info, o};

use self::disk::{DiskJob, DiskWriter, JournalRewrite, OpenedDisk, SyncReport};
use crate::constants::{COMPACT_BYTES, COMPACT_ENTRIES};
use crate::logging;

/// Origin of a proposal, to which the outcome is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Requester {
    pub(crate) vm: VmId,
    /// Number that the VM gave the proposal; the reply repeats it.
    pub(crate) id: u64,
}

/// Outcome of a proposal, to be sent to its requester.
#[derive(Debug)]
pub(crate) struct ProposalOutcome {
    pub(crate) requester: Requester,
    /// Result of the command; `None` if the leader changed before it was known.
    pub(crate) answer: Option<Answer>,
}

/// An entry that was appended as leader, and who waits for it.
#[derive(Debug)]
struct PendingProposal {
    term: Term,
    requester: Requester,
    /// Publishes that need no entry of their own, once this one is applied.
    joined: Vec<(Requester, PublishedManifest)>,
}

impl PendingProposal {
    /// Adds a publish, unless its requester waits already.
    fn join(&mut self, requester: Requester, published: PublishedManifest) {
        let mut joined = self.joined.iter().map(|(requester, _)| requester);
        if self.requester != requester && !joined.any(|joined| *joined == requester) {
            self.joined.push((requester, published));
        }
    }
}

/// Replica of the control log, with the control state built from it.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) consensus: Consensus,
    pub(crate) state: ControlState,
    disk: DiskWriter,
    /// Proposals appended as leader but not applied yet.
    pending: BTreeMap<Index, PendingProposal>,
    /// The newest manifest that was appended as leader.
    publishing: Publishing,
    /// Outcomes of proposals that needed no entry.
    answered: Vec<ProposalOutcome>,
    applied_index: Index,
    compacted_index: Index,
    /// Position of a compaction that is not passed to the disk yet.
    compacting: Option<Index>,
    /// Size of the commands applied since the last compaction.
    uncompacted_bytes: usize,
    /// Time set in the last command that carries one; never decreases.
    last_timestamp: Moment,
    /// Term and leader that were last logged.
    logged_leader: (Term, Option<ReplicaId>),
    log: Logger,
}

impl Replica {
    /// Restores the replica from the data folder and starts the disk thread.
    ///
    /// `report` is called on the disk thread after each sync.
    ///
    /// # Errors
    /// Fails if the snapshot cannot be decoded or the thread cannot be spawned.
    pub(crate) fn open(
        now: Moment,
        vm: &VmId,
        opened: OpenedDisk,
        report: impl Fn(SyncReport) + Send + 'static,
        log: &Logger,
    ) -> Result<Self> {
        let log = log.new(o!("part" => "log"));
        let own = ReplicaId {
            vm: vm.clone(),
            incarnation: opened.incarnation(),
        };
        let snapshot = opened.log.snapshot().clone();
        let state = decode_state(&snapshot.data)
            .context("cannot decode the snapshot of the control log")?;
        info!(log, "Opened the control log"; "incarnation" => own.incarnation,
            "snapshot" => snapshot.index.0, "last" => opened.log.last_index().0,
            "term" => opened.hard_state.term.0);
        let seed = own.incarnation;
        let consensus = Consensus::open(
            now,
            own,
            opened.hard_state.clone(),
            opened.log.clone(),
            seed,
        );
        let disk = DiskWriter::spawn(opened, report, &log)?;
        Ok(Self {
            consensus,
            state,
            disk,
            pending: BTreeMap::new(),
            publishing: Publishing::default(),
            answered: Vec::new(),
            applied_index: snapshot.index,
            compacted_index: snapshot.index,
            compacting: None,
            uncompacted_bytes: 0,
            last_timestamp: now,
            logged_leader: (Term(0), None),
            log,
        })
    }

    /// Appends a command of `requester` to the log as leader.
    ///
    /// # Errors
    /// Fails if this replica does not lead; the command is not appended then.
    pub(crate) fn propose(
        &mut self,
        now: Moment,
        requester: Requester,
        command: Command,
    ) -> Result<(), NotLeader> {
        if let Command::Publish(published) = &command
            && self.consensus.is_leader()
        {
            return self.publish(now, requester, published.clone());
        }
        let command = self.set_timestamp(now, command);
        self.append(now, requester, Payload::Command(encode_command(command)))?;
        Ok(())
    }

    /// Appends a manifest, or answers it by what was appended before.
    fn publish(
        &mut self,
        now: Moment,
        requester: Requester,
        published: PublishedManifest,
    ) -> Result<(), NotLeader> {
        let number = published.number;
        let applied = self.state.manifest.as_ref();
        let applied = applied.map(|applied| applied.number);
        let term = self.consensus.term();
        let decision = self
            .publishing
            .decide(number, applied, term, self.applied_index);
        debug!(self.log, "Publish proposed"; "number" => number.0, "requester" => %requester.vm,
            "bytes" => published.bytes.len(), "decision" => ?decision);
        match decision {
            PublishDecision::Append => {
                let command = encode_command(Command::Publish(published));
                let index = self.append(now, requester, Payload::Command(command))?;
                self.publishing.appended(number, term, index);
            }
            PublishDecision::Join(index) => {
                if let Some(pending) = self.pending.get_mut(&index) {
                    pending.join(requester, published);
                }
            }
            PublishDecision::Answer => {
                let answer = Some(self.state.apply(Command::Publish(published)));
                self.answered.push(ProposalOutcome { requester, answer });
            }
        }
        Ok(())
    }

    /// Appends an entry as leader; returns its position.
    fn append(
        &mut self,
        now: Moment,
        requester: Requester,
        payload: Payload,
    ) -> Result<Index, NotLeader> {
        let (term, index) = self.consensus.propose(now, payload)?;
        let pending = PendingProposal {
            term,
            requester,
            joined: Vec::new(),
        };
        self.pending.insert(index, pending);
        Ok(index)
    }

    /// Confirms to `requester` that this replica leads, by committing an empty entry.
    ///
    /// The answer holds the number of the newest manifest: no newer one was accepted before the
    /// call.
    ///
    /// # Errors
    /// Fails if this replica does not lead.
    pub(crate) fn confirm_leadership(
        &mut self,
        now: Moment,
        requester: Requester,
    ) -> Result<(), NotLeader> {
        self.append(now, requester, Payload::Noop)?;
        Ok(())
    }

    /// Whether an entry of the current term was applied, and with it all that was committed before.
    ///
    /// After a start, the applied state may miss entries that an earlier term has committed.
    pub(crate) fn is_caught_up(&self) -> bool {
        let applied_term = self.consensus.log().term_at(self.applied_index);
        applied_term == Some(self.consensus.term())
    }

    /// Handles a completed sync; returns the messages that had to wait for it.
    pub(crate) fn record_sync(&mut self, report: SyncReport) -> Vec<(ReplicaId, Message)> {
        if let Some((term, index)) = report.last_synced {
            self.consensus.mark_synced(index, term);
        }
        report.messages
    }

    /// Starts a transfer of the leadership if this replica leads.
    pub(crate) fn transfer_leadership(&mut self) {
        if self.consensus.transfer_leadership() {
            info!(self.log, "Transferring the leadership");
        }
    }

    /// Sets the leader's time in commands that carry one.
    fn set_timestamp(&mut self, now: Moment, mut command: Command) -> Command {
        self.last_timestamp = self.last_timestamp.max(now);
        let last_timestamp = self.last_timestamp;
        if let Command::Claim { now, .. } | Command::AcquireOrderLease { now, .. } = &mut command {
            *now = last_timestamp;
        }
        command
    }

    /// Carries out the pending outputs of the consensus.
    ///
    /// Returns the outcomes and messages to send at once.
    pub(crate) fn flush(&mut self) -> ReplicaOutputs {
        let mut outputs = ReplicaOutputs {
            outcomes: std::mem::take(&mut self.answered),
            ..ReplicaOutputs::default()
        };
        let mut job = DiskJob::default();
        for output in self.consensus.take_outputs() {
            outputs.progressed = true;
            match output {
                Output::Persist(record) => self.persist(&mut job, record),
                Output::Send(to, message) => outputs.messages.push((to, message)),
                Output::SendAfterSync(to, message) => job.messages.push((to, message)),
                Output::Apply(entry) => outputs.outcomes.extend(self.apply(entry)),
                Output::Restore(snapshot) => self.restore(&snapshot.data, snapshot.index),
            }
        }
        if !self.consensus.is_leader() {
            outputs.outcomes.extend(self.fail_pending());
        }
        if !job.records.is_empty() || !job.messages.is_empty() {
            self.disk.enqueue(job);
        }
        self.compact();
        self.log_leader();
        outputs
    }

    /// Logs the term and its leader when either has changed.
    fn log_leader(&mut self) {
        let current = (self.consensus.term(), self.consensus.leader().cloned());
        if current == self.logged_leader {
            return;
        }
        let leader = current.1.as_ref().map(|leader| leader.vm.to_string());
        info!(self.log, "Term or leader changed"; "term" => current.0.0, "leader" => leader,
            "last" => self.consensus.log().last_index().0,
            "committed" => self.consensus.commit_index().0);
        self.logged_leader = current;
    }

    /// Adds a record to a job; a snapshot instead queues the job with a rewrite of the journal.
    fn persist(&mut self, job: &mut DiskJob, record: Record) {
        let Record::Snapshot(snapshot) = record else {
            job.records.push(record);
            return;
        };
        let mut rewriting = std::mem::take(job);
        // The rewritten journal contains the records already collected in this job.
        rewriting.rewrite = Some(JournalRewrite {
            records: self.consensus.journal(),
            optional: self.compacting.take() == Some(snapshot.index),
        });
        self.disk.enqueue(rewriting);
    }

    /// Applies a committed entry; returns its outcomes if this replica proposed it.
    fn apply(&mut self, entry: Entry) -> Vec<ProposalOutcome> {
        self.applied_index = entry.index;
        let answer = match entry.payload {
            Payload::Noop => Some(Answer::Accepted(self.state.manifest_number())),
            Payload::Voters(voters) => {
                let voters: Vec<_> = voters.iter().map(|voter| voter.vm.as_str()).collect();
                info!(self.log, "Voters changed"; "voters" => voters.join(" "));
                None
            }
            Payload::Command(bytes) => {
                self.uncompacted_bytes += bytes.len();
                Some(self.apply_command(&bytes))
            }
        };
        let Some(pending) = self.pending.remove(&entry.index) else {
            return Vec::new();
        };
        let is_own = pending.term == entry.term;
        let mut outcomes = vec![ProposalOutcome {
            requester: pending.requester,
            answer: answer.filter(|_| is_own),
        }];
        for (requester, published) in pending.joined {
            // Nothing changes, as this manifest is not newer than the one that was applied.
            let answer = is_own.then(|| self.state.apply(Command::Publish(published)));
            outcomes.push(ProposalOutcome { requester, answer });
        }
        outcomes
    }

    fn apply_command(&mut self, bytes: &Arc<[u8]>) -> Answer {
        match decode_command(bytes) {
            Ok(Command::OrderEvacuation {
                zone,
                active,
                after,
            }) => self.order_evacuation(&zone, active, after),
            Ok(command) => self.state.apply(command),
            // A replica that skipped a committed command would diverge from the others.
            Err(error) => logging::stop_process(
                &self.log,
                format_args!("Cannot decode a committed command: {error}"),
            ),
        }
    }

    /// Applies an order to evacuate a zone, and logs a refusal.
    fn order_evacuation(&mut self, zone: &ZoneName, active: bool, after: u64) -> Answer {
        let order = Command::OrderEvacuation {
            zone: zone.clone(),
            active,
            after,
        };
        let answer = self.state.apply(order);
        if let Answer::EvacuationOvertaken(newest) = answer {
            info!(self.log, "Refused an overtaken order to evacuate"; "zone" => %zone,
                "active" => active, "after" => after, "newest" => newest);
        }
        answer
    }

    /// Replaces the control state with that of a snapshot at `index`.
    fn restore(&mut self, data: &[u8], index: Index) {
        match decode_state(data) {
            Ok(state) => self.state = state,
            Err(error) => {
                logging::stop_process(&self.log, format_args!("Cannot decode a snapshot: {error}"))
            }
        }
        self.applied_index = index;
        self.compacted_index = index;
        info!(self.log, "Restored from a snapshot"; "index" => index.0);
    }

    /// Fails all pending proposals, because this replica no longer leads.
    fn fail_pending(&mut self) -> Vec<ProposalOutcome> {
        let pending = std::mem::take(&mut self.pending);
        let requesters = pending.into_values().flat_map(|pending| {
            let joined = pending.joined.into_iter().map(|(requester, _)| requester);
            std::iter::once(pending.requester).chain(joined)
        });
        let outcome = |requester| ProposalOutcome {
            requester,
            answer: None,
        };
        requesters.map(outcome).collect()
    }

    /// Compacts the log once enough entries or bytes were applied since the last time.
    fn compact(&mut self) {
        let entries = self.applied_index.0 - self.compacted_index.0;
        if entries < COMPACT_ENTRIES && self.uncompacted_bytes < COMPACT_BYTES {
            return;
        }
        self.compacted_index = self.applied_index;
        self.compacting = Some(self.applied_index);
        self.uncompacted_bytes = 0;
        self.consensus
            .compact(self.applied_index, encode_state(&self.state));
    }
}

/// Result of carrying out the outputs of the consensus.
#[derive(Debug, Default)]
pub(crate) struct ReplicaOutputs {
    /// Whether the consensus had any output.
    pub(crate) progressed: bool,
    /// Messages to send without waiting for the disk.
    pub(crate) messages: Vec<(ReplicaId, Message)>,
    /// Outcomes of applied or failed proposals.
    pub(crate) outcomes: Vec<ProposalOutcome>,
}
