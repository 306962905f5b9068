//! Tests of the decisions, without clock, network or disk.

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
