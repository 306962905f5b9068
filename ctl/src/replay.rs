//! The decision bench: traces against the real decision code and the stand-ins' cost model.
//!
//! One clock, one queue of events, no network, no VMs. The same seed gives the same figures.

pub mod baseline;
mod fleet;
pub mod result;
mod run;
mod running;
pub(crate) mod sample_manifest;
pub mod trace;

pub use run::{PlacementPolicy, ReplayOptions, replay};
