//! The data folder: an identity, a lock and a journal of checksummed records.
//!
//! Only synced bytes count. A torn tail is cut; damage before the tail is refused.

mod error;
mod folder;
mod frame;
mod journal;

pub use error::{StoreError, StoreErrorKind};
pub use folder::{DataFolder, Recovered};
pub use journal::Journal;
