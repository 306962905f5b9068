//! Tests of the lock, the identity, incomplete records and corruption.

use std::fs::{self, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use merlinrudder_store::{DataFolder, StoreErrorKind};

fn journal_file(folder: &Path) -> PathBuf {
    let entries = fs::read_dir(folder)
        .expect("the folder")
        .map(|entry| entry.expect("an entry"));
    let mut paths: Vec<_> = entries
        .map(|entry| entry.path())
        .filter(|path| path.to_string_lossy().contains("journal-"))
        .collect();
    paths.sort();
    paths.pop().expect("a journal")
}

fn payloads(names: &[&str]) -> Vec<Vec<u8>> {
    names.iter().map(|name| name.as_bytes().to_vec()).collect()
}

/// Creates a folder whose journal has one record for each name.
fn folder_with(names: &[&str]) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut data, recovered) = DataFolder::open(folder.path()).expect("it opens");
    assert!(recovered.created);
    data.journal.append(&payloads(names)).expect("it appends");
    folder
}

fn read_payloads(folder: &Path) -> Vec<Vec<u8>> {
    DataFolder::open(folder).expect("it opens").1.payloads
}

#[test]
fn records_and_identity_survive_a_reopen() {
    let folder = folder_with(&["one", "two"]);
    let (data, recovered) = DataFolder::open(folder.path()).expect("it opens");
    assert!(!recovered.created);
    assert_eq!(recovered.payloads, payloads(&["one", "two"]));
    let incarnation = data.incarnation;
    drop(data);
    let (again, _) = DataFolder::open(folder.path()).expect("it opens");
    assert_eq!(again.incarnation, incarnation);
}

#[test]
fn folders_have_different_identities() {
    let (one, two) = (folder_with(&[]), folder_with(&[]));
    let open = |folder: &Path| DataFolder::open(folder).expect("it opens").0.incarnation;
    assert_ne!(open(one.path()), open(two.path()));
}

#[test]
fn a_locked_folder_cannot_be_opened() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let _open = DataFolder::open(folder.path()).expect("it opens");
    let error = DataFolder::open(folder.path()).expect_err("it is locked");
    assert_eq!(error.kind(), StoreErrorKind::Locked);
}

#[test]
fn an_incomplete_last_record_is_truncated_and_appending_continues() {
    let folder = folder_with(&["one", "two"]);
    let path = journal_file(folder.path());
    let length = fs::metadata(&path).expect("the journal").len();
    // The last record has 23 bytes: a header of 20 and the payload.
    for cut in 1..23 {
        let copy = tempfile::tempdir().expect("a temporary folder");
        for name in [
            "identity",
            path.file_name().and_then(|n| n.to_str()).expect("a name"),
        ] {
            fs::copy(folder.path().join(name), copy.path().join(name)).expect("a copy");
        }
        let file = OpenOptions::new()
            .write(true)
            .open(journal_file(copy.path()));
        file.expect("the copy")
            .set_len(length - cut)
            .expect("it is truncated");
        assert_eq!(
            read_payloads(copy.path()),
            payloads(&["one"]),
            "truncated by {cut} bytes"
        );
        let (mut data, _) = DataFolder::open(copy.path()).expect("it opens");
        data.journal
            .append(&payloads(&["three"]))
            .expect("it appends");
        drop(data);
        assert_eq!(read_payloads(copy.path()), payloads(&["one", "three"]));
    }
}

#[test]
fn corruption_before_a_valid_record_is_an_error() {
    let folder = folder_with(&["one", "two", "three"]);
    let path = journal_file(folder.path());
    let mut file = OpenOptions::new()
        .write(true)
        .open(&path)
        .expect("the journal");
    // The first record's payload starts at byte 20.
    file.seek(SeekFrom::Start(21)).expect("it seeks");
    file.write_all(b"X").expect("it is corrupted");
    drop(file);
    let error = DataFolder::open(folder.path()).expect_err("it is corrupted");
    assert_eq!(error.kind(), StoreErrorKind::Corrupted);
    assert!(
        error.to_string().contains("valid records follow"),
        "{error}"
    );
}

#[test]
fn a_replaced_journal_has_only_the_new_records() {
    let folder = folder_with(&["one", "two"]);
    let (mut data, _) = DataFolder::open(folder.path()).expect("it opens");
    data.journal
        .replace(&payloads(&["all"]))
        .expect("it is replaced");
    data.journal
        .append(&payloads(&["more"]))
        .expect("it appends");
    drop(data);
    assert_eq!(read_payloads(folder.path()), payloads(&["all", "more"]));
}

#[test]
fn a_temporary_file_of_an_unfinished_replacement_is_ignored() {
    let folder = folder_with(&["one"]);
    fs::write(folder.path().join("journal.tmp"), b"half a file").expect("a file");
    assert_eq!(read_payloads(folder.path()), payloads(&["one"]));
}

#[test]
fn a_journal_without_an_identity_is_an_error() {
    let folder = folder_with(&["one"]);
    fs::remove_file(folder.path().join("identity")).expect("it is removed");
    let error = DataFolder::open(folder.path()).expect_err("the identity is missing");
    assert_eq!(error.kind(), StoreErrorKind::Corrupted);
}
