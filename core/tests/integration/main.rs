//! Tests of the decisions, without clock, network or disk.

mod claims;
mod consensus;
mod dispatch;
mod log_fuzz;
mod membership;
mod suspects;
mod util;
