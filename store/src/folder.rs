//! Opening of a data folder: lock, identity and journal.

use std::fs::{self, File, TryLockError};
use std::path::Path;

use crate::disk::Disk;
use crate::error::StoreError;
use crate::frame::{read_frame, write_frame};
use crate::journal::{Journal, write_atomic};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const IDENTITY_TEMP: &str = "identity.tmp";

/// An open data folder, locked until it is dropped.
#[derive(Debug)]
pub struct DataFolder {
    /// Random number drawn when the folder was created, which tells folders apart.
    pub incarnation: u64,
    /// Journal to which records are appended.
    pub journal: Journal,
    _lock: File,
}

/// Content of a data folder when it was opened.
#[derive(Debug)]
pub struct Recovered {
    /// Whether the folder had no identity and was initialized.
    pub created: bool,
    /// Payloads of the journal's records in order.
    pub payloads: Vec<Vec<u8>>,
}

impl DataFolder {
    /// Opens the folder at `path`, or creates it if it does not exist.
    ///
    /// # Errors
    /// Fails if another process holds the lock, if the folder is corrupted, or if a system call
    /// fails.
    pub fn open(path: &Path) -> Result<(Self, Recovered), StoreError> {
        Self::open_on(&Disk::default(), path)
    }

    /// Opens the folder at `path` on a disk whose calls may fail.
    ///
    /// # Errors
    /// As [`DataFolder::open`].
    pub fn open_on(disk: &Disk, path: &Path) -> Result<(Self, Recovered), StoreError> {
        fs::create_dir_all(path)
            .map_err(|source| StoreError::io(path, "cannot create folder", source))?;
        let lock = acquire_lock(disk, &path.join(LOCK_FILE))?;
        let identity = path.join(IDENTITY_FILE);
        let created = !identity.exists();
        if created {
            check_no_journal(path)?;
            create_identity(disk, path, &identity)?;
        }
        let incarnation = read_identity(&identity)?;
        let (journal, payloads) = Journal::open(disk, path)?;
        Ok((
            Self {
                incarnation,
                journal,
                _lock: lock,
            },
            Recovered { created, payloads },
        ))
    }
}

fn acquire_lock(disk: &Disk, path: &Path) -> Result<File, StoreError> {
    let file = disk
        .create_file(path)
        .map_err(|source| StoreError::io(path, "cannot create lock file", source))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::locked(path)),
        Err(TryLockError::Error(source)) => Err(StoreError::io(path, "cannot lock file", source)),
    }
}

/// Fails if there is a journal, because its identity file must have been removed.
fn check_no_journal(path: &Path) -> Result<(), StoreError> {
    let io_error = |source| StoreError::io(path, "cannot list folder", source);
    for entry in fs::read_dir(path).map_err(io_error)? {
        let name = entry.map_err(io_error)?.file_name();
        if name.to_string_lossy().starts_with("journal-") {
            let detail = "the folder has a journal but no identity file".to_owned();
            return Err(StoreError::corrupted(path, detail));
        }
    }
    Ok(())
}

fn create_identity(disk: &Disk, folder: &Path, path: &Path) -> Result<(), StoreError> {
    let incarnation = fastrand::u64(1..);
    let mut bytes = Vec::new();
    write_frame(&mut bytes, 0, &incarnation.to_le_bytes());
    write_atomic(disk, folder, &folder.join(IDENTITY_TEMP), path, &bytes)
}

fn read_identity(path: &Path) -> Result<u64, StoreError> {
    let bytes = fs::read(path)
        .map_err(|source| StoreError::io(path, "cannot read identity file", source))?;
    let payload = read_frame(&bytes).and_then(|frame| frame.payload.try_into().ok());
    let payload = payload
        .ok_or_else(|| StoreError::corrupted(path, "the identity file is corrupted".to_owned()))?;
    Ok(u64::from_le_bytes(payload))
}
