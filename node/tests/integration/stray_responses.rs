//! Responses that belong to another attempt, and failures that a server answers itself.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::{
    HttpResponse, send_customer_request, send_request_with_headers,
};
use merlinrudder_fakes::nodes::{Nodes, sample_configuration};
use merlinrudder_fakes::raw_server::{RawRequest, RawServer};
use serde_json::json;

use crate::deployment::{publish, register, start_with};

/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a configuration or a server is known to all VMs.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Requests of a test; enough for each of two servers to run some.
const REQUESTS: usize = 8;
/// A refusal of an attempt that no test sends.
const STRAY_REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\n\
    X-Merlinrudder-Attempt-Id: old\r\nX-Merlinrudder-Not-Executed: 1\r\n\
    Content-Length: 0\r\n\r\n";
/// A response of a server that has another id, to an attempt that no test sends.
const STRAY_MISDIRECTION: &str = "HTTP/1.1 421 Misdirected Request\r\n\
    X-Merlinrudder-Attempt-Id: old\r\nX-Merlinrudder-Instance-Id: i-0\r\n\
    Content-Length: 0\r\n\r\n";

/// Sends a response with a length.
fn respond(
    connection: &mut TcpStream,
    request: &RawRequest,
    status: &str,
    body: &str,
) -> std::io::Result<()> {
    write!(
        connection,
        "HTTP/1.1 {status}\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
         X-Merlinrudder-Response-Seal: seal\r\nContent-Length: {}\r\n\r\n{body}",
        request.attempt,
        body.len()
    )
}

/// Starts a server that runs each request, and sends a stray refusal before its later answers.
fn start_refusing() -> RawServer {
    let server = RawServer::bind(|connection, request| {
        if request.earlier > 0 {
            connection.write_all(STRAY_REFUSAL.as_bytes())?;
        }
        respond(connection, request, "200 OK", "id: 1\ndata: x\n\n")
    });
    server.expect("raw server listens")
}

/// Starts a server that answers each request with a failure.
fn start_failing() -> RawServer {
    let server = RawServer::bind(|connection, request| {
        respond(connection, request, "500 Internal Server Error", "failed")
    });
    server.expect("raw server listens")
}

/// Starts a deployment with one entry VM that knows these servers, each by its address.
fn start_known(addresses: &[SocketAddr]) -> Nodes {
    let nodes = start_with(1, |nodes| {
        for (number, address) in addresses.iter().enumerate() {
            register(nodes, &format!("i-{number}"), *address);
        }
    });
    thread::sleep(APPLY_TIME);
    nodes
}

/// Whether a response is the failure that `start_failing` answers, and whole.
fn is_failure(response: &HttpResponse) -> bool {
    response.status == 500 && response.body == "failed" && response.whole
}

#[test]
fn a_refusal_of_another_attempt_is_not_believed() {
    let servers = [start_refusing(), start_refusing()];
    let nodes = start_known(&servers.each_ref().map(|server| server.address));
    let mut configuration = sample_configuration(6);
    configuration["routes"][0]["resumable"] = json!(false);
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    let mut wrong = Vec::new();
    for number in 0..REQUESTS {
        let attempt = format!("a{number}");
        let callers = nodes.callers_address(3);
        let response = send_customer_request(callers, "POST /stream/x", &attempt);
        let ran = servers.iter().flat_map(RawServer::attempts);
        let runs = ran.filter(|ran| *ran == attempt).count();
        if runs > 1 || (runs > 0 && response.status == 503) {
            wrong.push((attempt, runs, response.status));
        }
    }
    assert!(
        wrong.is_empty(),
        "attempt, runs, status of {REQUESTS}: {wrong:?}"
    );
}

#[test]
fn a_misdirection_of_another_attempt_does_not_exclude_its_server() {
    let strayed = AtomicBool::new(false);
    let server = RawServer::bind(move |connection, request| {
        if request.earlier > 0 && !strayed.swap(true, Ordering::Relaxed) {
            connection.write_all(STRAY_MISDIRECTION.as_bytes())?;
        }
        respond(connection, request, "200 OK", "whole")
    });
    let server = server.expect("raw server listens");
    let nodes = start_known(&[server.address]);
    let send = |attempt: &str| {
        let callers = nodes.callers_address(3);
        send_customer_request(callers, "GET /read/x", attempt).status
    };
    assert_eq!(send("b-first"), 200);
    let at_stray = send("b-stray");
    thread::sleep(APPLY_TIME);
    let later: Vec<_> = (0..3).map(|number| send(&format!("b{number}"))).collect();
    assert_eq!(later, [200; 3], "after {at_stray}");
}

/// Guards against one caller's requests for other weights that take a service away from all callers.
#[test]
fn a_misdirection_of_a_request_for_other_weights_does_not_exclude_its_server() {
    let server = RawServer::bind(|connection, request| {
        if request.path.contains("other-weights") {
            return write!(
                connection,
                "HTTP/1.1 421 Misdirected Request\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
                 X-Merlinrudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                request.attempt
            );
        }
        respond(connection, request, "200 OK", "whole")
    });
    let server = server.expect("raw server listens");
    let nodes = start_known(&[server.address]);
    let callers = nodes.callers_address(3);
    for number in 0..REQUESTS {
        let attempt = format!("f{number}");
        let path = "GET /read/other-weights";
        let headers = "X-Merlinrudder-Expect-Version: 2\r\n";
        let refused = send_request_with_headers(callers, path, &attempt, "k1", headers);
        assert!([421, 503].contains(&refused.status), "{refused:?}");
    }
    thread::sleep(APPLY_TIME);
    let later = [(); 3].map(|()| {
        let attempt = format!("g{:x}", fastrand::u64(..));
        send_customer_request(callers, "GET /read/x", &attempt).status
    });
    assert_eq!(later, [200; 3]);
}

#[test]
fn a_failure_that_a_server_answers_to_a_stream_reaches_the_caller_whole() {
    let nodes = start_known(&[start_failing().address]);
    let response = send_customer_request(nodes.callers_address(3), "POST /stream/x", "c1");
    assert!(is_failure(&response), "{response:?}");
}

#[test]
fn a_failed_answer_and_the_events_of_another_run_are_not_joined() {
    let failing = start_failing();
    let sound = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake server listens");
    let nodes = start_known(&[failing.address, sound.address]);
    let callers = nodes.callers_address(3);
    let streams: Vec<_> = (0..REQUESTS)
        .map(|n| {
            thread::spawn(move || {
                send_customer_request(callers, "POST /stream/x", &format!("d{n}"))
            })
        })
        .collect();
    let responses = streams
        .into_iter()
        .map(|stream| stream.join().expect("caller thread finishes"));
    let wrong: Vec<_> = responses
        .filter(|response| !response.is_whole_stream() && !is_failure(response))
        .collect();
    assert!(
        !failing.attempts().is_empty(),
        "the failing server ran nothing"
    );
    assert!(wrong.is_empty(), "of {REQUESTS}: {wrong:?}");
}

/// Guards against streams that are cut since their event ids have gaps, as an event may hold several tokens.
#[test]
fn a_stream_whose_event_ids_have_gaps_reaches_the_caller_whole() {
    let server = RawServer::bind(|connection, request| {
        let events: String = [43, 86, 87, 130]
            .map(|id| format!("id: {id}\ndata: x\n\n"))
            .concat();
        respond(connection, request, "200 OK", &events)
    });
    let server = server.expect("raw server listens");
    let nodes = start_known(&[server.address]);
    for number in 0..REQUESTS {
        let attempt = format!("h{number}");
        let callers = nodes.callers_address(3);
        let response = send_customer_request(callers, "POST /stream/x", &attempt);
        assert!(response.whole, "{response:?}");
        assert_eq!(response.body.matches("data: x").count(), 4, "{response:?}");
    }
}

/// Guards against callers that are told "not run" by an earlier refusal that is written once more.
#[test]
fn a_refusal_without_an_attempt_id_on_a_kept_connection_is_not_believed() {
    let stray = [
        STRAY_REFUSAL.replace("X-Merlinrudder-Attempt-Id: old\r\n", ""),
        STRAY_MISDIRECTION.replace("X-Merlinrudder-Attempt-Id: old\r\n", ""),
        STRAY_REFUSAL.replace("503 Service Unavailable", "429 Too Many Requests"),
    ];
    for stray in stray {
        let server = RawServer::bind(move |connection, request| {
            if request.earlier > 0 {
                connection.write_all(stray.as_bytes())?;
            }
            respond(connection, request, "200 OK", "whole")
        });
        let server = server.expect("raw server listens");
        let nodes = start_known(&[server.address]);
        let mut wrong = Vec::new();
        for number in 0..REQUESTS {
            let attempt = format!("e{number}");
            let callers = nodes.callers_address(3);
            let response = send_customer_request(callers, "GET /read/x", &attempt);
            let promises_not_run = [408, 421, 429, 503].contains(&response.status);
            if promises_not_run && server.attempts().contains(&attempt) {
                wrong.push((attempt, response.status));
            }
        }
        assert!(wrong.is_empty(), "attempt, status of {REQUESTS}: {wrong:?}");
    }
}

/// Guards against a refusal that is written once more after the answer, or in the middle of it.
#[test]
fn a_refusal_behind_or_inside_an_answer_reaches_no_caller() {
    for inside in [false, true] {
        let server = RawServer::bind(move |connection, request| {
            if !inside {
                respond(connection, request, "200 OK", "whole")?;
                return connection.write_all(STRAY_REFUSAL.as_bytes());
            }
            write!(
                connection,
                "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
                 X-Merlinrudder-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
                request.attempt
            )?;
            connection.write_all(STRAY_REFUSAL.as_bytes())
        });
        let server = server.expect("raw server listens");
        let nodes = start_known(&[server.address]);
        for (number, path) in (0..REQUESTS).zip(["POST /file/x", "GET /read/x"].iter().cycle()) {
            let attempt = format!("f{number}");
            let response = send_customer_request(nodes.callers_address(3), path, &attempt);
            let ran = server
                .attempts()
                .iter()
                .filter(|ran| **ran == attempt)
                .count();
            let is_answer = response.status == 200 && response.body == "whole";
            assert!(
                is_answer || (inside && response.status == 502),
                "{response:?}"
            );
            assert!(
                ran == 1 || path.starts_with("GET"),
                "{path} ran {ran} times"
            );
        }
    }
}

/// Guards against an error of the next server in the middle of a stream that another one began.
#[test]
fn an_error_of_the_next_server_is_not_joined_to_a_stream_that_broke_off() {
    let failures = [
        "HTTP/1.1 500 Internal Server Error\r\nX-Merlinrudder-Attempt-Id: ID\r\n\
         X-Merlinrudder-Response-Seal: seal\r\nContent-Length: 6\r\n\r\nfailed",
        "HTTP/1.1 500 Internal Server Error\r\nX-Merlinrudder-Attempt-Id: ID\r\n\
         X-Merlinrudder-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
        "HTTP/1.1 500 Internal Server Error\r\nX-Merlinrudder-Attempt-Id: ID\r\n\
         X-Merlinrudder-Response-Seal: seal\r\nConnection: close\r\n\r\nfailed",
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: ID\r\nX-Merlinrudder-Response-Seal: seal\r\n\
         Content-Type: application/json\r\nContent-Length: 6\r\n\r\nfailed",
        "HTTP/1.1 206 Partial Content\r\nX-Merlinrudder-Attempt-Id: ID\r\n\
         X-Merlinrudder-Response-Seal: seal\r\nContent-Length: 6\r\n\r\nfailed",
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: ID\r\nX-Merlinrudder-Response-Seal: seal\r\n\
         Content-Length: 15\r\n\r\nfailed\n\nfailed\n",
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: ID\r\nX-Merlinrudder-Resp",
        "failed",
    ];
    for failure in failures {
        let began = AtomicBool::new(false);
        // The first attempt begins a stream and breaks off; every other one fails.
        let answer = Arc::new(move |connection: &mut TcpStream, request: &RawRequest| {
            if began.swap(true, Ordering::Relaxed) {
                let failure = failure.replace("ID", &request.attempt);
                connection.write_all(failure.as_bytes())?;
                // What was forwarded reaches the caller before the stream is cut.
                thread::sleep(EVENT_INTERVAL * 5);
            } else {
                write!(
                    connection,
                    "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
                     X-Merlinrudder-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n\
                     Content-Length: 1000\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: ",
                    request.attempt
                )?;
            }
            Err(std::io::Error::other("breaks off"))
        });
        let servers = [(); 2].map(|()| {
            let answer = Arc::clone(&answer);
            RawServer::bind(move |connection, request| answer(connection, request))
                .expect("raw server listens")
        });
        let nodes = start_known(&servers.each_ref().map(|server| server.address));
        let response = send_customer_request(nodes.callers_address(3), "POST /stream/x", "g1");
        assert!(
            !response.whole,
            "ended as complete: {failure:?} {response:?}"
        );
        assert_eq!(response.body, "id: 1\ndata: x\n\n", "{failure:?}");
        let runs = servers.iter().map(|server| server.attempts().len());
        assert_eq!(runs.sum::<usize>(), 2, "{failure:?}");
    }
}

/// Guards against the head of a refusal that a server writes into its own stream.
#[test]
fn a_refusal_written_into_a_stream_reaches_no_caller() {
    for framing in ["Content-Length: 1000", "Connection: close"] {
        let server = RawServer::bind(move |connection, request| {
            write!(
                connection,
                "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
                 X-Merlinrudder-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n\
                 {framing}\r\n\r\nid: 1\ndata: x\n\n",
                request.attempt
            )?;
            thread::sleep(EVENT_INTERVAL * 5);
            connection.write_all(STRAY_REFUSAL.as_bytes())?;
            thread::sleep(EVENT_INTERVAL * 5);
            Err(std::io::Error::other("breaks off"))
        });
        let server = server.expect("raw server listens");
        let nodes = start_known(&[server.address]);
        let response = send_customer_request(nodes.callers_address(3), "POST /stream/x", "h1");
        assert_eq!(response.body, "id: 1\ndata: x\n\n", "{framing}");
        assert!(!response.whole, "ended as complete: {framing}");
    }
}
