//! Tests of the core state machines, without a real clock, network or disk.

mod claims;
mod consensus;
mod directory;
mod dispatch;
mod dispatch_fuzz;
mod events;
mod fleets;
mod log_fuzz;
mod manifest_pull;
mod membership;
mod placing;
mod placing_load;
mod retry;
mod suspects;
mod util;
