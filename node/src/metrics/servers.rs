//! Metrics of backend servers: announcements, answers, crashes, cold and evacuated ones, capacities.

use std::time::Duration;

use metrics::{counter, gauge};

use super::set_gauge;

const ANNOUNCEMENTS: &str = "merlinrudder_announcements_total";
const DROPPED_EVENTS: &str = "merlinrudder_dropped_events_total";
const LIMITED_ANSWERS: &str = "merlinrudder_limited_answers_total";
const COLD_LEFT_OUT: &str = "merlinrudder_cold_left_out_total";
const LEAVING_ANSWERS: &str = "merlinrudder_leaving_answers_total";
const EVACUATION_ORDERS: &str = "merlinrudder_evacuation_orders_total";
const RETRY_AFTER_ANSWERS: &str = "merlinrudder_retry_after_answers_total";

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

/// Counts servers left out of a choice because they are cold.
pub fn count_cold_left_out(servers: u64) {
    counter!(COLD_LEFT_OUT).increment(servers);
}

/// Sets the gauge of ready servers that are cold.
pub fn set_cold_gauge(servers: usize) {
    set_gauge("merlinrudder_cold_servers", servers);
}

/// Sets the gauges of contents that ended with backend servers, and of those in quarantine.
pub fn set_crash_gauges(contents: usize, quarantined: usize) {
    set_gauge("merlinrudder_crashed_contents", contents);
    set_gauge("merlinrudder_quarantined_contents", quarantined);
}

/// Counts an operator's order to evacuate a zone by how it ended at this VM.
pub fn count_evacuation_order(outcome: &'static str) {
    counter!(EVACUATION_ORDERS, "outcome" => outcome).increment(1);
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
