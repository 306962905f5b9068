//! Requests that crash the backend servers that run them, in a deployment of processes.

use std::thread;
use std::time::Duration;

use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes};

use crate::deployment::{
    ENTRY_VMS, runs, send_until_crashes, total_crashes, with_restarting_servers,
};

/// Time between two requests of a caller that comes back.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the third crash from which on further runs are counted.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Crashes after which a request must be recognised.
const MAX_CRASHES: u64 = 3;
/// Runs that are allowed later than the stability window after the last such crash.
const MAX_LATE_RUNS: usize = 3;

/// Sends a request three times to each entry VM; returns the statuses.
fn send_again(nodes: &Nodes, method_path: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..3 * usize::from(ENTRY_VMS) {
        let entry = CONTROL_VMS + number % usize::from(ENTRY_VMS);
        let attempt = format!("again-{number}");
        let response = send_customer_request(nodes.callers_address(entry), method_path, &attempt);
        statuses.push(response.status);
        thread::sleep(RETURN_INTERVAL);
    }
    statuses
}

fn assert_stopped_after_three_crashes(method_path: &str) {
    with_restarting_servers(|nodes, servers| {
        send_until_crashes(nodes, servers, method_path, MAX_CRASHES);
        thread::sleep(STABILITY_WINDOW);
        let before = runs(servers, "/crash");
        let statuses = send_again(nodes, method_path);
        let late = runs(servers, "/crash") - before;
        assert!(
            late <= MAX_LATE_RUNS,
            "{late} runs after the third crash; statuses {statuses:?}"
        );
    });
}

#[test]
fn a_stream_that_crashed_three_servers_reaches_no_further_ones() {
    assert_stopped_after_three_crashes("POST /stream/crash");
}

#[test]
fn an_idempotent_call_that_crashed_three_servers_reaches_no_further_ones() {
    assert_stopped_after_three_crashes("GET /read/crash");
}

#[test]
fn an_at_most_once_call_that_crashed_three_servers_reaches_no_further_ones() {
    assert_stopped_after_three_crashes("POST /file/crash");
}

/// Guards against requests that crash servers in the middle of answers without a length, each of which
/// counted as a success.
#[test]
fn an_idempotent_call_that_crashed_three_servers_within_unframed_answers_is_stopped() {
    with_restarting_servers(|nodes, servers| {
        for server in servers {
            server.set_unframed(true);
        }
        let path = "GET /read/crash-within";
        send_until_crashes(nodes, servers, path, MAX_CRASHES);
        thread::sleep(STABILITY_WINDOW);
        let before = runs(servers, "/crash");
        let statuses = send_again(nodes, path);
        let late = runs(servers, "/crash") - before;
        assert!(late <= MAX_LATE_RUNS, "{late} late runs; {statuses:?}");
        assert!(!statuses.contains(&200), "{statuses:?}");
    });
}

/// Guards against half of an answer without a length that reaches its caller as a whole one.
#[test]
fn an_unframed_answer_that_a_crash_cuts_is_no_success() {
    for path in ["POST /file/crash-within", "GET /read/crash-within"] {
        with_restarting_servers(|nodes, servers| {
            for server in servers {
                server.set_unframed(true);
            }
            let callers = nodes.callers_address(CONTROL_VMS);
            let sound = send_customer_request(callers, "POST /file/x", "sound");
            assert_eq!((sound.status, sound.body.as_str()), (200, "whole"));
            let cut = send_customer_request(callers, path, "cut");
            assert!([502, 503].contains(&cut.status), "{cut:?}");
        });
    }
}

/// Rounds of copies that are sent at the same time.
const COPY_ROUNDS: usize = 5;
/// Time between two rounds; longer than `STABILITY_WINDOW`.
const COPY_INTERVAL: Duration = Duration::from_secs(4);

/// Guards against copies of a crashing request that crash all servers together and count as one crash.
#[test]
fn copies_that_crash_servers_together_reach_no_further_ones() {
    with_restarting_servers(|nodes, servers| {
        let mut before = None;
        let mut statuses = Vec::new();
        for round in 0..COPY_ROUNDS {
            thread::scope(|scope| {
                let copies = (0..2 * usize::from(ENTRY_VMS)).map(|copy| {
                    let entry = CONTROL_VMS + copy % usize::from(ENTRY_VMS);
                    let attempt = format!("copy-{round}-{copy}");
                    let callers = nodes.callers_address(entry);
                    scope.spawn(move || {
                        send_customer_request(callers, "POST /file/crash-within", &attempt).status
                    })
                });
                let copies: Vec<_> = copies.collect();
                let answers = copies
                    .into_iter()
                    .map(|copy| copy.join().expect("no panic"));
                statuses.extend(answers);
            });
            thread::sleep(COPY_INTERVAL);
            // Copies that are sent to the same server crash it once.
            if before.is_none() && total_crashes(servers) >= MAX_CRASHES {
                before = Some(runs(servers, "/crash"));
            }
        }
        let before = before.expect("three servers have crashed");
        let late = runs(servers, "/crash") - before;
        assert!(
            late <= MAX_LATE_RUNS,
            "{late} runs after {before} until the third crash; statuses {statuses:?}"
        );
    });
}
