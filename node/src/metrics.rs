//! Metrics of the server, rendered as Prometheus text.

use std::sync::OnceLock;
use std::time::Duration;

use merlinrudder_core::outcome::{RefusalReason, RetryReason};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

const REFUSALS: &str = "merlinrudder_refusals_total";
const RETRIES: &str = "merlinrudder_retries_total";
const OUTCOMES: &str = "merlinrudder_outcomes_total";
const FIRST_TOKEN: &str = "merlinrudder_first_token_seconds";
const ANNOUNCEMENTS: &str = "merlinrudder_announcements_total";
const DROPPED_EVENTS: &str = "merlinrudder_dropped_events_total";
const LIMITED_ANSWERS: &str = "merlinrudder_limited_answers_total";
const COLD_LEFT_OUT: &str = "merlinrudder_cold_left_out_total";
const LEAVING_ANSWERS: &str = "merlinrudder_leaving_answers_total";
const RETRY_AFTER_ANSWERS: &str = "merlinrudder_retry_after_answers_total";
const MESH_SENT: &str = "merlinrudder_mesh_sent_bytes_total";
const MESH_DROPPED: &str = "merlinrudder_mesh_dropped_total";

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

/// Records a time to first token in the histogram of the service.
pub fn observe_first_token(service: &str, latency: Duration) {
    histogram!(FIRST_TOKEN, "service" => service.to_owned()).record(latency.as_secs_f64());
}

/// Counts an announcement of a backend server by what it changed.
pub fn count_announcement(change: &'static str) {
    counter!(ANNOUNCEMENTS, "change" => change).increment(1);
}

/// Counts an engine event dropped as a duplicate or as foreign to the request.
pub fn count_dropped_event() {
    counter!(DROPPED_EVENTS).increment(1);
}

/// Counts an answer in which a backend server named a limit on its request rate.
pub fn count_limited_answer() {
    counter!(LIMITED_ANSWERS).increment(1);
}

/// Counts servers left out of a choice because they are cold.
pub fn count_cold_left_out(servers: u64) {
    counter!(COLD_LEFT_OUT).increment(servers);
}

/// Sets the gauge of ready servers that are cold.
pub fn set_cold_gauge(servers: usize) {
    set_gauge("merlinrudder_cold_servers", servers);
}

/// Counts an answer in which a backend server said that it leaves.
pub fn count_leaving_answer() {
    counter!(LEAVING_ANSWERS).increment(1);
}

/// Counts an answer in which a backend server named a time without requests.
///
/// Also sets the gauge of the servers that are held back now.
pub fn count_retry_after_answer(held: usize) {
    counter!(RETRY_AFTER_ANSWERS).increment(1);
    set_gauge("merlinrudder_held_back_servers", held);
}

/// Adds to the bytes sent to other VMs.
pub fn count_mesh_sent(bytes: usize) {
    counter!(MESH_SENT).increment(bytes as u64);
}

/// Counts a message to another VM that was dropped instead of sent.
pub fn count_mesh_dropped() {
    counter!(MESH_DROPPED).increment(1);
}

/// Sets the gauge of open links to other VMs.
pub fn set_open_links(links: usize) {
    set_gauge("merlinrudder_open_links", links);
}

/// Sets the gauges of requests in flight, and of those at this VM's dispatcher.
pub fn set_load_gauges(in_flight: usize, waiting: usize, running: usize) {
    set_gauge("merlinrudder_requests_held", in_flight);
    set_gauge("merlinrudder_dispatcher_waiting", waiting);
    set_gauge("merlinrudder_dispatcher_running", running);
}

/// Sets the gauges of a service's requests and retries in the window of its retry budget.
pub fn set_retry_gauges(service: &str, requests: usize, retries: usize) {
    for (kind, count) in [("requests", requests), ("retries", retries)] {
        let labels = [("service", service.to_owned()), ("kind", kind.to_owned())];
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        gauge!("merlinrudder_retry_window", &labels).set(count as f64);
    }
}

/// Sets the gauges of contents that ended with backend servers, and of those in quarantine.
pub fn set_crash_gauges(contents: usize, quarantined: usize) {
    set_gauge("merlinrudder_crashed_contents", contents);
    set_gauge("merlinrudder_quarantined_contents", quarantined);
}

/// Sets the gauge of evacuated zones.
pub fn set_evacuated_zones(zones: usize) {
    set_gauge("merlinrudder_evacuated_zones", zones);
}

/// Sets the gauge of this VM's requests that still run in evacuated zones.
pub fn set_evacuated_requests(requests: usize) {
    set_gauge("merlinrudder_evacuated_requests", requests);
}

/// Sets the gauges of a server's learned pace and limit on concurrent requests.
pub fn set_capacity_gauges(server: &str, pace: f64, limit: u32) {
    gauge!("merlinrudder_learned_pace", "server" => server.to_owned()).set(pace);
    gauge!("merlinrudder_learned_limit", "server" => server.to_owned()).set(f64::from(limit));
}

/// Sets the gauge of the age of the newest estimate of a server; 0 without any.
pub fn set_capacity_age(server: &str, age: Duration) {
    let gauge = gauge!("merlinrudder_learned_age_seconds", "server" => server.to_owned());
    gauge.set(age.as_secs_f64());
}

/// Sets the gauges of the control log: manifest number, term and leadership.
pub fn set_control_gauges(manifest: u64, term: u64, is_leader: bool) {
    #[expect(clippy::cast_precision_loss, reason = "numbers stay far below 2^52")]
    gauge!("merlinrudder_manifest_number").set(manifest as f64);
    #[expect(clippy::cast_precision_loss, reason = "numbers stay far below 2^52")]
    gauge!("merlinrudder_log_term").set(term as f64);
    set_gauge("merlinrudder_log_leads", usize::from(is_leader));
}

fn set_gauge(name: &'static str, value: usize) {
    #[expect(clippy::cast_precision_loss, reason = "numbers stay far below 2^52")]
    gauge!(name).set(value as f64);
}
