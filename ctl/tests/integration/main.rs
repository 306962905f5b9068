//! Tests that drive the real binaries as separate processes on loopback.

mod control_log;
mod cuts;
mod faults;
mod plain_calls;
mod planned_stop;
mod replays;
mod util;
mod whole_path;
