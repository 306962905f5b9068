//! Tests of disks that refuse calls for a while, as full ones do.

use std::fs;
use std::io::ErrorKind;
use std::path::Path;
use std::sync::{Arc, Mutex};

use merlinrudder_store::{DataFolder, Disk, DiskCall, DiskFault, StoreErrorKind};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

const CASES: u32 = 150;

/// Disk whose calls fail on order.
#[derive(Clone, Default)]
struct TestDisk {
    state: Arc<Mutex<DiskState>>,
}

#[derive(Default)]
struct DiskState {
    /// Whether a call of a kind fails, by a predicate.
    failing: Option<fn(DiskCall) -> bool>,
    /// Bytes that a failing write takes.
    written: usize,
    /// Calls since the last `take_calls`.
    calls: Vec<DiskCall>,
}

impl TestDisk {
    fn open(&self, folder: &Path) -> (DataFolder, Vec<Vec<u8>>) {
        let (data, recovered) = DataFolder::open_on(&self.disk(), folder).expect("it opens");
        (data, recovered.payloads)
    }

    fn disk(&self) -> Disk {
        let state = Arc::clone(&self.state);
        Disk::with_faults(move |call, _| {
            let mut state = state.lock().expect("not poisoned");
            state.calls.push(call);
            let fault = DiskFault {
                error: ErrorKind::StorageFull,
                written: state.written,
            };
            state
                .failing
                .is_some_and(|fails| fails(call))
                .then_some(fault)
        })
    }

    /// Lets calls fail, and failing writes take `written` bytes first.
    fn fail(&self, written: usize, calls: fn(DiskCall) -> bool) {
        let mut state = self.state.lock().expect("not poisoned");
        state.failing = Some(calls);
        state.written = written;
    }

    fn heal(&self) {
        self.state.lock().expect("not poisoned").failing = None;
    }

    fn take_calls(&self) -> Vec<DiskCall> {
        std::mem::take(&mut self.state.lock().expect("not poisoned").calls)
    }
}

/// Calls that a disk without room refuses.
fn takes_bytes(call: DiskCall) -> bool {
    matches!(call, DiskCall::CreateFile | DiskCall::Write(_))
}

fn payloads(names: &[&str]) -> Vec<Vec<u8>> {
    names.iter().map(|name| name.as_bytes().to_vec()).collect()
}

fn read_payloads(folder: &Path) -> Vec<Vec<u8>> {
    DataFolder::open(folder).expect("it opens").1.payloads
}

fn journal_files(folder: &Path) -> usize {
    let entries = fs::read_dir(folder).expect("the folder");
    let names = entries.map(|entry| entry.expect("an entry").file_name());
    names
        .filter(|name| name.to_string_lossy().starts_with("journal"))
        .count()
}

#[test]
fn what_a_full_disk_took_of_an_append_is_not_read_back() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = TestDisk::default();
    let (mut data, _) = disk.open(folder.path());
    data.journal
        .append(&payloads(&["one"]))
        .expect("it appends");
    for written in 0..40 {
        disk.fail(written, takes_bytes);
        data.journal
            .append(&payloads(&["lost", "lost too"]))
            .expect_err("the disk is full");
    }
    disk.heal();
    data.journal
        .append(&payloads(&["two"]))
        .expect("it appends");
    drop(data);
    assert_eq!(read_payloads(folder.path()), payloads(&["one", "two"]));
}

/// Guards against a replacement that is written anew for ever, with one more file each time.
#[test]
fn an_old_file_that_cannot_be_removed_does_not_fail_the_replacement() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = TestDisk::default();
    let (mut data, _) = disk.open(folder.path());
    data.journal
        .append(&payloads(&["one"]))
        .expect("it appends");
    disk.fail(0, |call| call == DiskCall::RemoveFile);
    data.journal
        .replace(&payloads(&["all"]))
        .expect("the new records are durable");
    data.journal
        .append(&payloads(&["more"]))
        .expect("it appends");
    disk.heal();
    data.journal
        .append(&payloads(&["last"]))
        .expect("it appends");
    assert_eq!(journal_files(folder.path()), 1, "the old file is gone");
    drop(data);
    assert_eq!(
        read_payloads(folder.path()),
        payloads(&["all", "more", "last"])
    );
}

/// Guards against a compaction that takes the room that appends need.
#[test]
fn a_replacement_without_room_leaves_no_file_behind() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = TestDisk::default();
    let (mut data, _) = disk.open(folder.path());
    data.journal
        .append(&payloads(&["one"]))
        .expect("it appends");
    disk.fail(30, |call| matches!(call, DiskCall::Write(_)));
    data.journal
        .replace(&payloads(&["all", "of", "it"]))
        .expect_err("there is no room");
    assert_eq!(journal_files(folder.path()), 1);
}

/// Guards against the loss of what is appended after a replacement that failed late.
#[test]
fn records_appended_after_a_failed_replacement_are_read_back() {
    let steps: [fn(DiskCall) -> bool; 5] = [
        |call| call == DiskCall::CreateFile,
        |call| matches!(call, DiskCall::Write(_)),
        |call| call == DiskCall::SyncFile,
        |call| call == DiskCall::Rename,
        |call| call == DiskCall::SyncFolder,
    ];
    for (step, fails) in steps.into_iter().enumerate() {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let disk = TestDisk::default();
        let (mut data, _) = disk.open(folder.path());
        data.journal
            .append(&payloads(&["one"]))
            .expect("it appends");
        disk.fail(10, fails);
        data.journal
            .replace(&payloads(&["all"]))
            .expect_err("a step fails");
        disk.heal();
        data.journal
            .append(&payloads(&["two"]))
            .expect("it appends");
        drop(data);
        let read = read_payloads(folder.path());
        assert_eq!(read, payloads(&["one", "two"]), "step {step}");
    }
}

/// Guards against a rename that a power loss undoes after records were acknowledged.
///
/// The process that renamed the file was killed before it synced the folder.
#[test]
fn names_are_durable_before_an_older_file_is_removed() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = TestDisk::default();
    let (mut data, _) = disk.open(folder.path());
    data.journal
        .append(&payloads(&["one"]))
        .expect("it appends");
    drop(data);
    let newest = folder.path().join("journal-0000000000000002");
    fs::copy(folder.path().join("journal-0000000000000001"), newest).expect("a copy");
    disk.take_calls();
    let (data, read) = disk.open(folder.path());
    let calls = disk.take_calls();
    drop(data);
    assert_eq!(read, payloads(&["one"]));
    let synced = calls.iter().position(|call| *call == DiskCall::SyncFolder);
    let removed = calls.iter().position(|call| *call == DiskCall::RemoveFile);
    assert!(synced.is_some() && synced < removed, "{calls:?}");
}

/// Guards against a data folder that a start on a full disk left unusable.
#[test]
fn a_folder_that_was_created_on_a_full_disk_opens_later() {
    // Each start fails one call later than the one before.
    for allowed in 0..20 {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let left = Mutex::new(allowed);
        let disk = Disk::with_faults(move |_, _| {
            let mut left = left.lock().expect("not poisoned");
            let fault = DiskFault {
                error: ErrorKind::StorageFull,
                written: 7,
            };
            if *left == 0 {
                return Some(fault);
            }
            *left -= 1;
            None
        });
        drop(DataFolder::open_on(&disk, folder.path()));
        let (mut data, recovered) = DataFolder::open(folder.path()).expect("it opens");
        assert!(recovered.payloads.is_empty(), "{allowed} calls");
        data.journal
            .append(&payloads(&["one"]))
            .expect("it appends");
        drop(data);
        assert_eq!(read_payloads(folder.path()), payloads(&["one"]));
    }
}

/// Operation of a journal on a disk of which single calls fail.
#[derive(Clone, Debug)]
enum Step {
    Append(Vec<Vec<u8>>),
    Replace(Vec<Vec<u8>>),
    Reopen,
}

fn any_step() -> impl Strategy<Value = Step> {
    let records = || vec(vec(any::<u8>(), 0..20), 1..4);
    proptest::prop_oneof![
        4 => records().prop_map(Step::Append),
        2 => records().prop_map(Step::Replace),
        1 => any::<bool>().prop_map(|_| Step::Reopen),
    ]
}

/// Opens the folder, which must hold the expected records; `None` if a call fails.
fn open_and_check(
    disk: &Disk,
    folder: &Path,
    expected: &[Vec<u8>],
) -> Result<Option<DataFolder>, String> {
    match DataFolder::open_on(disk, folder) {
        Ok((data, recovered)) if recovered.payloads == expected => Ok(Some(data)),
        Ok((_, recovered)) => Err(format!("read {:?}, not {expected:?}", recovered.payloads)),
        Err(error) if error.kind() == StoreErrorKind::Io => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

/// Runs the steps on a disk on which each call fails with a chance of `percent`.
///
/// The records that were reported as durable must be read back, in order and without others.
fn run_steps(seed: u64, percent: u64, steps: &[Step]) -> Result<(), String> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let state = Mutex::new(seed | 1);
    let disk = Disk::with_faults(move |_, _| {
        let mut state = state.lock().expect("not poisoned");
        // Xorshift.
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        let fault = DiskFault {
            error: ErrorKind::StorageFull,
            written: usize::try_from(*state >> 8 & 63).expect("small"),
        };
        ((*state >> 20) % 100 < percent).then_some(fault)
    });
    let mut expected = Vec::new();
    let mut opened = None;
    for step in steps {
        if opened.is_none() {
            opened = open_and_check(&disk, folder.path(), &expected)?;
        }
        let Some(data) = &mut opened else {
            continue;
        };
        match step {
            Step::Append(records) => {
                if data.journal.append(records).is_ok() {
                    expected.extend(records.iter().cloned());
                }
            }
            Step::Replace(records) => {
                if data.journal.replace(records).is_ok() {
                    expected.clone_from(records);
                }
            }
            Step::Reopen => {
                // An append that failed may be read back, unless a later one succeeded.
                if data.journal.append(&[]).is_ok() {
                    opened = None;
                }
            }
        }
    }
    drop(opened);
    Ok(())
}

#[test]
fn a_journal_on_a_faulty_disk_reads_back_what_it_reported() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let input = (any::<u64>(), 0..40_u64, vec(any_step(), 5..40));
    let result = TestRunner::new_with_rng(config, rng).run(&input, |(seed, percent, steps)| {
        run_steps(seed, percent, &steps).map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
