//! Metrics of this VM: messages and links to other VMs, its load, and its control log.

use std::time::Duration;

use metrics::{counter, gauge, histogram};

use super::set_gauge;

const MESH_SENT: &str = "merlinrudder_mesh_sent_bytes_total";
const MESH_DROPPED: &str = "merlinrudder_mesh_dropped_total";

/// Adds to the bytes sent to other VMs.
pub fn count_mesh_sent(bytes: usize) {
    counter!(MESH_SENT).increment(bytes as u64);
}

/// Records the time that a frame took to be written to a link.
pub fn observe_frame_write(time: Duration) {
    histogram!("merlinrudder_mesh_write_seconds").record(time.as_secs_f64());
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

/// Sets the gauges of the control log: manifest number, term and leadership.
pub fn set_control_gauges(manifest: u64, term: u64, is_leader: bool) {
    #[expect(clippy::cast_precision_loss, reason = "numbers stay far below 2^52")]
    gauge!("merlinrudder_manifest_number").set(manifest as f64);
    #[expect(clippy::cast_precision_loss, reason = "numbers stay far below 2^52")]
    gauge!("merlinrudder_log_term").set(term as f64);
    set_gauge("merlinrudder_log_leads", usize::from(is_leader));
}
