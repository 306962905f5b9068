//! Servers that stop in the middle of a response head.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::{Nodes, sample_configuration};
use merlinrudder_fakes::raw_server::{RawRequest, RawServer};
use serde_json::json;

use crate::deployment::{publish, register, start_with};

/// Time within which a configuration or a server is known to all VMs.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Bytes between two places at which a head is cut; prime, so that places in lines vary.
const CUT_STEP: usize = 3;
/// Routes of `sample_configuration`: a stream, a call that runs once, and one that may be repeated.
const PATHS: [&str; 3] = ["POST /stream/x", "POST /file/x", "GET /read/x"];

/// Returns the head of a response without length, which ends with its connection.
fn head(attempt: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\n\
         X-Merlinrudder-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n"
    )
}

/// Sends the part of a head that the attempt id names, as `<prefix>-<bytes>`, and closes.
fn cut(connection: &mut TcpStream, request: &RawRequest, before: &str) -> std::io::Result<()> {
    let bytes = request.attempt.rsplit('-').next();
    let bytes = bytes.and_then(|bytes| bytes.parse().ok()).unwrap_or(0);
    let head = head(&request.attempt);
    connection.write_all(before.as_bytes())?;
    connection.write_all(&head.as_bytes()[..bytes])?;
    Err(std::io::Error::other("the server stops"))
}

/// Starts an entry VM with one server that answers as `answer` says.
fn start_cutting<F>(answer: F) -> (Nodes, RawServer)
where
    F: Fn(&mut TcpStream, &RawRequest) -> std::io::Result<()> + Send + Sync + 'static,
{
    let server = RawServer::bind(answer).expect("raw server listens");
    let nodes = start_with(1, |nodes| register(nodes, "i-0", server.address));
    let mut configuration = sample_configuration(6);
    // An attempt for each request: what it meets is the caller's answer.
    for route in [0, 2] {
        configuration["routes"][route]["max-attempts"] = json!(1);
    }
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    (nodes, server)
}

/// Asserts that no head that is cut after some bytes becomes a success for its caller.
fn assert_no_success(nodes: &Nodes, server: &RawServer) {
    let mut wrong = Vec::new();
    for (kind, path) in PATHS.into_iter().enumerate() {
        let whole = head(&format!("{kind}-100")).len();
        for bytes in (0..whole).step_by(CUT_STEP) {
            let attempt = format!("{kind}-{bytes:03}");
            let target = format!("{path}{attempt}");
            let response = send_customer_request(nodes.callers_address(3), &target, &attempt);
            if !(400..600).contains(&response.status) || !response.whole {
                wrong.push((attempt, response.status, response.body));
            }
        }
    }
    assert!(wrong.is_empty(), "attempt, status, body: {wrong:?}");
    assert!(server.attempts().len() > 100, "few requests were sent");
}

/// Guards against a head that ends before its blank line and is forwarded as a whole response.
#[test]
fn a_head_that_its_server_cuts_is_no_success() {
    let (nodes, server) = start_cutting(|connection, request| cut(connection, request, ""));
    assert_no_success(&nodes, &server);
}

/// Guards against an informational head that is taken for the final one when that is cut.
#[test]
fn a_head_that_is_cut_after_an_informational_one_is_no_success() {
    let (nodes, server) = start_cutting(|connection, request| {
        cut(connection, request, "HTTP/1.1 102 Processing\r\n\r\n")
    });
    assert_no_success(&nodes, &server);
}
