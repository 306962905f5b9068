//! System calls that change a data folder.
//!
//! Tests make single calls fail, as a full or faulty disk does.

use std::fmt::{self, Debug, Formatter};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

/// A system call that changes the data folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DiskCall {
    /// Creates an empty file, or truncates it.
    CreateFile,
    /// Writes this many bytes.
    Write(usize),
    /// Sets the length of a file.
    SetLength,
    /// Makes the content of a file durable.
    SyncFile,
    /// Renames a file.
    Rename,
    /// Makes the names in a folder durable.
    SyncFolder,
    /// Removes a file.
    RemoveFile,
}

/// How a call fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DiskFault {
    /// Error of the call.
    pub error: io::ErrorKind,
    /// Bytes that a write takes before it fails.
    pub written: usize,
}

/// Decides for each call on a path whether it fails.
type FaultSource = dyn Fn(DiskCall, &Path) -> Option<DiskFault> + Send + Sync;

/// Access to the disk of a data folder.
#[derive(Clone, Default)]
pub struct Disk {
    /// `None` outside of tests.
    faults: Option<Arc<FaultSource>>,
}

impl Disk {
    /// Creates access to a disk on which `faults` decides which calls fail.
    pub fn with_faults(
        faults: impl Fn(DiskCall, &Path) -> Option<DiskFault> + Send + Sync + 'static,
    ) -> Self {
        Self {
            faults: Some(Arc::new(faults)),
        }
    }

    pub(crate) fn create_file(&self, path: &Path) -> io::Result<File> {
        self.check(DiskCall::CreateFile, path)?;
        File::create(path)
    }

    pub(crate) fn write(&self, file: &mut File, path: &Path, bytes: &[u8]) -> io::Result<()> {
        if let Some(fault) = self.fault(DiskCall::Write(bytes.len()), path) {
            file.write_all(&bytes[..fault.written.min(bytes.len())])?;
            return Err(fault.error.into());
        }
        file.write_all(bytes)
    }

    pub(crate) fn set_length(&self, file: &File, path: &Path, length: u64) -> io::Result<()> {
        self.check(DiskCall::SetLength, path)?;
        file.set_len(length)
    }

    /// Makes the content of a file durable, and its length if that is needed to read it.
    pub(crate) fn sync_data(&self, file: &File, path: &Path) -> io::Result<()> {
        self.check(DiskCall::SyncFile, path)?;
        file.sync_data()
    }

    /// Makes the content and the metadata of a file durable.
    pub(crate) fn sync_all(&self, file: &File, path: &Path) -> io::Result<()> {
        self.check(DiskCall::SyncFile, path)?;
        file.sync_all()
    }

    pub(crate) fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check(DiskCall::Rename, to)?;
        fs::rename(from, to)
    }

    pub(crate) fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.check(DiskCall::SyncFolder, folder)?;
        File::open(folder)?.sync_all()
    }

    pub(crate) fn remove_file(&self, path: &Path) -> io::Result<()> {
        self.check(DiskCall::RemoveFile, path)?;
        fs::remove_file(path)
    }

    fn check(&self, call: DiskCall, path: &Path) -> io::Result<()> {
        match self.fault(call, path) {
            Some(fault) => Err(fault.error.into()),
            None => Ok(()),
        }
    }

    fn fault(&self, call: DiskCall, path: &Path) -> Option<DiskFault> {
        self.faults.as_ref().and_then(|faults| faults(call, path))
    }
}

impl Debug for Disk {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let faulty = self.faults.is_some();
        f.debug_struct("Disk").field("faulty", &faulty).finish()
    }
}

pub(crate) fn open_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().append(true).open(path)
}
