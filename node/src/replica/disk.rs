//! The disk thread, which writes the records of the control log.
//!
//! Jobs that are queued at the same time share one sync.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use crossbeam::channel::{Receiver, Sender, unbounded};
use merlinrudder_core::consensus::log::{Log, recover};
use merlinrudder_core::consensus::message::{HardState, Index, Message, Record, ReplicaId, Term};
use merlinrudder_store::{DataFolder, StoreError};
use merlinrudder_wire::consensus::{decode_record, encode_record};
use slog::{Logger, error, info, warn};

use crate::constants::DISK_RETRY_DELAY;

/// Time of a sync from which it is logged as slow: half of the shortest election timeout.
const SLOW_SYNC: Duration = Duration::from_millis(300);

/// Report of the disk thread after a sync.
#[derive(Debug, Default)]
pub struct SyncReport {
    /// Last entry or snapshot that is synced; `None` if the jobs held neither.
    pub last_synced: Option<(Term, Index)>,
    /// Messages that had to wait for the sync.
    pub messages: Vec<(ReplicaId, Message)>,
}

/// An opened data folder with the control log recovered from it.
#[derive(Debug)]
pub struct OpenedDisk {
    folder: DataFolder,
    /// Current term and vote.
    pub hard_state: HardState,
    /// Last snapshot and the entries after it.
    pub log: Log,
}

impl OpenedDisk {
    /// Opens the data folder and recovers the control log.
    ///
    /// # Errors
    /// Fails if the folder is locked or damaged, or has another format version.
    pub fn open(path: &Path) -> Result<Self> {
        let (folder, recovered) = DataFolder::open(path)?;
        let records: Vec<_> = recovered
            .payloads
            .iter()
            .map(|payload| decode_record(payload))
            .collect::<Result<_, _>>()
            .with_context(|| {
                format!(
                    "cannot decode the journal in data folder {}",
                    path.display()
                )
            })?;
        let (hard_state, log) = recover(records);
        Ok(Self {
            folder,
            hard_state,
            log,
        })
    }

    /// Returns the random number drawn when the folder was created.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.folder.incarnation
    }
}

/// Records to write in one step, and the messages that depend on them.
#[derive(Debug)]
pub struct DiskJob {
    /// Records to append, or the whole journal if `replace` is set.
    pub records: Vec<Record>,
    /// Whether the records replace the journal instead of extending it.
    pub replace: bool,
    /// Messages to send only once the job is synced.
    pub messages: Vec<(ReplicaId, Message)>,
}

/// Handle of the disk thread.
#[derive(Clone, Debug)]
pub struct DiskWriter {
    jobs: Sender<DiskJob>,
}

impl DiskWriter {
    /// Starts the disk thread, which calls `report` after each sync.
    ///
    /// # Errors
    /// Fails if the thread cannot be spawned.
    pub fn spawn(
        opened: OpenedDisk,
        report: impl Fn(SyncReport) + Send + 'static,
        log: &Logger,
    ) -> Result<Self> {
        let (jobs, receiver) = unbounded();
        let log = log.clone();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run_writer(opened.folder, &receiver, report, &log))?;
        Ok(Self { jobs })
    }

    /// Queues a job without waiting for it.
    pub fn enqueue(&self, job: DiskJob) {
        // The thread runs as long as any handle exists, so the job is always received.
        drop(self.jobs.send(job));
    }
}

fn run_writer(
    mut folder: DataFolder,
    jobs: &Receiver<DiskJob>,
    report: impl Fn(SyncReport),
    log: &Logger,
) {
    while let Ok(first) = jobs.recv() {
        let batch = Batch::new(std::iter::once(first).chain(jobs.try_iter()));
        report(batch.write_with_retry(&mut folder, log));
    }
}

/// Jobs that are written and synced together.
struct Batch {
    /// Encoded records that replace the journal.
    replacement: Option<Vec<Vec<u8>>>,
    /// Encoded records to append to the journal or to its replacement.
    appended: Vec<Vec<u8>>,
    report: SyncReport,
}

impl Batch {
    fn new(jobs: impl Iterator<Item = DiskJob>) -> Self {
        let mut batch = Self {
            replacement: None,
            appended: Vec::new(),
            report: SyncReport::default(),
        };
        for job in jobs {
            batch.report.last_synced = last_entry(&job.records).or(batch.report.last_synced);
            batch.report.messages.extend(job.messages);
            let encoded = job.records.into_iter().map(encode_record);
            if job.replace {
                // The replacement already contains the records of earlier jobs.
                batch.appended.clear();
                batch.replacement = Some(encoded.collect());
            } else {
                batch.appended.extend(encoded);
            }
        }
        batch
    }

    /// Writes the batch, retrying until it succeeds.
    ///
    /// A full disk may get free space again.
    fn write_with_retry(mut self, folder: &mut DataFolder, log: &Logger) -> SyncReport {
        let mut failed = false;
        let start = Instant::now();
        while let Err(error) = self.try_write(folder) {
            if !failed {
                error!(log, "Writing to the data folder failed; retrying"; "error" => %error);
            }
            failed = true;
            thread::sleep(DISK_RETRY_DELAY);
        }
        if failed {
            info!(log, "Writing to the data folder succeeded again");
        }
        let elapsed = start.elapsed();
        if elapsed >= SLOW_SYNC {
            warn!(log, "Slow sync of the data folder"; "elapsed_ms" => elapsed.as_millis(),
                "messages" => self.report.messages.len());
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
