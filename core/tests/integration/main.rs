//! Tests of the core state machines, without a real clock, network or disk.

mod claims;
mod consensus;
mod control;
mod crash_blame;
mod crash_detector;
mod crash_history;
mod crash_parts;
mod directory;
mod dispatch;
mod dispatch_fuzz;
mod engine_placement;
mod engine_placement_load;
mod events;
mod fleets;
mod hold_off;
mod log_fuzz;
mod long_prompt_bursts;
mod manifest_pull;
mod membership;
mod ranks;
mod rate_limits;
mod reach;
mod retry;
mod suspects;
mod util;
mod zone_links;
