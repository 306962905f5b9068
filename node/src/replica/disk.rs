//! The disk thread, which writes the records of the control log.
//!
//! Jobs that are queued at the same time share one sync.

mod batch;

use std::error::Error;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use crossbeam::channel::{Receiver, Sender, unbounded};
use merlinrudder_core::consensus::log::{Log, recover};
use merlinrudder_core::consensus::message::{HardState, Index, Message, Record, ReplicaId, Term};
use merlinrudder_store::{DataFolder, Disk, StoreError};
use merlinrudder_wire::consensus::decode_record;
use slog::{Logger, error, info, warn};

use self::batch::{Batch, Written};
use crate::constants::DISK_RETRY_DELAY;
use crate::metrics;

/// Time of a sync from which it is logged as slow: half of the shortest election timeout.
const SLOW_SYNC: Duration = Duration::from_millis(300);
/// Interval at which failed writes are logged while they go on.
const FAILURE_LOG_PERIOD: Duration = Duration::from_secs(5);

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
        Self::open_on(&Disk::default(), path)
    }

    /// Opens the data folder on a disk whose calls may fail.
    ///
    /// # Errors
    /// As [`OpenedDisk::open`].
    pub fn open_on(disk: &Disk, path: &Path) -> Result<Self> {
        let (folder, recovered) = DataFolder::open_on(disk, path)?;
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
#[derive(Debug, Default)]
pub struct DiskJob {
    /// Records to append.
    pub records: Vec<Record>,
    /// Journal to write instead; it contains the records of this job and of all before.
    pub rewrite: Option<JournalRewrite>,
    /// Messages to send only once the job is synced.
    pub messages: Vec<(ReplicaId, Message)>,
}

/// Content of a rewritten journal.
#[derive(Debug)]
pub struct JournalRewrite {
    /// All records of the new journal.
    pub records: Vec<Record>,
    /// Whether appending the records of the jobs leads to the same log, as with a compaction.
    ///
    /// A snapshot of the leader is in the rewritten journal only.
    pub optional: bool,
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

    /// Returns the number of jobs that the thread has not taken yet.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.jobs.len()
    }
}

fn run_writer(
    mut folder: DataFolder,
    jobs: &Receiver<DiskJob>,
    report: impl Fn(SyncReport),
    log: &Logger,
) {
    while let Ok(first) = jobs.recv() {
        let mut batch = Batch::default();
        batch.add(first);
        write_with_retry(&mut batch, &mut folder, jobs, log);
        report(batch.into_report());
    }
}

/// Writes a batch and the jobs that are queued by then, retrying until it succeeds.
///
/// A full disk may get free space again. The jobs that are queued meanwhile join the batch, in which
/// a rewritten journal replaces earlier records, so that they do not pile up.
fn write_with_retry(
    batch: &mut Batch,
    folder: &mut DataFolder,
    jobs: &Receiver<DiskJob>,
    log: &Logger,
) {
    let mut retries = Retries::new();
    loop {
        for job in jobs.try_iter() {
            batch.add(job);
        }
        match batch.try_write(folder) {
            Ok(Written::Whole) => break,
            Ok(Written::WithoutRewrite) => {
                metrics::count_compaction_skipped();
                warn!(log, "No room to rewrite the journal; appended to it";
                    "bytes" => folder.journal.len());
                break;
            }
            Err(error) => retries.record(&error, batch, log),
        }
        thread::sleep(DISK_RETRY_DELAY);
    }
    retries.finish(batch, log);
}

/// Failed attempts at writing a batch.
#[derive(Debug)]
struct Retries {
    attempts: usize,
    start: Instant,
    /// When a failure was last logged.
    logged: Option<Instant>,
}

impl Retries {
    fn new() -> Self {
        Self {
            attempts: 0,
            start: Instant::now(),
            logged: None,
        }
    }

    /// Counts a failed attempt, and logs the first one and then one in each period.
    fn record(&mut self, error: &StoreError, batch: &Batch, log: &Logger) {
        self.attempts += 1;
        metrics::count_disk_failure();
        metrics::set_disk_failing(self.start.elapsed());
        let is_recent = |logged: Instant| logged.elapsed() < FAILURE_LOG_PERIOD;
        if self.logged.is_some_and(is_recent) {
            return;
        }
        self.logged = Some(Instant::now());
        let cause = error.source().map(ToString::to_string);
        error!(log, "Writing to the data folder failed; retrying"; "error" => %error,
            "cause" => cause, "attempts" => self.attempts, "records" => batch.records(),
            "messages" => batch.messages(), "elapsed_ms" => self.start.elapsed().as_millis());
    }

    /// Logs that the batch was written after failures, or slowly.
    fn finish(&self, batch: &Batch, log: &Logger) {
        let elapsed = self.start.elapsed();
        if self.attempts > 0 {
            metrics::set_disk_failing(Duration::ZERO);
            info!(log, "Writing to the data folder succeeded again"; "attempts" => self.attempts,
                "messages" => batch.messages(), "elapsed_ms" => elapsed.as_millis());
        }
        if elapsed >= SLOW_SYNC {
            warn!(log, "Slow sync of the data folder"; "elapsed_ms" => elapsed.as_millis(),
                "messages" => batch.messages());
        }
    }
}
