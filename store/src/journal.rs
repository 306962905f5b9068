//! Append-only journal of records, compacted by writing a new file.

use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

use crate::disk::{self, Disk};
use crate::error::StoreError;
use crate::frame::{HEADER_BYTES, MAX_PAYLOAD_BYTES, contains_frame, read_frame, write_frame};

const FILE_PREFIX: &str = "journal-";
const TEMP_FILE: &str = "journal.tmp";

/// The open journal of a data folder.
#[derive(Debug)]
pub struct Journal {
    disk: Disk,
    folder: PathBuf,
    path: PathBuf,
    file: File,
    /// Number in the file name, incremented by each replacement.
    generation: u64,
    /// Sequence number of the next record; a file has them from 0 without gaps.
    sequence: u64,
    /// Size of the synced records in bytes.
    bytes: u64,
    /// Whether a write or sync failed; the file's content after `bytes` is then unknown.
    failed: bool,
    /// Earlier files that could not be removed yet; they are never read again.
    stale: Vec<PathBuf>,
    /// File of a failed replacement, which may exist: it would be read in place of this one.
    ///
    /// It must be gone before a record is appended.
    successor: Option<PathBuf>,
}

impl Journal {
    /// Opens the newest journal in `folder`, or creates one; also returns its payloads.
    ///
    /// # Errors
    /// Fails if a system call fails or the journal is corrupted.
    pub(crate) fn open(disk: &Disk, folder: &Path) -> Result<(Self, Vec<Vec<u8>>), StoreError> {
        let temp = folder.join(TEMP_FILE);
        if temp.exists() {
            remove(disk, &temp)?;
        }
        let generations = generations(folder)?;
        // The process that renamed the newest file may have ended before it synced the folder.
        disk.sync_folder(folder)
            .map_err(|source| StoreError::io(folder, "cannot sync folder", source))?;
        let Some(newest) = generations.last().copied() else {
            return Ok((Self::create(disk, folder, 1, &[])?, Vec::new()));
        };
        for old in &generations[..generations.len() - 1] {
            remove(disk, &journal_path(folder, *old))?;
        }
        Self::recover(disk, folder, newest)
    }

    /// Returns the size of the journal in bytes.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.bytes
    }

    /// Returns whether the journal has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Appends records and syncs them together; on success they are durable.
    ///
    /// # Errors
    /// Fails if a record is too large, or if the file cannot be written or synced. The same records
    /// may be appended again later: the next call first truncates what was partly written.
    pub fn append(&mut self, payloads: &[Vec<u8>]) -> Result<(), StoreError> {
        self.remove_stale();
        self.remove_successor()?;
        if self.failed {
            truncate_tail(&self.disk, &self.path, &self.file, self.bytes)?;
        }
        let mut buffer = Vec::new();
        for (sequence, payload) in (self.sequence..).zip(payloads) {
            check_size(&self.path, payload)?;
            write_frame(&mut buffer, sequence, payload);
        }
        self.failed = true;
        self.disk
            .write(&mut self.file, &self.path, &buffer)
            .map_err(|source| StoreError::io(&self.path, "cannot append to journal", source))?;
        self.disk
            .sync_data(&self.file, &self.path)
            .map_err(|source| StoreError::io(&self.path, "cannot sync journal", source))?;
        self.failed = false;
        self.sequence += payloads.len() as u64;
        self.bytes += buffer.len() as u64;
        Ok(())
    }

    /// Atomically replaces all records by writing a new file.
    ///
    /// # Errors
    /// Fails if the new file cannot be written, in which case the old records remain in use. An old
    /// file that cannot be removed is no failure: a later call removes it.
    pub fn replace(&mut self, payloads: &[Vec<u8>]) -> Result<(), StoreError> {
        let generation = self.generation + 1;
        let created = Self::create(&self.disk, &self.folder, generation, payloads);
        if created.is_err() {
            self.successor = Some(journal_path(&self.folder, generation));
        }
        let next = created?;
        let old = std::mem::replace(self, next);
        self.stale = old.stale;
        self.stale.push(old.path);
        self.remove_stale();
        Ok(())
    }

    /// Removes the file of a failed replacement, durably.
    fn remove_successor(&mut self) -> Result<(), StoreError> {
        let Some(path) = &self.successor else {
            return Ok(());
        };
        let removed = match self.disk.remove_file(path) {
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(()),
            removed => removed,
        };
        removed
            .and_then(|()| self.disk.sync_folder(&self.folder))
            .map_err(|source| StoreError::io(path, "cannot remove file", source))?;
        self.successor = None;
        Ok(())
    }

    /// Removes earlier files as far as the disk lets it.
    fn remove_stale(&mut self) {
        let disk = &self.disk;
        self.stale.retain(|path| match disk.remove_file(path) {
            Ok(()) => false,
            Err(error) => error.kind() != ErrorKind::NotFound,
        });
    }

    fn create(
        disk: &Disk,
        folder: &Path,
        generation: u64,
        payloads: &[Vec<u8>],
    ) -> Result<Self, StoreError> {
        let path = journal_path(folder, generation);
        let mut buffer = Vec::new();
        for (sequence, payload) in (0..).zip(payloads) {
            check_size(&path, payload)?;
            write_frame(&mut buffer, sequence, payload);
        }
        write_atomic(disk, folder, &folder.join(TEMP_FILE), &path, &buffer)?;
        let sequence = payloads.len() as u64;
        let file = open_append(&path)?;
        let folder = folder.to_owned();
        let bytes = buffer.len() as u64;
        Ok(Self {
            disk: disk.clone(),
            folder,
            path,
            file,
            generation,
            sequence,
            bytes,
            failed: false,
            stale: Vec::new(),
            successor: None,
        })
    }

    fn recover(
        disk: &Disk,
        folder: &Path,
        generation: u64,
    ) -> Result<(Self, Vec<Vec<u8>>), StoreError> {
        let path = journal_path(folder, generation);
        let bytes = fs::read(&path)
            .map_err(|source| StoreError::io(&path, "cannot read journal", source))?;
        let (payloads, valid) = read_all(&path, &bytes)?;
        let file = open_append(&path)?;
        if valid < bytes.len() {
            truncate_tail(disk, &path, &file, valid as u64)?;
        }
        let sequence = payloads.len() as u64;
        let folder = folder.to_owned();
        let bytes = valid as u64;
        let journal = Self {
            disk: disk.clone(),
            folder,
            path,
            file,
            generation,
            sequence,
            bytes,
            failed: false,
            stale: Vec::new(),
            successor: None,
        };
        Ok((journal, payloads))
    }
}

/// Decodes all records; returns their payloads and the valid length in bytes.
fn read_all(path: &Path, bytes: &[u8]) -> Result<(Vec<Vec<u8>>, usize), StoreError> {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while let Some(frame) = read_frame(&bytes[offset..]) {
        let expected = payloads.len() as u64;
        if frame.sequence != expected {
            let found = frame.sequence;
            let detail =
                format!("expected record {expected} at byte {offset}, found record {found}");
            return Err(StoreError::corrupted(path, detail));
        }
        offset += frame.len();
        payloads.push(frame.payload.to_vec());
    }
    let rest = &bytes[offset..];
    if contains_frame(rest.get(1..).unwrap_or_default()) {
        let detail = format!(
            "the record at byte {offset} is corrupted and valid records follow it; \
             remove the folder to rejoin as an empty VM"
        );
        return Err(StoreError::corrupted(path, detail));
    }
    Ok((payloads, offset))
}

fn check_size(path: &Path, payload: &[u8]) -> Result<(), StoreError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        let detail = format!(
            "a record of {} bytes exceeds the maximum size",
            payload.len() + HEADER_BYTES
        );
        return Err(StoreError::corrupted(path, detail));
    }
    Ok(())
}

fn truncate_tail(disk: &Disk, path: &Path, file: &File, valid: u64) -> Result<(), StoreError> {
    let io_error = |source| StoreError::io(path, "cannot truncate the incomplete tail", source);
    disk.set_length(file, path, valid).map_err(io_error)?;
    disk.sync_all(file, path).map_err(io_error)
}

fn journal_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("{FILE_PREFIX}{generation:016}"))
}

/// Returns the generations of the journal files in `folder`, in ascending order.
fn generations(folder: &Path) -> Result<Vec<u64>, StoreError> {
    let io_error = |source| StoreError::io(folder, "cannot list folder", source);
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).map_err(io_error)? {
        let name = entry.map_err(io_error)?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(FILE_PREFIX));
        found.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    found.sort_unstable();
    Ok(found)
}

fn open_append(path: &Path) -> Result<File, StoreError> {
    disk::open_append(path).map_err(|source| StoreError::io(path, "cannot open journal", source))
}

fn remove(disk: &Disk, path: &Path) -> Result<(), StoreError> {
    disk.remove_file(path)
        .map_err(|source| StoreError::io(path, "cannot remove file", source))
}

/// Writes a file atomically: writes and syncs `temp`, renames it and syncs the folder.
///
/// If that fails, `temp` is removed, so that it takes no room on a full disk.
pub(crate) fn write_atomic(
    disk: &Disk,
    folder: &Path,
    temp: &Path,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StoreError> {
    let renamed = write_file(disk, temp, bytes).and_then(|()| disk.rename(temp, path));
    if renamed.is_err() {
        // It may not exist; if it cannot be removed, the next attempt truncates it.
        let _ignored = disk.remove_file(temp);
    }
    let written = renamed.and_then(|()| disk.sync_folder(folder));
    written.map_err(|source| StoreError::io(path, "cannot write file", source))
}

/// Writes a new file and syncs it.
fn write_file(disk: &Disk, path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = disk.create_file(path)?;
    disk.write(&mut file, path, bytes)?;
    disk.sync_all(&file, path)
}
