//! An append-only file of records, replaced whole when it is compacted.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::error::StoreError;
use crate::frame::{HEADER_BYTES, MAX_PAYLOAD_BYTES, holds_frame, read_frame, write_frame};

const PREFIX: &str = "journal-";
const TEMPORARY: &str = "journal.tmp";

/// The open journal of a data folder.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    path: PathBuf,
    file: File,
    /// Grows with each replacement of the file.
    generation: u64,
    /// Number of the next record; records of a file are numbered without gaps.
    sequence: u64,
    bytes: u64,
    /// Whether a write or sync failed: what the file holds after `bytes` is not known.
    failed: bool,
}

impl Journal {
    /// Opens the newest journal in `folder`, or starts an empty one; returns its payloads too.
    ///
    /// # Errors
    /// Fails where a call to the operating system fails or where synced bytes are damaged.
    pub(crate) fn open(folder: &Path) -> Result<(Self, Vec<Vec<u8>>), StoreError> {
        let temporary = folder.join(TEMPORARY);
        if temporary.exists() {
            remove(&temporary)?;
        }
        let generations = generations(folder)?;
        let Some(newest) = generations.last().copied() else {
            return Ok((Self::start(folder, 1, &[])?, Vec::new()));
        };
        for old in &generations[..generations.len() - 1] {
            remove(&journal_path(folder, *old))?;
        }
        Self::recover(folder, newest)
    }

    /// Returns the bytes of the journal.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.bytes
    }

    /// Whether the journal holds no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Appends records and syncs them together; they count once this returns.
    ///
    /// # Errors
    /// Fails where the disk does; the same records may be appended again later.
    pub fn append(&mut self, payloads: &[Vec<u8>]) -> Result<(), StoreError> {
        if self.failed {
            cut_tail(&self.path, &self.file, self.bytes)?;
        }
        let mut buffer = Vec::new();
        for (sequence, payload) in (self.sequence..).zip(payloads) {
            check_size(&self.path, payload)?;
            write_frame(&mut buffer, sequence, payload);
        }
        self.failed = true;
        self.file
            .write_all(&buffer)
            .map_err(|source| StoreError::io(&self.path, "cannot append", source))?;
        self.file
            .sync_data()
            .map_err(|source| StoreError::io(&self.path, "cannot sync", source))?;
        self.failed = false;
        self.sequence += payloads.len() as u64;
        self.bytes += buffer.len() as u64;
        Ok(())
    }

    /// Replaces all records: the new file is written beside, synced and renamed.
    ///
    /// # Errors
    /// Fails where the disk does; the old records stay in that case.
    pub fn replace(&mut self, payloads: &[Vec<u8>]) -> Result<(), StoreError> {
        let next = Self::start(&self.folder, self.generation + 1, payloads)?;
        let old = std::mem::replace(self, next);
        remove(&old.path)
    }

    fn start(folder: &Path, generation: u64, payloads: &[Vec<u8>]) -> Result<Self, StoreError> {
        let path = journal_path(folder, generation);
        let mut buffer = Vec::new();
        for (sequence, payload) in (0..).zip(payloads) {
            check_size(&path, payload)?;
            write_frame(&mut buffer, sequence, payload);
        }
        write_beside(folder, &folder.join(TEMPORARY), &path, &buffer)?;
        let sequence = payloads.len() as u64;
        let file = open_append(&path)?;
        let folder = folder.to_owned();
        let bytes = buffer.len() as u64;
        Ok(Self {
            folder,
            path,
            file,
            generation,
            sequence,
            bytes,
            failed: false,
        })
    }

    fn recover(folder: &Path, generation: u64) -> Result<(Self, Vec<Vec<u8>>), StoreError> {
        let path = journal_path(folder, generation);
        let bytes =
            fs::read(&path).map_err(|source| StoreError::io(&path, "cannot read", source))?;
        let (payloads, sound) = read_all(&path, &bytes)?;
        let file = open_append(&path)?;
        if sound < bytes.len() {
            cut_tail(&path, &file, sound as u64)?;
        }
        let sequence = payloads.len() as u64;
        let folder = folder.to_owned();
        let bytes = sound as u64;
        let journal = Self {
            folder,
            path,
            file,
            generation,
            sequence,
            bytes,
            failed: false,
        };
        Ok((journal, payloads))
    }
}

/// Reads all records; returns them and how many bytes are sound.
fn read_all(path: &Path, bytes: &[u8]) -> Result<(Vec<Vec<u8>>, usize), StoreError> {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while let Some(frame) = read_frame(&bytes[offset..]) {
        let expected = payloads.len() as u64;
        if frame.sequence != expected {
            let found = frame.sequence;
            let detail =
                format!("record {found} stands at byte {offset} in place of record {expected}");
            return Err(StoreError::damaged(path, detail));
        }
        offset += frame.len();
        payloads.push(frame.payload.to_vec());
    }
    let rest = &bytes[offset..];
    if holds_frame(rest.get(1..).unwrap_or_default()) {
        let detail = format!(
            "the record at byte {offset} is damaged and sound records follow it; \
             remove the folder to join anew as an empty VM"
        );
        return Err(StoreError::damaged(path, detail));
    }
    Ok((payloads, offset))
}

fn check_size(path: &Path, payload: &[u8]) -> Result<(), StoreError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        let detail = format!(
            "a record of {} bytes is too large",
            payload.len() + HEADER_BYTES
        );
        return Err(StoreError::damaged(path, detail));
    }
    Ok(())
}

fn cut_tail(path: &Path, file: &File, sound: u64) -> Result<(), StoreError> {
    let failed = |source| StoreError::io(path, "cannot cut the torn tail", source);
    file.set_len(sound).map_err(failed)?;
    file.sync_all().map_err(failed)
}

fn journal_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{generation:016}"))
}

fn generations(folder: &Path) -> Result<Vec<u64>, StoreError> {
    let failed = |source| StoreError::io(folder, "cannot list", source);
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let name = entry.map_err(failed)?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(PREFIX));
        found.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    found.sort_unstable();
    Ok(found)
}

fn open_append(path: &Path) -> Result<File, StoreError> {
    let opened = OpenOptions::new().append(true).open(path);
    opened.map_err(|source| StoreError::io(path, "cannot open", source))
}

fn remove(path: &Path) -> Result<(), StoreError> {
    fs::remove_file(path).map_err(|source| StoreError::io(path, "cannot remove", source))
}

/// Writes a file beside its place, syncs it, renames it and syncs the folder.
pub(crate) fn write_beside(
    folder: &Path,
    temporary: &Path,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StoreError> {
    let failed = |source| StoreError::io(path, "cannot write", source);
    let mut file = File::create(temporary).map_err(failed)?;
    file.write_all(bytes).map_err(failed)?;
    file.sync_all().map_err(failed)?;
    fs::rename(temporary, path).map_err(failed)?;
    let folder = File::open(folder).map_err(failed)?;
    folder.sync_all().map_err(failed)
}
