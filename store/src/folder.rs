//! The data folder as a whole: lock, identity, journal.

use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

use crate::error::StoreError;
use crate::frame::{read_frame, write_frame};
use crate::journal::{Journal, write_beside};

const LOCK: &str = "lock";
const IDENTITY: &str = "identity";
const IDENTITY_TEMPORARY: &str = "identity.tmp";

/// An open data folder; the lock is held until it is dropped.
#[derive(Debug)]
pub struct DataFolder {
    /// Random number made when the folder was new; another folder has another one.
    pub incarnation: u64,
    /// The journal.
    pub journal: Journal,
    _lock: File,
}

/// What was in the folder.
#[derive(Debug)]
pub struct Recovered {
    /// Whether the folder was made by this call.
    pub fresh: bool,
    /// Payloads of the journal in order.
    pub payloads: Vec<Vec<u8>>,
}

impl DataFolder {
    /// Opens the folder at `path`, and makes it where there is none.
    ///
    /// # Errors
    /// Fails where another process uses the folder, where it is damaged, or where the operating
    /// system refuses a call.
    pub fn open(path: &Path) -> Result<(Self, Recovered), StoreError> {
        fs::create_dir_all(path).map_err(|source| StoreError::io(path, "cannot make", source))?;
        let lock = take_lock(&path.join(LOCK))?;
        let identity = path.join(IDENTITY);
        let fresh = !identity.exists();
        if fresh {
            check_no_journal(path)?;
            make_identity(path, &identity)?;
        }
        let incarnation = read_identity(&identity)?;
        let (journal, payloads) = Journal::open(path)?;
        Ok((
            Self {
                incarnation,
                journal,
                _lock: lock,
            },
            Recovered { fresh, payloads },
        ))
    }
}

fn take_lock(path: &PathBuf) -> Result<File, StoreError> {
    let file = File::create(path).map_err(|source| StoreError::io(path, "cannot make", source))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::locked(path)),
        Err(TryLockError::Error(source)) => Err(StoreError::io(path, "cannot lock", source)),
    }
}

/// A journal without an identity is not a new folder: someone removed a file.
fn check_no_journal(path: &Path) -> Result<(), StoreError> {
    let failed = |source| StoreError::io(path, "cannot list", source);
    for entry in fs::read_dir(path).map_err(failed)? {
        let name = entry.map_err(failed)?.file_name();
        if name.to_string_lossy().starts_with("journal-") {
            let detail = "there is a journal but no identity file".to_owned();
            return Err(StoreError::damaged(path, detail));
        }
    }
    Ok(())
}

fn make_identity(folder: &Path, path: &Path) -> Result<(), StoreError> {
    let incarnation = fastrand::u64(1..);
    let mut bytes = Vec::new();
    write_frame(&mut bytes, 0, &incarnation.to_le_bytes());
    write_beside(folder, &folder.join(IDENTITY_TEMPORARY), path, &bytes)
}

fn read_identity(path: &Path) -> Result<u64, StoreError> {
    let bytes = fs::read(path).map_err(|source| StoreError::io(path, "cannot read", source))?;
    let payload = read_frame(&bytes).and_then(|frame| frame.payload.try_into().ok());
    let payload = payload
        .ok_or_else(|| StoreError::damaged(path, "the identity file is damaged".to_owned()))?;
    Ok(u64::from_le_bytes(payload))
}
