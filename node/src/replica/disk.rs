//! The disk thread: it writes the records of the control log and syncs many jobs together.

use std::path::Path;
use std::thread;

use anyhow::{Context, Result};
use crossbeam::channel::{Receiver, Sender, unbounded};
use merlinrudder_core::consensus::log::{Log, recover};
use merlinrudder_core::consensus::message::{HardState, Index, Message, Record, ReplicaId, Term};
use merlinrudder_store::{DataFolder, StoreError};
use merlinrudder_wire::consensus::{decode_record, encode_record};
use slog::{Logger, error, info};

use crate::constants::DISK_RETRY;

/// What the disk thread has synced.
#[derive(Debug, Default)]
pub struct DiskReport {
    /// Last entry that is synced now.
    pub last: Option<(Term, Index)>,
    /// Messages that may go out now.
    pub messages: Vec<(ReplicaId, Message)>,
}

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
    pub fn spawn(
        opened: OpenedDisk,
        report: impl Fn(DiskReport) + Send + 'static,
        log: &Logger,
    ) -> Result<Self> {
        let (jobs, receiver) = unbounded();
        let log = log.clone();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(opened.folder, &receiver, report, &log))?;
        Ok(Self { jobs })
    }

    /// Hands a job over.
    pub fn write(&self, job: DiskJob) {
        // The thread lives as long as any handle, so a job always arrives.
        drop(self.jobs.send(job));
    }
}

fn run(
    mut folder: DataFolder,
    jobs: &Receiver<DiskJob>,
    report: impl Fn(DiskReport),
    log: &Logger,
) {
    while let Ok(first) = jobs.recv() {
        let batch = Batch::new(std::iter::once(first).chain(jobs.try_iter()));
        report(batch.write(&mut folder, log));
    }
}

/// Jobs that are synced together.
struct Batch {
    replacement: Option<Vec<Vec<u8>>>,
    /// Records after the replacement, or after what the journal holds.
    appended: Vec<Vec<u8>>,
    report: DiskReport,
}

impl Batch {
    fn new(jobs: impl Iterator<Item = DiskJob>) -> Self {
        let mut batch = Self {
            replacement: None,
            appended: Vec::new(),
            report: DiskReport::default(),
        };
        for job in jobs {
            batch.report.last = last_entry(&job.records).or(batch.report.last);
            batch.report.messages.extend(job.messages);
            let encoded = job.records.into_iter().map(encode_record);
            if job.replace {
                // What waits is part of the replacement: it was decided before it.
                batch.appended.clear();
                batch.replacement = Some(encoded.collect());
            } else {
                batch.appended.extend(encoded);
            }
        }
        batch
    }

    /// Writes until the disk has taken everything; a full disk may have room again later.
    fn write(mut self, folder: &mut DataFolder, log: &Logger) -> DiskReport {
        let mut failed = false;
        while let Err(error) = self.try_write(folder) {
            if !failed {
                error!(log, "The disk refuses writes; trying again"; "error" => %error);
            }
            failed = true;
            thread::sleep(DISK_RETRY);
        }
        if failed {
            info!(log, "The disk takes writes again");
        }
        self.report
    }

    fn try_write(&mut self, folder: &mut DataFolder) -> Result<(), StoreError> {
        if let Some(records) = &self.replacement {
            folder.journal.replace(records)?;
            self.replacement = None;
        }
        if !self.appended.is_empty() {
            folder.journal.append(&self.appended)?;
        }
        Ok(())
    }
}

fn last_entry(records: &[Record]) -> Option<(Term, Index)> {
    records.iter().rev().find_map(|record| match record {
        Record::Entry(entry) => Some((entry.term, entry.index)),
        Record::Snapshot(snapshot) => Some((snapshot.term, snapshot.index)),
        Record::HardState(_) => None,
    })
}
