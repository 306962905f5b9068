//! The disk thread: it writes the records of the control log and syncs many jobs together.

use std::path::Path;
use std::thread;

use anyhow::{Context, Result};
use crossbeam::channel::{Receiver, Sender, unbounded};
use merlinrudder_core::consensus::log::{Log, recover};
use merlinrudder_core::consensus::message::{HardState, Index, Message, Record, ReplicaId, Term};
use merlinrudder_store::{DataFolder, StoreError};
use merlinrudder_wire::log::{decode_record, encode_record};

use super::Control;
use super::input::{ControlInput, DiskReport};

/// An opened data folder and what it held.
#[derive(Debug)]
pub struct OpenedDisk {
    folder: DataFolder,
    /// Term and vote.
    pub hard: HardState,
    /// Snapshot and entries.
    pub log: Log,
}

impl OpenedDisk {
    /// Opens the data folder and reads the control log.
    ///
    /// # Errors
    /// Fails where the folder is locked, damaged, or of another version.
    pub fn open(path: &Path) -> Result<Self> {
        let (folder, recovered) = DataFolder::open(path)?;
        let records: Vec<_> = recovered
            .payloads
            .iter()
            .map(|payload| decode_record(payload))
            .collect::<Result<_, _>>()
            .with_context(|| format!("data folder {}", path.display()))?;
        let (hard, log) = recover(records);
        Ok(Self { folder, hard, log })
    }

    /// Returns the random incarnation of the folder.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.folder.incarnation
    }
}

/// One job of the disk thread.
#[derive(Debug)]
pub struct DiskJob {
    /// Records to append, or the whole journal where `replace` is set.
    pub records: Vec<Record>,
    /// Whether the records replace the journal.
    pub replace: bool,
    /// Messages that may go out once the job is synced.
    pub messages: Vec<(ReplicaId, Message)>,
}

/// Handle of the disk thread.
#[derive(Clone, Debug)]
pub struct Disk {
    jobs: Sender<DiskJob>,
}

impl Disk {
    /// Starts the thread on an opened folder.
    ///
    /// # Errors
    /// Fails where no thread can be started.
    pub fn spawn(opened: OpenedDisk, control: &Control) -> Result<Self> {
        let (jobs, receiver) = unbounded();
        let control = control.clone();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(opened.folder, &receiver, &control))?;
        Ok(Self { jobs })
    }

    /// Hands a job over.
    pub fn write(&self, job: DiskJob) {
        // After a failure the thread is gone, and the control thread knows.
        drop(self.jobs.send(job));
    }
}

fn run(mut folder: DataFolder, jobs: &Receiver<DiskJob>, control: &Control) {
    while let Ok(first) = jobs.recv() {
        let batch: Vec<_> = std::iter::once(first).chain(jobs.try_iter()).collect();
        match write_batch(&mut folder, batch) {
            Ok(report) => control.send(ControlInput::Disk(report)),
            Err(error) => {
                control.send(ControlInput::Disk(DiskReport::Failed(error.to_string())));
                return;
            }
        }
    }
}

fn write_batch(folder: &mut DataFolder, batch: Vec<DiskJob>) -> Result<DiskReport, StoreError> {
    let mut last = None;
    let mut messages = Vec::new();
    let mut waiting = Vec::new();
    for job in batch {
        last = last_entry(&job.records).or(last);
        messages.extend(job.messages);
        let encoded = job.records.into_iter().map(encode_record);
        if job.replace {
            // What waits is part of the replacement: it was decided before it.
            waiting.clear();
            folder.journal.replace(&encoded.collect::<Vec<_>>())?;
        } else {
            waiting.extend(encoded);
        }
    }
    if !waiting.is_empty() {
        folder.journal.append(&waiting)?;
    }
    Ok(DiskReport::Synced { last, messages })
}

fn last_entry(records: &[Record]) -> Option<(Term, Index)> {
    records.iter().rev().find_map(|record| match record {
        Record::Entry(entry) => Some((entry.term, entry.index)),
        Record::Snapshot(snapshot) => Some((snapshot.term, snapshot.index)),
        Record::HardState(_) => None,
    })
}
