//! What callers are told while their entry VM stops.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::{BackendFault, FakeBackend};
use merlinrudder_fakes::http_client::{HttpResponse, send_request};
use merlinrudder_fakes::nodes::{Nodes, sample_configuration, wait_for};
use merlinrudder_fakes::raw_server::RawServer;
use nix::sys::signal::Signal;
use serde_json::json;

use crate::deployment::{publish, register, start_deployment};

/// Time between two events of a stream that a busy engine writes; all its events take 6 s.
const SLOW_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a published configuration is in force at all VMs.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time from SIGTERM to SIGKILL that is barely longer than the time a VM usually reports unready.
const SHORT_GRACE: Duration = Duration::from_secs(3);
/// Time from the stop signal within which a waiting request must have its answer.
const STOP_LIMIT: Duration = Duration::from_secs(4);
/// Time from the stop signal to the last answers of a VM that has open requests.
const EXIT_TIME: Duration = Duration::from_millis(7400);
/// Calls that are refused shortly before the exit, 50 ms apart.
const REFUSED_CALLS: u32 = 8;
/// Time within which an entry VM has taken note of a refusal.
const NOTICE_TIME: Duration = Duration::from_millis(100);

/// Sends a stream whose prompt takes an engine of `publish_engine` seconds to read.
fn send_prompt(callers: SocketAddr, attempt: &str) -> HttpResponse {
    let headers = format!(
        "X-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Deadline-Ms: 20000\r\n\
         X-Merlinrudder-Token-Count: 100000,400\r\nAuthorization: Bearer k1\r\n"
    );
    send_request(callers, "POST /stream/x", &headers, "body")
}

/// Sends a stream whose answer takes an idle engine of `publish_engine` half a second.
fn send_short_prompt(callers: SocketAddr, attempt: &str) -> HttpResponse {
    let headers = format!(
        "X-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Deadline-Ms: 20000\r\n\
         X-Merlinrudder-Token-Count: 1000,516\r\nAuthorization: Bearer k1\r\n"
    );
    send_request(callers, "POST /stream/x", &headers, "body")
}

/// Sends a long prompt whose answer takes an idle engine of `publish_engine` over 8 seconds.
fn send_long_answer(callers: SocketAddr, attempt: &str) -> HttpResponse {
    let headers = format!(
        "X-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Deadline-Ms: 20000\r\n\
         X-Merlinrudder-Token-Count: 100000,6000\r\nAuthorization: Bearer k1\r\n"
    );
    send_request(callers, "POST /stream/x", &headers, "body")
}

/// Sends a call that may run only once.
fn send_once(callers: SocketAddr, attempt: &str) -> HttpResponse {
    let headers = format!(
        "X-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Deadline-Ms: 20000\r\n\
         Authorization: Bearer k1\r\n"
    );
    send_request(callers, "POST /file/x", &headers, "body")
}

/// Starts a server that refuses call `h<n>` n + 1 times 50 ms before `exit_at`, without running it.
///
/// Each refusal is added to `refusals` with its attempt id, once it is sent.
fn start_refusing(exit_at: Instant, refusals: Arc<Mutex<Vec<(String, Instant)>>>) -> RawServer {
    let server = RawServer::bind(move |connection, request| {
        let number = request.attempt.strip_prefix('h');
        let number: u32 = number.and_then(|n| n.parse().ok()).unwrap_or(0);
        let ahead = Duration::from_millis(50) * (number + 1);
        let left = exit_at.saturating_duration_since(Instant::now());
        thread::sleep(left.saturating_sub(ahead));
        write!(
            connection,
            "HTTP/1.1 503 Service Unavailable\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
             X-Merlinrudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            request.attempt
        )?;
        let mut refusals = refusals.lock().expect("no thread panics");
        refusals.push((request.attempt.clone(), Instant::now()));
        Ok(())
    });
    server.expect("raw server listens")
}

/// Publishes a configuration whose service has engines with a performance model.
fn publish_engine(nodes: &Nodes) {
    let mut configuration = sample_configuration(6);
    configuration["routes"][0]["timeout-ms"] = json!(20_000);
    configuration["services"][0]["engine"] = json!({
        "slots": 16, "kv-capacity": 232_000, "stride": 43, "models": [{"name": "m"}],
        "step_ms": 1.02, "per_seq_ms": 0.002, "context_per_k": 0.004, "read_per_s": 50_000.0,
        "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0,
        "usual": {"prompt": 12_331, "answer": 1303}, "hop-ms": 0.075,
    });
    publish(nodes, &configuration);
}

#[test]
fn a_request_that_waits_for_an_engine_is_refused_before_its_vm_exits() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake server listens");
    let nodes = start_deployment(1, &[&server]);
    publish_engine(&nodes);
    wait_for("configuration in force", || {
        send_prompt(nodes.callers_address(3), "d0").status == 200
    });
    server.set_faults(&[BackendFault::StallAfter(0, Duration::from_secs(3)); 8]);
    let callers = nodes.callers_address(3);
    let prompts: Vec<_> = (0..6)
        .map(|n| {
            thread::spawn(move || {
                let response = send_prompt(callers, &format!("d{n}-waiting"));
                (response, Instant::now())
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let reached = server.executions().len() - 1;
    assert!(reached < 6, "no request waits");
    nodes
        .signal(3, Signal::SIGTERM)
        .expect("entry VM is running");
    let signaled_at = Instant::now();
    let mut refused = 0;
    for prompt in prompts {
        let (response, ended_at) = prompt.join().expect("caller thread finishes");
        if response.status == 200 {
            assert!(response.is_whole_stream(), "{response:?}");
            continue;
        }
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.head.contains("retry-after"), "{response:?}");
        assert!(ended_at < signaled_at + STOP_LIMIT, "refused late");
        refused += 1;
    }
    assert!(refused > 0, "no request waited when the VM stopped");
}

#[test]
fn a_call_at_a_silent_server_is_told_before_its_vm_exits_that_it_may_have_run() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake server listens");
    let nodes = start_deployment(1, &[&server]);
    let mut configuration = sample_configuration(6);
    configuration["routes"][1]["timeout-ms"] = json!(20_000);
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    server.set_faults(&[BackendFault::StallAfter(0, Duration::from_secs(9))]);
    let callers = nodes.callers_address(3);
    let headers = "X-Merlinrudder-Attempt-Id: e1\r\nX-Merlinrudder-Deadline-Ms: 20000\r\n\
         Authorization: Bearer k1\r\n";
    let call = thread::spawn(move || send_request(callers, "POST /file/x", headers, "body"));
    wait_for("running call", || server.executions().len() == 1);
    nodes
        .signal(3, Signal::SIGTERM)
        .expect("entry VM is running");
    let response = call.join().expect("caller thread finishes");
    assert_eq!(response.status, 502, "{response:?}");
    wait_for("end of the process", || nodes.has_ended(3));
}

#[test]
fn a_stream_whose_server_breaks_in_a_planned_stop_is_resumed_when_an_engine_is_free() {
    let first = FakeBackend::bind("i-1", EVENT_INTERVAL * 25).expect("fake server listens");
    let second = FakeBackend::bind("i-2", EVENT_INTERVAL).expect("fake server listens");
    let nodes = start_deployment(1, &[&first]);
    publish_engine(&nodes);
    thread::sleep(APPLY_TIME);
    let callers = nodes.callers_address(3);
    let stream = thread::spawn(move || send_prompt(callers, "f1"));
    wait_for("running stream", || first.executions().len() == 1);
    thread::sleep(Duration::from_millis(700));
    nodes
        .signal(3, Signal::SIGTERM)
        .expect("entry VM is running");
    let signaled_at = Instant::now();
    second.set_faults(&[BackendFault::StallAfter(0, Duration::from_millis(1500)); 8]);
    register(&nodes, "i-2", second.address);
    thread::sleep(Duration::from_millis(2300).saturating_sub(signaled_at.elapsed()));
    let backlog: Vec<_> = (0..3)
        .map(|n| thread::spawn(move || send_prompt(callers, &format!("f1-other{n}"))))
        .collect();
    thread::sleep(Duration::from_secs(3).saturating_sub(signaled_at.elapsed()));
    assert!(!second.executions().is_empty(), "no backlog");
    first.crash();
    let response = stream.join().expect("caller thread finishes");
    for other in backlog {
        let _response = other.join().expect("caller thread finishes");
    }
    assert!(response.is_whole_stream(), "{response:?}");
}

#[test]
fn a_call_that_servers_only_refused_is_told_at_exit_that_it_did_not_run() {
    let crashing = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake server listens");
    crashing.set_downtime(Duration::from_mins(1));
    let nodes = start_deployment(1, &[&crashing]);
    let mut configuration = sample_configuration(6);
    configuration["routes"][1]["timeout-ms"] = json!(20_000);
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    // After a content has crashed a server, its next attempts wait for evidence of a crash.
    crashing.set_faults(&[BackendFault::StallBeforeHead(Duration::from_secs(9))]);
    let callers = nodes.callers_address(3);
    let crash = thread::spawn(move || send_once(callers, "h-crash"));
    wait_for("running call", || crashing.executions().len() == 1);
    crashing.crash();
    let _response = crash.join().expect("caller thread finishes");
    let refusals = Arc::new(Mutex::new(Vec::new()));
    let sent_at = Instant::now() + APPLY_TIME;
    let signaled_at = sent_at + NOTICE_TIME;
    let refuser = start_refusing(signaled_at + EXIT_TIME, Arc::clone(&refusals));
    register(&nodes, "i-2", refuser.address);
    thread::sleep(sent_at.saturating_duration_since(Instant::now()));
    let calls: Vec<_> = (0..REFUSED_CALLS)
        .map(|n| {
            thread::spawn(move || {
                let attempt = format!("h{n}");
                let status = send_once(callers, &attempt).status;
                (attempt, status, Instant::now())
            })
        })
        .collect();
    thread::sleep(signaled_at.saturating_duration_since(Instant::now()));
    nodes
        .signal(3, Signal::SIGTERM)
        .expect("entry VM is running");
    let mut told = Vec::new();
    for call in calls {
        let (attempt, status, answered_at) = call.join().expect("caller thread finishes");
        let refusals = refusals.lock().expect("no thread panics");
        let refusal = refusals.iter().find(|(of, _)| *of == attempt);
        if refusal.is_some_and(|(_, at)| *at + NOTICE_TIME < answered_at) {
            told.push(status);
        }
    }
    assert!(!told.is_empty(), "no call waited after a refusal");
    assert!(told.iter().all(|status| *status == 503), "{told:?}");
}

/// Guards against a call that is taken late in a stop, runs, and is cut by the exit without an answer.
#[test]
fn a_call_that_runs_once_and_may_outlast_the_exit_is_refused_after_the_stop_signal() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake server listens");
    let nodes = start_deployment(1, &[&server]);
    let mut configuration = sample_configuration(6);
    configuration["routes"][1]["timeout-ms"] = json!(20_000);
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    server.set_faults(&[BackendFault::StallAfter(0, Duration::from_secs(9)); 2]);
    nodes
        .signal(3, Signal::SIGTERM)
        .expect("entry VM is running");
    thread::sleep(Duration::from_secs(1));
    let response = send_once(nodes.callers_address(3), "g1");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.head.contains("retry-after"), "{response:?}");
    assert!(server.executions().is_empty(), "the call ran");
}

/// Guards against a stream that is taken by the time of an idle engine, and is cut as all are slower.
#[test]
fn a_stream_that_would_outlast_the_exit_at_the_usual_pace_is_refused() {
    let server = FakeBackend::bind("i-1", SLOW_INTERVAL).expect("fake server listens");
    let nodes = start_deployment(1, &[&server]);
    publish_engine(&nodes);
    thread::sleep(APPLY_TIME);
    let callers = nodes.callers_address(3);
    let earlier = send_short_prompt(callers, "p0");
    assert!(earlier.is_whole_stream(), "{earlier:?}");
    nodes
        .signal(3, Signal::SIGTERM)
        .expect("entry VM is running");
    thread::sleep(Duration::from_secs(2));
    let response = send_short_prompt(callers, "p1");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.head.contains("retry-after"), "{response:?}");
    assert_eq!(server.executions().len(), 1, "the stream ran");
}

/// Guards against a prompt that waits when the signal comes, gets its engine late, and is cut by the exit.
#[test]
fn a_prompt_that_waits_for_an_engine_is_not_sent_when_it_cannot_end_before_the_exit() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake server listens");
    let nodes = start_deployment(1, &[&server]);
    publish_engine(&nodes);
    thread::sleep(APPLY_TIME);
    let callers = nodes.callers_address(3);
    server.set_faults(&[BackendFault::StallAfter(0, Duration::from_millis(1500)); 8]);
    let prompts: Vec<_> = (0..6)
        .map(|n| thread::spawn(move || send_long_answer(callers, &format!("q{n}"))))
        .collect();
    thread::sleep(Duration::from_millis(500));
    let reached = server.executions().len();
    assert!(reached < 6, "no request waits");
    server.set_faults(&[BackendFault::StallAfter(0, Duration::from_secs(9)); 8]);
    nodes
        .signal(3, Signal::SIGTERM)
        .expect("entry VM is running");
    let mut refused = 0;
    for prompt in prompts {
        let response = prompt.join().expect("caller thread finishes");
        if response.status == 503 {
            assert!(response.head.contains("retry-after"), "{response:?}");
            refused += 1;
        } else {
            assert!(response.is_whole_stream(), "{response:?}");
        }
    }
    assert_eq!(refused, 6 - reached, "a request was sent late");
    assert_eq!(
        server.executions().len(),
        reached,
        "a request was sent late"
    );
}

/// Guards against a VM that is killed before it has told its callers anything, as its grace is short.
#[test]
fn a_call_at_a_silent_server_is_told_before_a_short_grace_ends() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake server listens");
    let nodes = start_deployment(1, &[&server]);
    let mut configuration = sample_configuration(6);
    configuration["routes"][1]["timeout-ms"] = json!(20_000);
    publish(&nodes, &configuration);
    nodes.kill(3).expect("entry VM is killed");
    nodes.set_grace(SHORT_GRACE);
    nodes.start(3, false).expect("entry VM starts");
    wait_for("ready entry VM", || nodes.is_ready(3));
    thread::sleep(APPLY_TIME);
    server.set_faults(&[BackendFault::StallAfter(0, Duration::from_secs(9))]);
    let callers = nodes.callers_address(3);
    let call = thread::spawn(move || (send_once(callers, "s1"), Instant::now()));
    wait_for("running call", || server.executions().len() == 1);
    let signaled_at = Instant::now();
    nodes
        .signal(3, Signal::SIGTERM)
        .expect("entry VM is running");
    let (response, answered_at) = call.join().expect("caller thread finishes");
    assert_eq!(response.status, 502, "{response:?}");
    let taken = answered_at - signaled_at;
    assert!(taken < SHORT_GRACE, "answered after {taken:?}");
}

/// Guards against callers that wait before they go to another VM, which would serve them at once.
#[test]
fn a_request_that_a_stopping_vm_refuses_may_come_back_at_once() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake server listens");
    let nodes = start_deployment(1, &[&server]);
    let mut configuration = sample_configuration(6);
    configuration["routes"][1]["timeout-ms"] = json!(20_000);
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    nodes
        .signal(3, Signal::SIGTERM)
        .expect("entry VM is running");
    thread::sleep(Duration::from_secs(1));
    let response = send_once(nodes.callers_address(3), "r1");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.head.contains("retry-after: 0.000"), "{response:?}");
}
