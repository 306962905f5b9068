//! Servers that answer before they have read a request, and answers whose status is none.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use merlinrudder_fakes::http_client::{caller_headers, send_customer_request, send_request};
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, sample_configuration};
use merlinrudder_fakes::raw_server::{RawRequest, RawServer};
use serde_json::json;
use socket2::SockRef;

use crate::deployment::{publish, register, start_with};

/// Time within which a configuration or a server is known to all VMs.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Times from a part of an early answer to its reset, of the requests of each kind in turn.
///
/// Whether the reset is seen first while writing or while reading is a race.
const RESET_AFTER: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(1),
    Duration::from_millis(5),
    Duration::from_millis(30),
];
/// Requests of each kind.
const REPEATS: usize = 12;
/// Size of an upload, of which the buffers of the connection do not hold all, in bytes.
const UPLOAD_BYTES: usize = 4_000_000;
/// Routes of `sample_configuration`: a stream, a call that runs once, and one that may be repeated.
const PATHS: [&str; 3] = ["POST /stream/x", "POST /file/x", "POST /read/x"];

/// Starts an entry VM with one server, on routes with one attempt each.
fn start_known(server: &RawServer) -> Nodes {
    let nodes = start_with(1, |nodes| register(nodes, "i-0", server.address));
    let mut configuration = sample_configuration(6);
    for route in [0, 2] {
        configuration["routes"][route]["max-attempts"] = json!(1);
    }
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    nodes
}

/// Sends the head and the first part of an answer without a length.
fn begin_answer(connection: &mut TcpStream, request: &RawRequest) -> std::io::Result<()> {
    write!(
        connection,
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {}\r\nX-Merlinrudder-Response-Seal: seal\r\n\
         Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
        request.attempt
    )
}

/// Sends uploads to a server that answers early; asserts that no part of an answer looks whole.
fn assert_no_part_is_whole<F>(end: F)
where
    F: Fn(&TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
{
    let server = RawServer::bind_early(move |connection, request| {
        begin_answer(connection, request)?;
        let number: usize = request.attempt.parse().unwrap_or_default();
        thread::sleep(RESET_AFTER[number % RESET_AFTER.len()]);
        end(connection)?;
        Err(std::io::Error::other("breaks off"))
    });
    let server = server.expect("raw server listens");
    let nodes = start_known(&server);
    let upload = "x".repeat(UPLOAD_BYTES);
    for path in PATHS {
        for number in 0..REPEATS {
            let attempt = format!("{number}");
            let headers = caller_headers(&attempt, "k1");
            let callers = nodes.callers_address(CONTROL_VMS);
            let response = send_request(callers, path, &headers, &upload);
            let looks_whole = response.whole && (200..300).contains(&response.status);
            assert!(!looks_whole, "{path}: {response:?}");
        }
    }
    assert_eq!(server.attempts().len(), PATHS.len() * REPEATS);
}

/// Guards against a part of an early answer that becomes a whole one, as its reset was seen by the
/// upload only.
#[test]
fn an_early_answer_that_is_reset_during_the_upload_is_no_success() {
    assert_no_part_is_whole(|connection| {
        SockRef::from(connection).set_linger(Some(Duration::ZERO))
    });
}

/// Guards against the same where the server closes a connection with bytes that it has not read.
#[test]
fn an_early_answer_whose_server_leaves_the_upload_unread_is_no_success() {
    assert_no_part_is_whole(|_connection| Ok(()));
}

/// Guards against answers that reach callers with a status that HTTP does not have.
#[test]
fn an_answer_without_a_valid_status_is_none() {
    let server = RawServer::bind(|connection, request| {
        let status = request.path.rsplit('-').next().unwrap_or_default();
        write!(
            connection,
            "HTTP/1.1 {status} Trouble\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
             X-Merlinrudder-Response-Seal: seal\r\nContent-Length: 5\r\n\r\nwrong",
            request.attempt
        )
    });
    let server = server.expect("raw server listens");
    let nodes = start_known(&server);
    for path in PATHS {
        for status in [
            "000", "042", "099", "101", "600", "777", "999", "-01", "20", "2000",
        ] {
            let target = format!("{path}-{status}");
            let callers = nodes.callers_address(CONTROL_VMS);
            let response = send_customer_request(callers, &target, status);
            assert!(
                [502, 503].contains(&response.status),
                "{target}: {response:?}"
            );
            assert!(!response.body.contains("wrong"), "{target}: {response:?}");
        }
    }
}
