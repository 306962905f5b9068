//! Tests of disks that refuse calls for a while, as full ones do.

use std::fs;
use std::io::ErrorKind;
use std::path::Path;
use std::sync::{Arc, Mutex};

use merlinrudder_store::{DataFolder, Disk, DiskCall, DiskFault};

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
}

impl TestDisk {
    fn open(&self, folder: &Path) -> (DataFolder, Vec<Vec<u8>>) {
        let (data, recovered) = DataFolder::open_on(&self.disk(), folder).expect("it opens");
        (data, recovered.payloads)
    }

    fn disk(&self) -> Disk {
        let state = Arc::clone(&self.state);
        Disk::with_faults(move |call, _| {
            let state = state.lock().expect("not poisoned");
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
