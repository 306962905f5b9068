//! Metrics of how manifests reach this VM.

use std::time::Duration;

use merlinrudder_core::manifest_pull::PullReason;
use metrics::{counter, gauge, histogram};

const PULLS: &str = "merlinrudder_manifest_pulls_total";
const RECEIVED: &str = "merlinrudder_manifest_received_total";
const RECEIVED_BYTES: &str = "merlinrudder_manifest_received_bytes_total";
const REJECTED: &str = "merlinrudder_manifest_rejected_total";
const SENT: &str = "merlinrudder_manifest_sent_total";
const SENT_BYTES: &str = "merlinrudder_manifest_sent_bytes_total";
const DELAY: &str = "merlinrudder_manifest_delay_seconds";

/// Sets the gauge of the newest manifest number that this VM has heard of.
pub fn set_manifest_heard(number: u64) {
    #[expect(clippy::cast_precision_loss, reason = "numbers stay far below 2^52")]
    gauge!("merlinrudder_manifest_heard").set(number as f64);
}

/// Sets the gauge of the time since a control VM in contact with the leader told the newest number.
pub fn set_manifest_confirmation_age(age: Duration) {
    gauge!("merlinrudder_manifest_confirmation_age_seconds").set(age.as_secs_f64());
}

/// Counts a request for a newer manifest by why its VM is asked.
pub fn count_manifest_pull(reason: PullReason) {
    let reason = match reason {
        PullReason::OwnZone => "own_zone",
        PullReason::OtherZone => "other_zone",
        PullReason::Retry => "retry",
    };
    counter!(PULLS, "reason" => reason).increment(1);
}

/// Counts a manifest that arrived, with its bytes.
pub fn count_manifest_received(bytes: usize) {
    counter!(RECEIVED).increment(1);
    counter!(RECEIVED_BYTES).increment(bytes as u64);
}

/// Counts a manifest that was sent, whole or as a difference, with its bytes.
pub fn count_manifest_sent(whole: bool, bytes: usize) {
    let form = if whole { "whole" } else { "difference" };
    counter!(SENT, "form" => form).increment(1);
    counter!(SENT_BYTES, "form" => form).increment(bytes as u64);
}

/// Counts a manifest that arrived and could not be restored or decoded.
pub fn count_manifest_rejected() {
    counter!(REJECTED).increment(1);
}

/// Sets the gauge of the manifest in force, and records the time since it was first heard of.
pub fn observe_manifest_in_force(number: u64, delay: Duration) {
    #[expect(clippy::cast_precision_loss, reason = "numbers stay far below 2^52")]
    gauge!("merlinrudder_manifest_in_force").set(number as f64);
    histogram!(DELAY).record(delay.as_secs_f64());
}
