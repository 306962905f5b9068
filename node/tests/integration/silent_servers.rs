//! Backend servers that fall silent for a while, although they are sound.

use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::{BackendFault, FakeBackend};
use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::sample_configuration;
use serde_json::json;

use crate::deployment::{publish, start_deployment};

/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Silence of a sound server, longer than any timeout after which another one is tried.
const SILENCE: Duration = Duration::from_millis(2500);
/// Streams at once; more than the retry budget allows to try again.
const STREAMS: usize = 60;
/// Time within which a published configuration is in force at all VMs.
const APPLY_TIME: Duration = Duration::from_secs(2);

fn start_backend(id: &str) -> FakeBackend {
    FakeBackend::bind(id, EVENT_INTERVAL).expect("fake backend server listens")
}

#[test]
fn a_silent_server_costs_no_stream_its_answer_when_there_is_no_other() {
    let server = start_backend("i-1");
    let nodes = start_deployment(1, &[&server]);
    server.set_faults(&[BackendFault::StallAfter(5, SILENCE)]);
    let response = send_customer_request(nodes.callers_address(3), "POST /stream/x", "a1");
    assert!(response.is_whole_stream(), "{response:?}");
    assert_eq!(server.executions().len(), 1);
}

#[test]
fn silent_servers_cost_no_stream_its_answer_when_the_retry_budget_is_spent() {
    let servers = [start_backend("i-1"), start_backend("i-2")];
    let nodes = start_deployment(1, &[&servers[0], &servers[1]]);
    for server in &servers {
        server.set_faults(&[BackendFault::StallAfter(5, SILENCE); 3 * STREAMS]);
    }
    let callers = nodes.callers_address(3);
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            thread::spawn(move || {
                send_customer_request(callers, "POST /stream/x", &format!("b{n}"))
            })
        })
        .collect();
    let responses = streams
        .into_iter()
        .map(|stream| stream.join().expect("caller thread finishes"));
    let cut = responses.filter(|response| !response.is_whole_stream());
    assert_eq!(cut.count(), 0, "streams cut of {STREAMS}");
}

#[test]
fn a_stream_goes_on_at_the_server_that_speaks_first() {
    let servers = [start_backend("i-1"), start_backend("i-2")];
    let nodes = start_deployment(1, &[&servers[0], &servers[1]]);
    for (silence, limit) in [(SILENCE, 3500), (SILENCE * 4, 5500)] {
        // The server of a hedge is silent as well in the first round, but not in the second.
        let first_only = usize::from(silence > SILENCE);
        for server in &servers[first_only..] {
            server.set_faults(&[BackendFault::StallAfter(5, silence)]);
        }
        for number in 0..2 {
            let start = Instant::now();
            let attempt = format!("f{first_only}-{number}");
            let callers = nodes.callers_address(3);
            let response = send_customer_request(callers, "POST /stream/x", &attempt);
            assert!(response.is_whole_stream(), "{response:?}");
            assert!(start.elapsed() < Duration::from_millis(limit), "{attempt}");
        }
    }
}

#[test]
fn a_server_that_answers_late_costs_no_call_its_answer_when_there_is_no_other() {
    let server = start_backend("i-1");
    let nodes = start_deployment(1, &[&server]);
    let mut configuration = sample_configuration(6);
    configuration["routes"][2]["slo-ms"] = json!(150);
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    server.set_faults(&[BackendFault::StallAfter(0, Duration::from_millis(1300))]);
    let response = send_customer_request(nodes.callers_address(3), "GET /read/x", "c1");
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "whole"),
        "{response:?}"
    );
}
