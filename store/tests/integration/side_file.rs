//! Files beside the journal that are replaced as a whole.

use std::fs;
use std::io::ErrorKind;

use merlinrudder_store::{DataFolder, Disk, DiskCall, DiskFault, SideFile};

/// Guards against a start that fails, or believes bytes that were torn, for a file that may be lost.
#[test]
fn a_missing_or_corrupted_side_file_has_no_content() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = SideFile::new(&Disk::default(), folder.path(), "peers");
    assert_eq!(file.read(), None);
    file.replace(b"first").expect("written");
    file.replace(b"second").expect("written");
    assert_eq!(file.read().as_deref(), Some(&b"second"[..]));
    let path = folder.path().join("peers");
    let mut bytes = fs::read(&path).expect("readable");
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).expect("written");
        assert_eq!(file.read(), None, "{length} bytes");
    }
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("written");
    assert_eq!(file.read(), None);
}

/// Guards against a full disk that costs the old content, and against a folder that cannot be opened.
#[test]
fn a_failed_replacement_keeps_the_old_content() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let sound = SideFile::new(&Disk::default(), folder.path(), "peers");
    sound.replace(b"first").expect("written");
    let full = Disk::with_faults(|call, _path| {
        matches!(call, DiskCall::Write(_)).then_some(DiskFault {
            error: ErrorKind::StorageFull,
            written: 3,
        })
    });
    let file = SideFile::new(&full, folder.path(), "peers");
    file.replace(b"second").expect_err("a full disk");
    assert_eq!(sound.read().as_deref(), Some(&b"first"[..]));
    let (data, _recovered) = DataFolder::open(folder.path()).expect("opens");
    assert_eq!(data.journal.len(), 0);
}
