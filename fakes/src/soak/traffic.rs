//! Traffic of callers, operator and backend servers in a soak test, with checks of responses.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use fastrand::Rng;

use super::cut_off::FirstTry;
use super::{
    AtMostOnceCall, SoakHarness, crashes, cuts, evacuations, lock, parts, sample_configuration,
};
use crate::http_client::{Connection, HttpResponse, send_request_with_headers};
use crate::nodes::{CONTROL_VMS, Heartbeat};

/// Interval between two heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between calls of the operator, and pause of a caller that got no response.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time to get the first configuration confirmed.
const FIRST_PUBLISH_TIMEOUT: Duration = Duration::from_mins(1);
/// Additional time to a route's timeout for the final response, on a busy machine.
const DEADLINE_SLACK: Duration = Duration::from_secs(5);

/// Methods and paths that callers request, with the timeouts of their routes.
const ROUTES: [(&str, Duration); 3] = [
    ("POST /stream/x", Duration::from_secs(10)),
    ("POST /file/x", Duration::from_secs(2)),
    ("GET /read/x", Duration::from_secs(2)),
];

/// Publishes the first configuration, and retries until a control VM confirms it.
pub(super) fn publish_first(harness: &SoakHarness) -> Result<()> {
    let start = Instant::now();
    while !(0..CONTROL_VMS).any(|control| {
        harness
            .nodes
            .put_configuration(control, &sample_configuration(1))
            == 200
    }) {
        if start.elapsed() > FIRST_PUBLISH_TIMEOUT {
            bail!(
                "the first configuration was not confirmed\n{}",
                harness.nodes.log_tails()
            );
        }
        thread::sleep(OPERATOR_INTERVAL);
    }
    harness.confirmed_version.store(1, Ordering::Relaxed);
    Ok(())
}

/// Sends heartbeats of all backend servers, each to the first control VM that accepts it.
pub(super) fn send_heartbeats(harness: &SoakHarness) {
    let mut sequence = 0;
    while !harness.is_stopped() {
        sequence += 1;
        for (number, backend) in harness.backends.iter().enumerate() {
            // Read before the start: a crash in between leaves no start.
            let id = backend.server.current_id();
            let Some(born) = backend.server.born() else {
                continue;
            };
            let heartbeat = Heartbeat {
                id: &id,
                address: backend.address(),
                sequence,
                born,
                draining: false,
            };
            // A heartbeat that no control VM accepts is retried in the next round.
            let zone = evacuations::zone(harness, number);
            let nodes = &harness.nodes;
            let _accepted = (0..CONTROL_VMS)
                .any(|control| nodes.send_heartbeat_from(zone, control, &heartbeat));
        }
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

/// Publishes increasing versions, republishes each confirmed one, and reads versions.
pub(super) fn run_operator(harness: &SoakHarness, seed: u64) {
    let mut rng = Rng::with_seed(seed ^ 1);
    let mut version = 2;
    while !harness.is_stopped() {
        let control = rng.usize(..CONTROL_VMS);
        if harness
            .nodes
            .put_configuration(control, &sample_configuration(version))
            == 200
        {
            harness.confirmed_version.store(version, Ordering::Relaxed);
            harness.confirmations.fetch_add(1, Ordering::Relaxed);
            republish(harness, rng.usize(..CONTROL_VMS), version);
            version += rng.u64(1..4);
        }
        check_read_version(harness, rng.usize(..CONTROL_VMS));
        thread::sleep(OPERATOR_INTERVAL);
    }
}

/// Checks that a control VM returns no version older than one confirmed before the read.
pub(super) fn check_read_version(harness: &SoakHarness, control: usize) {
    let before = harness.confirmed_version.load(Ordering::Relaxed);
    let read = harness.nodes.read_version(control);
    if let Some(read) = read.filter(|read| *read < before) {
        harness.record_violation(format!(
            "control VM {control} returned version {read} after {before} was confirmed"
        ));
    }
}

/// Publishes a confirmed version again, which must not be refused.
fn republish(harness: &SoakHarness, control: usize, version: u64) {
    let status = harness
        .nodes
        .put_configuration(control, &sample_configuration(version));
    if (400..500).contains(&status) {
        harness.record_violation(format!(
            "version {version} was confirmed, but republishing it got status {status}"
        ));
    }
}

/// Connections that a caller keeps, by entry VM; every second caller keeps none.
struct KeptConnections {
    open: BTreeMap<usize, Connection>,
    enabled: bool,
}

impl KeptConnections {
    /// Sends a request on the kept connection, or on a new one.
    ///
    /// The caller uses an open connection until it fails, also while the VM stops.
    fn send(
        &mut self,
        harness: &SoakHarness,
        entry: usize,
        method_path: &str,
        attempt: &str,
        headers: &str,
    ) -> HttpResponse {
        let address = harness.nodes.callers_address(entry);
        if !self.enabled {
            return send_request_with_headers(address, method_path, attempt, "k1", headers);
        }
        let kept = self.open.remove(&entry);
        let Some(mut connection) = kept.or_else(|| Connection::open(address).ok()) else {
            return HttpResponse::default();
        };
        let (response, usable) = connection.send_customer_request(method_path, attempt, headers);
        if usable {
            self.open.insert(entry, connection);
        }
        response
    }
}

/// Sends requests to random entry VMs until the test is stopped.
///
/// The response time is checked unless a fault of the entry VM began or ended meanwhile.
pub(super) fn run_caller(harness: &SoakHarness, caller: u64, seed: u64) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(31).wrapping_add(caller));
    let mut connections = KeptConnections {
        open: BTreeMap::new(),
        enabled: caller.is_multiple_of(2),
    };
    let mut number = 0;
    while !harness.is_stopped() {
        number += 1;
        let entry = rng.usize(CONTROL_VMS..harness.nodes.len());
        let (method_path, timeout) = ROUTES[rng.usize(..ROUTES.len())];
        let attempt = format!("{caller}-{number}");
        let headers = parts::sound_headers(caller, number);
        let was_undisturbed = crashes::is_undisturbed(harness, entry);
        let started_ms = harness.elapsed_ms();
        let start = Instant::now();
        let response = connections.send(harness, entry, method_path, &attempt, &headers);
        let left = timeout.saturating_sub(start.elapsed());
        let is_stream = method_path.contains("/stream/");
        lock(&harness.first_tries).push(FirstTry {
            attempt: attempt.clone(),
            entry,
            start,
            end: Instant::now(),
            served: response.status == 200 && response.whole,
            undisturbed: was_undisturbed && crashes::is_undisturbed(harness, entry),
        });
        if is_stream && was_undisturbed && crashes::is_undisturbed(harness, entry) {
            cuts::record(harness, &attempt, &response, left);
        }
        let undisturbed = harness.last_disturbed[entry].load(Ordering::Relaxed) < started_ms;
        if undisturbed && start.elapsed() > timeout + DEADLINE_SLACK {
            harness.record_violation(format!(
                "{attempt} ({method_path}) got no final response in time"
            ));
        }
        check_response(harness, method_path, &attempt, &response);
        if response.status == 0 {
            thread::sleep(OPERATOR_INTERVAL);
        }
    }
}

fn is_valid_body(response: &HttpResponse, is_stream: bool) -> bool {
    if is_stream {
        is_valid_beginning(response, true) && (!response.whole || response.is_whole_stream())
    } else {
        !response.whole || response.body == "whole"
    }
}

/// Whether a body could be the beginning of a valid one.
fn is_valid_beginning(response: &HttpResponse, is_stream: bool) -> bool {
    if is_stream {
        let events = response.event_ids();
        events.iter().copied().eq(1..=events.len() as u64)
    } else {
        "whole".starts_with(&response.body)
    }
}

/// Whether a server answered an attempt without framing, so that a crash looks like the end.
///
/// An entry VM tells them apart at the end of a stream if the server refuses connections, as those
/// without a proxy do.
fn ran_unframed(harness: &SoakHarness, attempt: &str, is_stream: bool) -> bool {
    let backends = harness.backends.iter();
    let hidden = backends.filter(|backend| !is_stream || backend.proxy.is_some());
    let mut runs = hidden.flat_map(|backend| backend.server.executions());
    runs.any(|ran| ran.unframed && ran.attempt == attempt)
}

/// Checks the headers, body and status of a response, and records at-most-once calls.
fn check_response(
    harness: &SoakHarness,
    method_path: &str,
    attempt: &str,
    response: &HttpResponse,
) {
    harness.requests.fetch_add(1, Ordering::Relaxed);
    let is_stream = method_path.contains("/stream/");
    if (200..300).contains(&response.status) {
        let sealed = response.head.contains("x-merlinrudder-response-seal: seal");
        let matches_attempt = response
            .head
            .contains(&format!("x-merlinrudder-attempt-id: {attempt}\r"));
        let body_valid = is_valid_body(response, is_stream)
            || ran_unframed(harness, attempt, is_stream) && is_valid_beginning(response, is_stream);
        if !(sealed && matches_attempt && body_valid) {
            harness.record_violation(format!(
                "{attempt} ({method_path}) got an invalid response: {response:?}"
            ));
        }
        harness
            .served
            .fetch_add(u64::from(response.whole), Ordering::Relaxed);
    }
    crashes::check_innocent(harness, method_path, response);
    if [401, 403, 404].contains(&response.status) {
        harness.record_violation(format!(
            "{attempt} ({method_path}) was rejected with status {}",
            response.status
        ));
    }
    if method_path.contains("/file/") {
        lock(&harness.once_calls).push(AtMostOnceCall {
            attempt: attempt.to_owned(),
            status: response.status,
        });
    }
}
