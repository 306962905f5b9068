//! Metrics of the data folder.

use std::time::Duration;

use metrics::{counter, gauge};

/// Counts a failed attempt at writing to the data folder.
pub fn count_disk_failure() {
    counter!("merlinrudder_disk_failures_total").increment(1);
}

/// Sets the gauge of the time for which writes have failed; zero if the last one succeeded.
pub fn set_disk_failing(time: Duration) {
    gauge!("merlinrudder_disk_failing_seconds").set(time.as_secs_f64());
}

/// Counts a compaction for which the disk had no room.
pub fn count_compaction_skipped() {
    counter!("merlinrudder_compactions_skipped_total").increment(1);
}
