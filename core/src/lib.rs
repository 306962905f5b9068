//! The decision logic of merlinrudder, as state machines that perform no I/O.
//!
//! Nothing in this package reads a clock, opens a socket or a file, starts a thread or uses a
//! global random number generator. Callers pass in the time and the inputs, and act on the outputs.

pub mod claims;
pub mod consensus;
pub mod control;
pub mod deployment;
pub mod directory;
pub mod dispatch;
pub mod engine_model;
pub mod engine_placement;
pub mod estimate;
pub mod events;
pub mod fleet;
pub mod health;
pub mod in_flight;
pub mod manifest;
pub mod manifest_pull;
pub mod membership;
pub mod names;
pub mod outcome;
pub mod placement;
pub mod queue;
pub mod registry;
pub mod rendezvous;
pub mod retry;
pub mod suspects;
pub mod time;
pub mod units;
