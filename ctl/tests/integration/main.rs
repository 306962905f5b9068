//! End-to-end tests with processes of the real binaries on loopback, and replays of traces.

mod completions;
mod control_log;
mod endless_bytes;
mod faults;
mod graceful_shutdown;
mod network_partitions;
mod plain_calls;
mod replays;
mod util;
