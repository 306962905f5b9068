//! Errors of the data folder.

use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Category of a `StoreError`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreErrorKind {
    /// A system call failed.
    Io,
    /// Another process holds the lock of the folder.
    Locked,
    /// The stored data is invalid, or a record exceeds the maximum size.
    Corrupted,
}

/// A failure of a data folder operation, with the affected path.
#[derive(Debug)]
pub struct StoreError {
    kind: StoreErrorKind,
    path: PathBuf,
    detail: String,
    source: Option<io::Error>,
}

impl StoreError {
    /// Returns the category of the error.
    #[must_use]
    pub fn kind(&self) -> StoreErrorKind {
        self.kind
    }

    pub(crate) fn io(path: &Path, detail: &str, source: io::Error) -> Self {
        let kind = StoreErrorKind::Io;
        Self {
            kind,
            path: path.to_owned(),
            detail: detail.to_owned(),
            source: Some(source),
        }
    }

    pub(crate) fn locked(path: &Path) -> Self {
        let detail = "another process holds the lock".to_owned();
        Self {
            kind: StoreErrorKind::Locked,
            path: path.to_owned(),
            detail,
            source: None,
        }
    }

    pub(crate) fn corrupted(path: &Path, detail: String) -> Self {
        Self {
            kind: StoreErrorKind::Corrupted,
            path: path.to_owned(),
            detail,
            source: None,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "data folder: {}: {}", self.path.display(), self.detail)
    }
}

impl Error for StoreError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        self.source.as_ref().map(|source| source as _)
    }
}
