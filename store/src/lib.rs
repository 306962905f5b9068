//! The data folder of a VM: identity, lock file and journal of checksummed records.
//!
//! Only synced records are durable. Opening a journal truncates an incomplete or corrupted tail,
//! and fails if a corrupted record is followed by a valid one.

mod disk;
mod error;
mod folder;
mod frame;
mod journal;
mod side_file;

pub use disk::{Disk, DiskCall, DiskFault};
pub use error::{StoreError, StoreErrorKind};
pub use folder::{DataFolder, Recovered};
pub use journal::Journal;
pub use side_file::SideFile;
