//! A backend server that reports itself as cold, next to a warm one.

use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::send_request;
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, sample_configuration, wait_for};
use serde_json::json;

use crate::deployment::publish;
use crate::load::{start_servers, under_load};

/// Methods and paths that callers request.
const PATHS: [&str; 2] = ["POST /stream/x", "GET /read/x"];
/// Requests a second that a cold server takes.
const COLD_RATE: u32 = 4;
/// Most requests in any one second: the rate times 1.5, and 5 more.
const BOUND: usize = 11;
/// Time for which the server is cold.
const COLD_TIME: Duration = Duration::from_secs(6);
/// Interval between two heartbeats of the cold server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Span in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for a report to reach all VMs.
const TELL_TIME: Duration = Duration::from_millis(500);
/// Port of the metrics.
const METRICS_PORT: u16 = 9464;

/// Returns the most requests that began to run in one window between two moments.
fn fullest_window(server: &FakeBackend, from: Instant, to: Instant) -> usize {
    let executions = server.executions();
    let times: Vec<_> = executions
        .iter()
        .map(|ran| ran.started)
        .filter(|started| (from..to).contains(started))
        .collect();
    let in_window = |start: &Instant| {
        let window = *start..*start + WINDOW;
        times.iter().filter(|time| window.contains(*time)).count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}

/// Sends a heartbeat of a server that is cold for `left`; returns whether it was accepted.
fn send_heartbeat(nodes: &Nodes, server: &FakeBackend, sequence: u64, left: Duration) -> bool {
    let body = json!({"service": "app", "address": server.address.to_string(), "zone": "z0", "version": "v1",
        "slots": 8, "state": "ready", "seq": sequence, "born": 5,
        "cold-left-ms": u64::try_from(left.as_millis()).expect("a short time")});
    let path = format!("POST /-/Instances.Heartbeat/{}", server.id);
    (0..CONTROL_VMS).any(|at| {
        let response = send_request(nodes.control_address(at), &path, "", &body.to_string());
        response.status == 200
    })
}

/// Returns the value of the gauge of cold servers at an entry VM; `None` before it is set.
fn cold_gauge(nodes: &Nodes, entry: usize) -> Option<String> {
    let address = (nodes.ip(entry), METRICS_PORT).into();
    let metrics = send_request(address, "GET /metrics", "", "").body;
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix("merlinrudder_cold_servers "))?;
    Some(line.to_owned())
}

fn wait_for_gauge(nodes: &Nodes, value: &str) {
    for entry in CONTROL_VMS..nodes.len() {
        wait_for("gauge of cold servers", || {
            cold_gauge(nodes, entry).as_deref() == Some(value)
        });
    }
}

/// Sends heartbeats of a server whose cold time begins now, until it ends.
fn report_cold(nodes: &Nodes, server: &FakeBackend, sequence: &mut u64) {
    let cold_until = Instant::now() + COLD_TIME;
    loop {
        let left = cold_until.saturating_duration_since(Instant::now());
        *sequence += 1;
        let accepted = send_heartbeat(nodes, server, *sequence, left);
        assert!(accepted, "no control VM accepts a heartbeat");
        if left.is_zero() {
            return;
        }
        thread::sleep(HEARTBEAT_INTERVAL.min(left));
    }
}

#[test]
fn a_cold_server_gets_few_requests_while_a_warm_one_serves_the_rest() {
    let servers = start_servers(2);
    let (cold, warm) = (&servers[0], &servers[1]);
    let mut spans = Vec::new();
    let calls = under_load(&servers[1..], 3, &PATHS, |nodes| {
        let mut configuration = sample_configuration(6);
        configuration["services"][0]["cold-s"] = json!(COLD_TIME.as_secs());
        configuration["services"][0]["cold-per-s"] = json!(COLD_RATE);
        publish(nodes, &configuration);
        wait_for_gauge(nodes, "0");
        let mut sequence = 0;
        // The first time at its start, the second time within its lifetime.
        for tell_time in [Duration::ZERO, TELL_TIME] {
            let began = Instant::now();
            report_cold(nodes, cold, &mut sequence);
            spans.push((began + tell_time, began + COLD_TIME));
            wait_for_gauge(nodes, "0");
            let ended = Instant::now();
            wait_for("requests at the warm server", || {
                fullest_window(cold, ended, Instant::now()) > 2 * BOUND
            });
        }
    });
    for (began, ended) in spans {
        let arrivals = fullest_window(cold, began, ended);
        assert!(
            arrivals <= BOUND,
            "{arrivals} requests in a second, {BOUND} allowed"
        );
        assert!(arrivals > 0, "the cold server is shut out");
        assert!(fullest_window(warm, began, ended) > 2 * BOUND);
    }
    let failed = calls.iter().filter(|call| !call.is_served());
    assert_eq!(failed.count(), 0, "failed of {}", calls.len());
}

/// Guards against requests that hang or find no `Retry-After` while all servers are cold.
#[test]
fn requests_beyond_what_cold_servers_take_are_refused_at_once() {
    let servers = start_servers(2);
    let (cold, leaving) = (&servers[0], &servers[1]);
    let mut span = None;
    let calls = under_load(&servers[1..], 3, &PATHS, |nodes| {
        let mut configuration = sample_configuration(6);
        configuration["services"][0]["cold-s"] = json!(COLD_TIME.as_secs());
        configuration["services"][0]["cold-per-s"] = json!(COLD_RATE);
        publish(nodes, &configuration);
        wait_for_gauge(nodes, "0");
        let began = Instant::now();
        let mut sequence = 0;
        // The warm server ends when the other one takes over.
        assert!(send_heartbeat(nodes, cold, 1, COLD_TIME));
        sequence += 1;
        wait_for_gauge(nodes, "1");
        leaving.set_downtime(Duration::from_mins(1));
        leaving.crash();
        report_cold(nodes, cold, &mut sequence);
        span = Some((began, began + COLD_TIME));
    });
    let (began, ended) = span.expect("the test has run");
    assert!(fullest_window(cold, began, ended) <= BOUND);
    assert!(fullest_window(cold, began, ended) > 0);
    let refused = calls.iter().filter(|call| call.response.status == 503);
    let refused: Vec<_> = refused
        .filter(|call| call.response.body == "rate_limited")
        .collect();
    assert!(!refused.is_empty(), "no request was refused as too many");
    for call in refused {
        assert!(
            call.response.head.contains("retry-after: "),
            "{:?}",
            call.response
        );
        assert!(call.took < Duration::from_millis(1500), "{:?}", call.took);
    }
}
