//! Serialized forms of network messages and of records on disk.
//!
//! Messages between VMs, journal records and snapshots are encoded with postcard, which identifies
//! fields and variants by their position. Messages over HTTP and the manifest are JSON.
//!
//! The types are separate from those of `merlinrudder-core`, so that the core can change without
//! changing the encoding. `From`, `TryFrom` and `into_core` convert between the two. A field or
//! variant without a comment means the same as the one of the core that it is converted to.

pub mod announce;
pub mod capacities;
mod common;
pub mod compression;
pub mod consensus;
pub mod control;
pub mod crashes;
pub mod dispatch;
pub mod engine;
pub mod error;
pub mod evacuation;
pub mod manifest;
pub mod manifest_update;
pub mod membership;
pub mod mesh;
pub mod peers;
pub mod rates;
pub mod relay;
