//! Tests of the decisions, without clock, network or disk.

mod claims;
mod consensus;
mod dispatch;
mod dispatch_fuzz;
mod log_fuzz;
mod membership;
mod retry;
mod suspects;
mod util;
