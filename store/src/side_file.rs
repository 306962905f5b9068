//! A small file beside the journal that is replaced as a whole.
//!
//! It may be lost or outdated after a power loss, so it holds only what makes a start easier.

use std::fs;
use std::path::{Path, PathBuf};

use crate::disk::Disk;
use crate::error::StoreError;
use crate::frame::{read_frame, write_frame};
use crate::journal::write_atomic;

/// A checksummed file of a data folder, outside of its journal.
#[derive(Debug)]
pub struct SideFile {
    disk: Disk,
    folder: PathBuf,
    path: PathBuf,
    temp: PathBuf,
}

impl SideFile {
    /// Names a file of the folder; it need not exist.
    #[must_use]
    pub fn new(disk: &Disk, folder: &Path, name: &str) -> Self {
        Self {
            disk: disk.clone(),
            folder: folder.to_owned(),
            path: folder.join(name),
            temp: folder.join(format!("{name}.tmp")),
        }
    }

    /// Returns the content; `None` if the file is missing or corrupted.
    #[must_use]
    pub fn read(&self) -> Option<Vec<u8>> {
        let bytes = fs::read(&self.path).ok()?;
        read_frame(&bytes).map(|frame| frame.payload.to_vec())
    }

    /// Replaces the content and syncs it.
    ///
    /// # Errors
    /// Fails if a system call fails; the file then has its old content or the new one.
    pub fn replace(&self, content: &[u8]) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, 0, content);
        write_atomic(&self.disk, &self.folder, &self.temp, &self.path, &bytes)
    }
}
