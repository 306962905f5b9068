//! Trace replay: a discrete-event simulation that compares placement policies.
//!
//! It drives the production dispatcher, or a baseline, with the requests of a trace. The engines
//! are the cost models of the fake engines. Everything runs on one simulated clock with one event
//! queue, without network or VMs. The same trace, options and seed give the same results.

mod attempts;
pub mod baseline;
mod event_loop;
pub mod result;
pub(crate) mod sample_manifest;
mod simulated_engine;
pub mod trace;

pub use event_loop::{PlacementPolicy, ReplayOptions, replay};
