//! Tests of the disk thread on a disk that refuses calls for a while, as a full one does.

use std::io::ErrorKind;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, unbounded};
use merlinrudder_core::consensus::message::{
    Body, Entry, HardState, Index, Message, Payload, Record, ReplicaId, Snapshot, Term,
};
use merlinrudder_core::names::VmId;
use merlinrudder_node::logging;
use merlinrudder_node::replica::disk::{
    DiskJob, DiskWriter, JournalRewrite, OpenedDisk, SyncReport,
};
use merlinrudder_store::{Disk, DiskCall, DiskFault};
use tempfile::TempDir;

/// Longest wait for the disk thread, which retries several times a second.
const PATIENCE: Duration = Duration::from_secs(10);
/// Bytes of a command in these tests.
const COMMAND_BYTES: usize = 10_000;

/// Disk thread on a disk of which some calls fail.
struct TestWriter {
    folder: TempDir,
    failing: Arc<AtomicBool>,
    /// Most bytes that were written in one call.
    largest_write: Arc<AtomicUsize>,
    writer: DiskWriter,
    reports: Receiver<SyncReport>,
}

impl TestWriter {
    /// Starts the thread; the calls that `fails` selects fail from the start.
    fn spawn(fails: fn(DiskCall, &Path) -> bool) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let failing = Arc::new(AtomicBool::new(false));
        let largest_write = Arc::new(AtomicUsize::new(0));
        let (is_failing, largest) = (Arc::clone(&failing), Arc::clone(&largest_write));
        let disk = Disk::with_faults(move |call, path| {
            let failing = is_failing.load(Ordering::SeqCst) && fails(call, path);
            if let DiskCall::Write(bytes) = call
                && !failing
            {
                largest.fetch_max(bytes, Ordering::SeqCst);
            }
            failing.then_some(DiskFault {
                error: ErrorKind::StorageFull,
                written: 100,
            })
        });
        let opened = OpenedDisk::open_on(&disk, folder.path()).expect("it opens");
        failing.store(true, Ordering::SeqCst);
        let (sender, reports) = unbounded();
        let report = move |report| drop(sender.send(report));
        let writer = DiskWriter::spawn(opened, report, &logging::discard()).expect("a thread");
        Self {
            folder,
            failing,
            largest_write,
            writer,
            reports,
        }
    }

    fn heal(&self) {
        self.failing.store(false, Ordering::SeqCst);
    }

    /// Returns the reports up to the one with the entry at `index`.
    fn reports_until(&self, index: u64) -> Vec<SyncReport> {
        let mut reports = Vec::new();
        let end = Instant::now() + PATIENCE;
        while let Ok(report) = self.reports.recv_deadline(end) {
            let last = report.last_synced;
            reports.push(report);
            if last == Some((Term(1), Index(index))) {
                return reports;
            }
        }
        panic!("entry {index} is not reported as synced");
    }

    /// Stops the thread and returns the positions of the last snapshot and the last entry.
    fn read_back(self) -> (u64, u64) {
        let Self {
            folder,
            writer,
            reports,
            ..
        } = self;
        drop(writer);
        // The thread ends once it has written everything, and releases the folder last.
        while reports.recv_timeout(PATIENCE).is_ok() {}
        let end = Instant::now() + PATIENCE;
        let opened = loop {
            match OpenedDisk::open(folder.path()) {
                Ok(opened) => break opened,
                Err(error) => assert!(Instant::now() < end, "{error:#}"),
            }
            std::thread::sleep(Duration::from_millis(10));
        };
        (opened.log.snapshot().index.0, opened.log.last_index().0)
    }
}

/// Calls that a disk without any room refuses.
fn takes_bytes(call: DiskCall, _: &Path) -> bool {
    matches!(call, DiskCall::CreateFile | DiskCall::Write(_))
}

/// Calls that a disk refuses which has room for appends, but not for a second file.
fn takes_second_file(call: DiskCall, path: &Path) -> bool {
    takes_bytes(call, path) && path.ends_with("journal.tmp")
}

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        term: Term(1),
        index: Index(index),
        payload: Payload::Command(Arc::from(vec![7; COMMAND_BYTES])),
    })
}

fn replica(vm: &str) -> ReplicaId {
    ReplicaId {
        vm: VmId::from(vm.to_owned()),
        incarnation: 1,
    }
}

/// Returns the job of a follower that acknowledges the entry at `index`.
fn append(index: u64) -> DiskJob {
    let body = Body::AppendReply {
        success: true,
        index: Index(index),
    };
    let reply = Message {
        term: Term(1),
        body,
    };
    DiskJob {
        records: vec![entry(index)],
        rewrite: None,
        messages: vec![(replica("leader"), reply)],
    }
}

/// Returns the job that compacts the log up to `index`, which is the last entry.
fn compact(index: u64) -> DiskJob {
    let snapshot = Snapshot {
        index: Index(index),
        term: Term(1),
        ..Snapshot::default()
    };
    let records = vec![
        Record::Snapshot(snapshot),
        Record::HardState(HardState::default()),
    ];
    let optional = true;
    DiskJob {
        rewrite: Some(JournalRewrite { records, optional }),
        ..DiskJob::default()
    }
}

#[test]
fn what_waits_for_a_full_disk_is_durable_once_there_is_room() {
    let disk = TestWriter::spawn(takes_bytes);
    for index in 1..=20 {
        disk.writer.enqueue(append(index));
    }
    std::thread::sleep(Duration::from_millis(500));
    assert!(disk.reports.is_empty(), "nothing is acknowledged before");
    disk.heal();
    disk.reports_until(20);
    assert_eq!(disk.read_back(), (0, 20));
}

/// Guards against a replica that is silent because its compaction finds no room.
#[test]
fn entries_are_acknowledged_while_a_compaction_finds_no_room() {
    let disk = TestWriter::spawn(takes_second_file);
    // A small snapshot would take less room than the entries that it replaces.
    disk.writer.enqueue(append(1));
    disk.reports_until(1);
    disk.writer.enqueue(compact(1));
    disk.writer.enqueue(append(2));
    disk.reports_until(2);
    assert_eq!(disk.read_back(), (0, 2));
}

#[test]
fn a_compaction_is_written_once_there_is_room() {
    let disk = TestWriter::spawn(takes_bytes);
    disk.writer.enqueue(append(1));
    disk.writer.enqueue(compact(1));
    disk.writer.enqueue(append(2));
    disk.heal();
    disk.reports_until(2);
    assert_eq!(disk.read_back(), (1, 2));
}

/// Guards against jobs, records and replies that pile up in memory behind a full disk.
#[test]
fn jobs_do_not_pile_up_behind_a_full_disk() {
    let disk = TestWriter::spawn(takes_bytes);
    let last = 1_000;
    for index in 1..=last {
        disk.writer.enqueue(append(index));
        if index % 10 == 0 {
            disk.writer.enqueue(compact(index));
        }
    }
    let end = Instant::now() + PATIENCE;
    while disk.writer.queued() > 0 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(disk.writer.queued(), 0, "the jobs are taken and joined");
    disk.heal();
    let reports = disk.reports_until(last);
    let messages: usize = reports.iter().map(|report| report.messages.len()).sum();
    assert!(messages <= 2, "{messages} replies to the same leader");
    // Of 10 MB of commands, at most those since the last compaction are kept.
    let largest = disk.largest_write.load(Ordering::SeqCst);
    assert!(
        largest <= 11 * COMMAND_BYTES,
        "{largest} bytes in one write"
    );
    assert_eq!(disk.read_back(), (last, last));
}
