//! Prompts over several engines while some of these engines fail.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::http_client::send_request_with_headers;
use merlinrudder_fakes::nodes::{Nodes, sample_configuration};
use merlinrudder_fakes::raw_server::{RawRequest, RawServer};
use serde_json::json;

use crate::deployment::{publish, register, start_with};

/// Entry VM of the tests, as the index of its node.
const ENTRY: usize = 3;
/// Time within which a published configuration is in force at all VMs.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Events of an answer.
const EVENTS: u64 = 3;

/// Starts a deployment with the engines `i-0`, `i-1` and so on.
fn start(engines: &[RawServer]) -> Nodes {
    let nodes = start_with(1, |nodes| {
        for (number, engine) in engines.iter().enumerate() {
            register(nodes, &format!("i-{number}"), engine.address);
        }
    });
    let mut configuration = sample_configuration(6);
    configuration["routes"][0]["slo-ms"] = json!(3000);
    configuration["services"][0]["engine"] = json!({
        "slots": 16, "kv-capacity": 232_000, "stride": 43, "models": [{"name": "m"}],
        "step_ms": 1.02, "per_seq_ms": 0.002_26, "context_per_k": 0.004_31,
        "read_per_s": 206_000.0, "pairs_per_m": 0.138, "chunk": 2048,
        "usual": {"prompt": 12_331, "answer": 1303},
    });
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    nodes
}

/// Sends a prompt of `tokens` tokens; returns whether its answer was whole.
fn is_served(nodes: &Nodes, attempt: &str, tokens: u64) -> bool {
    let headers = format!("X-Merlinrudder-Token-Count: {tokens},100\r\n");
    let callers = nodes.callers_address(ENTRY);
    let response = send_request_with_headers(callers, "POST /stream/x", attempt, "k1", &headers);
    response.status == 200 && response.event_ids().len() as u64 == EVENTS
}

/// Answers an order, which has no attempt id, or a prompt.
fn answer(connection: &mut TcpStream, request: &RawRequest) -> std::io::Result<()> {
    if request.attempt.is_empty() {
        return write!(
            connection,
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{{}}"
        );
    }
    let events: Vec<_> = (1..=EVENTS)
        .map(|id| format!("id: {id}\ndata: x\n\n"))
        .collect();
    let events = events.concat();
    write!(
        connection,
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {}\r\nX-Merlinrudder-Response-Seal: seal\r\n\
         Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{events}",
        request.attempt,
        events.len()
    )
}

/// Guards against helpers that are asked for memory again and again although they do not answer.
#[test]
fn silent_helpers_cost_a_prompt_larger_than_one_engine_no_answer() {
    let mut engines: Vec<_> = (0..3)
        .map(|_| RawServer::bind(answer).expect("engine listens"))
        .collect();
    for _ in 0..4 {
        let silent = RawServer::bind(|_, _| {
            thread::sleep(Duration::from_secs(30));
            Ok(())
        });
        engines.push(silent.expect("engine listens"));
    }
    let nodes = start(&engines);
    for number in 0..3 {
        assert!(
            is_served(&nodes, &format!("a{number}"), 600_000),
            "{number}"
        );
    }
}

/// Guards against blaming the engine that refuses for the helper that it names.
#[test]
fn a_helper_that_a_refusal_names_is_left_out_of_the_next_attempt() {
    let faulty = Arc::new(Mutex::new(String::new()));
    let refusals = Arc::new(Mutex::new(BTreeSet::new()));
    let engines: Vec<_> = (0..6)
        .map(|number| {
            let (faulty, refusals) = (Arc::clone(&faulty), Arc::clone(&refusals));
            let engine = RawServer::bind(move |connection, request| {
                let faulty = faulty.lock().unwrap_or_else(PoisonError::into_inner);
                if faulty.is_empty() || !request.helpers.contains(faulty.as_str()) {
                    return answer(connection, request);
                }
                let mut refusals = refusals.lock().unwrap_or_else(PoisonError::into_inner);
                refusals.insert((request.attempt.clone(), number));
                write!(
                    connection,
                    "HTTP/1.1 503 Service Unavailable\r\nX-Merlinrudder-Not-Executed: 1\r\n\
                     At-Server: i-1\r\nContent-Length: 0\r\n\r\n"
                )
            });
            engine.expect("engine listens")
        })
        .collect();
    let nodes = start(&engines);
    *faulty.lock().unwrap_or_else(PoisonError::into_inner) = engines[1].address.to_string();
    for number in 0..5 {
        let attempt = format!("b{number}");
        assert!(is_served(&nodes, &attempt, 130_000), "{attempt}");
        let refusals = refusals.lock().unwrap_or_else(PoisonError::into_inner);
        let refused = refusals.iter().filter(|(refused, _)| *refused == attempt);
        assert!(refused.count() <= 1, "{refusals:?}");
    }
}

/// Guards against orders to a helper that wants no requests for a time, also to release memory.
#[test]
fn a_helper_whose_refused_order_names_a_time_gets_no_requests_for_that_time() {
    let arrivals: Vec<Arc<Mutex<Vec<_>>>> = vec![Arc::default(), Arc::default()];
    let refusing = |arrivals: &Arc<Mutex<Vec<_>>>| {
        let arrivals = Arc::clone(arrivals);
        RawServer::bind(move |connection, request| {
            let mut arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
            arrivals.push((Instant::now(), request.attempt.is_empty()));
            write!(
                connection,
                "HTTP/1.1 503 Service Unavailable\r\nX-Merlinrudder-Not-Executed: 1\r\n\
                 Retry-After: 3\r\nContent-Length: 0\r\n\r\n"
            )
        })
    };
    let mut engines: Vec<_> = arrivals
        .iter()
        .map(|arrivals| refusing(arrivals).expect("engine listens"))
        .collect();
    engines.extend((0..4).map(|_| RawServer::bind(answer).expect("engine listens")));
    let nodes = start(&engines);
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < Duration::from_millis(2900) {
        number += 1;
        assert!(
            is_served(&nodes, &format!("c{number}"), 600_000),
            "{number}"
        );
    }
    let mut orders = 0;
    for arrivals in arrivals {
        let arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let Some((first, is_order)) = arrivals.first().copied() else {
            continue;
        };
        orders += usize::from(is_order);
        let window = first + Duration::from_millis(500)..start + Duration::from_millis(2900);
        let late = arrivals.iter().filter(|(at, _)| window.contains(at));
        assert!(late.count() <= 2, "{number} prompts: {arrivals:?}");
    }
    assert!(orders > 0, "no order came first");
}
