//! Wire types: what crosses a socket or goes to disk, apart from the core's own types.
//!
//! Each wire type converts with `From` or `TryFrom`, so the core can change without the wire.

pub mod announce;
pub mod consensus;
pub mod control;
pub mod dispatch;
pub mod engine;
pub mod error;
pub mod manifest;
pub mod membership;
pub mod mesh;
pub mod peers;
mod units;
