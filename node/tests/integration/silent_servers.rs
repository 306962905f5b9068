//! Backend servers that fall silent for a while, although they are sound.

use std::io::{ErrorKind, Write};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::{BackendFault, FakeBackend};
use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::{Nodes, sample_configuration, wait_for};
use merlinrudder_fakes::raw_server::RawServer;
use serde_json::json;

use crate::deployment::{publish, register, start_deployment};

/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Silence of a sound server, longer than any timeout after which another one is tried.
const SILENCE: Duration = Duration::from_millis(2500);
/// Time to a late answer; longer than the time to a hedge, shorter than any timeout.
const LATE_ANSWER: Duration = Duration::from_millis(1600);
/// Streams at once; more than the retry budget allows to try again.
const STREAMS: usize = 60;
/// Time within which a published configuration is in force at all VMs.
const APPLY_TIME: Duration = Duration::from_secs(2);

fn start_backend(id: &str) -> FakeBackend {
    FakeBackend::bind(id, EVENT_INTERVAL).expect("fake backend server listens")
}

/// Publishes a configuration with `value` at a member of a route.
fn publish_route(nodes: &Nodes, route: usize, name: &str, value: u64) {
    let mut configuration = sample_configuration(6);
    configuration["routes"][route][name] = json!(value);
    publish(nodes, &configuration);
    thread::sleep(APPLY_TIME);
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

#[test]
fn a_silent_hedge_does_not_keep_a_stream_from_a_third_server() {
    let servers = [
        start_backend("i-1"),
        start_backend("i-2"),
        start_backend("i-3"),
    ];
    let nodes = start_deployment(1, &[&servers[0]]);
    publish_route(&nodes, 0, "max-attempts", 4);
    servers[0].set_faults(&[BackendFault::StallAfter(5, SILENCE * 4)]);
    servers[1].set_faults(&[BackendFault::StallBeforeHead(SILENCE * 5)]);
    let callers = nodes.callers_address(3);
    let start = Instant::now();
    let stream = thread::spawn(move || {
        let response = send_customer_request(callers, "POST /stream/x", "g1");
        (response, start.elapsed())
    });
    wait_for("running stream", || servers[0].executions().len() == 1);
    register(&nodes, "i-2", servers[1].address);
    wait_for("hedge", || servers[1].executions().len() == 1);
    register(&nodes, "i-3", servers[2].address);
    thread::sleep(Duration::from_millis(2800).saturating_sub(start.elapsed()));
    servers[0].crash();
    let (response, took) = stream.join().expect("caller thread finishes");
    assert!(response.is_whole_stream(), "after {took:?}: {response:?}");
    assert!(took < Duration::from_secs(6), "whole after {took:?}");
}

#[test]
fn a_late_whole_answer_is_not_lost_to_a_hedge_that_is_cut() {
    let first = start_backend("i-1");
    let nodes = start_deployment(1, &[&first]);
    publish_route(&nodes, 2, "slo-ms", 150);
    let hedged = RawServer::bind(|connection, request| {
        write!(
            connection,
            "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
             X-Merlinrudder-Response-Seal: seal\r\nContent-Length: 5\r\n\r\nwh",
            request.attempt
        )?;
        thread::sleep(EVENT_INTERVAL);
        Err(ErrorKind::ConnectionAborted.into())
    })
    .expect("raw server listens");
    first.set_faults(&[BackendFault::StallBeforeHead(LATE_ANSWER)]);
    let callers = nodes.callers_address(3);
    let call = thread::spawn(move || send_customer_request(callers, "GET /read/x", "h1"));
    wait_for("running call", || first.executions().len() == 1);
    register(&nodes, "i-2", hedged.address);
    let response = call.join().expect("caller thread finishes");
    assert_eq!(hedged.attempts().len(), 1, "no hedge: {response:?}");
    assert_eq!(
        (response.status, response.body.as_str(), response.whole),
        (200, "whole", true),
        "{response:?}"
    );
}

#[test]
fn a_late_stream_is_not_lost_to_a_hedge_that_is_cut_before_its_first_event() {
    let (first, hedged) = (start_backend("i-1"), start_backend("i-2"));
    let nodes = start_deployment(1, &[&first]);
    publish_route(&nodes, 0, "slo-ms", 150);
    first.set_faults(&[BackendFault::StallBeforeHead(LATE_ANSWER)]);
    hedged.set_faults(&[BackendFault::DisconnectAfter(0)]);
    let callers = nodes.callers_address(3);
    let stream = thread::spawn(move || send_customer_request(callers, "POST /stream/x", "j1"));
    wait_for("running stream", || first.executions().len() == 1);
    register(&nodes, "i-2", hedged.address);
    let response = stream.join().expect("caller thread finishes");
    assert!(!hedged.executions().is_empty(), "no hedge: {response:?}");
    assert!(response.is_whole_stream(), "{response:?}");
}

#[test]
fn hedges_that_were_refused_do_not_exclude_their_servers_from_a_recovery() {
    let first = start_backend("i-1");
    let nodes = start_deployment(1, &[&first]);
    first.set_faults(&[BackendFault::StallAfter(5, SILENCE * 4)]);
    let callers = nodes.callers_address(3);
    let stream = thread::spawn(move || send_customer_request(callers, "POST /stream/x", "k1"));
    wait_for("running stream", || first.executions().len() == 1);
    let others = [
        start_backend("i-2"),
        start_backend("i-3"),
        start_backend("i-4"),
    ];
    for other in &others {
        other.set_faults(&[BackendFault::Refuse; STREAMS]);
        register(&nodes, &other.id, other.address);
    }
    wait_for("refused hedges", || {
        others.iter().map(FakeBackend::refusals).sum::<usize>() >= others.len()
    });
    thread::sleep(Duration::from_secs(1));
    for other in &others {
        other.set_faults(&[]);
    }
    first.crash();
    let response = stream.join().expect("caller thread finishes");
    assert!(response.is_whole_stream(), "{response:?}");
}
