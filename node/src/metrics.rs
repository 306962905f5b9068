//! Metrics of the server, rendered as Prometheus text.

mod disk;
mod manifests;
mod servers;
mod vms;

use std::sync::OnceLock;
use std::time::Duration;

use merlinrudder_core::outcome::{RefusalReason, RetryReason};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

pub use self::disk::{count_compaction_skipped, count_disk_failure, set_disk_failing};
pub use self::manifests::{
    count_manifest_pull, count_manifest_received, count_manifest_rejected, count_manifest_sent,
    observe_manifest_in_force, set_manifest_confirmation_age, set_manifest_heard,
};
pub use self::servers::{
    count_announcement, count_cold_left_out, count_dropped_event, count_evacuation_order,
    count_leaving_answer, count_limited_answer, count_retry_after_answer, set_capacity_age,
    set_capacity_gauges, set_cold_gauge, set_crash_gauges, set_evacuated_requests,
    set_evacuated_zones,
};
pub use self::vms::{
    count_mesh_dropped, count_mesh_sent, observe_frame_write, set_control_gauges, set_load_gauges,
    set_open_links,
};

const REFUSALS: &str = "merlinrudder_refusals_total";
const RETRIES: &str = "merlinrudder_retries_total";
const OUTCOMES: &str = "merlinrudder_outcomes_total";
const UNDERSERVED: &str = "merlinrudder_underserved_prompts_total";
const FIRST_TOKEN: &str = "merlinrudder_first_token_seconds";

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 3.0, 6.0, 15.0];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder once per process and creates the counter of every reason at zero.
pub fn install() {
    RECORDER.get_or_init(|| {
        let recorder = build_recorder();
        let handle = recorder.handle();
        // Fails if the process already has a recorder, such as a test's; that one stays.
        drop(metrics::set_global_recorder(recorder));
        handle
    });
    for reason in RefusalReason::ALL {
        counter!(REFUSALS, "reason" => reason.code()).increment(0);
    }
    for reason in RetryReason::ALL {
        counter!(RETRIES, "reason" => reason.code()).increment(0);
    }
}

fn build_recorder() -> PrometheusRecorder {
    let plain = PrometheusBuilder::new();
    let with_buckets = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS);
    // Only an empty list of buckets is an error.
    with_buckets.unwrap_or(plain).build_recorder()
}

/// Renders all metrics as Prometheus text; empty before `install`.
#[must_use]
pub fn render() -> String {
    RECORDER
        .get()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}

/// Counts a refusal or a failed request by reason.
pub fn count_refusal(reason: RefusalReason) {
    counter!(REFUSALS, "reason" => reason.code()).increment(1);
}

/// Counts a retry by reason.
pub fn count_retry(reason: RetryReason) {
    counter!(RETRIES, "reason" => reason.code()).increment(1);
}

/// Counts a finished request by service and outcome.
pub fn count_outcome(service: &str, outcome: &'static str) {
    counter!(OUTCOMES, "service" => service.to_owned(), "outcome" => outcome).increment(1);
}

/// Counts a prompt whose length was placed far less often than others when it came.
pub fn count_underserved(service: &str) {
    counter!(UNDERSERVED, "service" => service.to_owned()).increment(1);
}

/// Records a time to first token in the histogram of the service.
pub fn observe_first_token(service: &str, latency: Duration) {
    histogram!(FIRST_TOKEN, "service" => service.to_owned()).record(latency.as_secs_f64());
}

/// Sets the gauges of a service's requests and retries in the window of its retry budget.
pub fn set_retry_gauges(service: &str, requests: usize, retries: usize) {
    for (kind, count) in [("requests", requests), ("retries", retries)] {
        let labels = [("service", service.to_owned()), ("kind", kind.to_owned())];
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        gauge!("merlinrudder_retry_window", &labels).set(count as f64);
    }
}

fn set_gauge(name: &'static str, value: usize) {
    #[expect(clippy::cast_precision_loss, reason = "numbers stay far below 2^52")]
    gauge!(name).set(value as f64);
}
