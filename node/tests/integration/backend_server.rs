//! How the fake backend server answers, falls silent, crashes and returns.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::{
    BackendFault, CRASHING_PART, CrashPoint, ExecutionEnd, FakeBackend,
};
use merlinrudder_fakes::http_client::{HttpResponse, send_request_with_headers};
use merlinrudder_fakes::nodes::wait_for;

const SILENCE: Duration = Duration::from_millis(150);

fn bind() -> FakeBackend {
    FakeBackend::bind("i-1", Duration::from_millis(1)).expect("fake server listens")
}

/// Sends a request to the server itself, as an entry VM would.
fn send(server: &FakeBackend, method_path: &str, parts: &str) -> HttpResponse {
    let headers = format!(
        "X-Merlinrudder-Target-Instance: {}\r\nX-Merlinrudder-Prompt-Prefix: {parts}\r\n",
        server.current_id()
    );
    send_request_with_headers(server.address, method_path, "a1", "k1", &headers)
}

fn crashing_parts() -> String {
    format!("a11ce:40,{CRASHING_PART}:2000,5:500")
}

#[test]
fn answers_without_framing_are_read_up_to_their_end() {
    let server = bind();
    server.set_faults(&[BackendFault::Unframed]);
    for unframed in [true, false] {
        let response = send(&server, "POST /stream/x", "");
        assert!(response.is_whole_stream(), "{response:?}");
        assert_eq!(response.head.contains("connection: close"), unframed);
        assert_ne!(response.head.contains("chunked"), unframed);
    }
    server.set_unframed(true);
    let response = send(&server, "POST /file/x", "");
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    assert!(!response.head.contains("content-length"), "{response:?}");
}

#[test]
fn a_crashing_part_crashes_the_server_once_it_answers() {
    for (crash_point, body) in [
        (CrashPoint::AfterHead, ""),
        (CrashPoint::AfterEvent, "id: 1\ndata: token 1\n\n"),
        (CrashPoint::WithinEvent, "id: 1\ndata"),
    ] {
        let server = bind();
        server.set_crash_point(crash_point);
        for (unframed, crashes) in [(false, 1), (true, 2)] {
            server.set_unframed(unframed);
            let response = send(&server, "POST /stream/x", &crashing_parts());
            assert_eq!(response.status, 200, "{response:?}");
            assert_eq!(response.body, body, "{crash_point:?}");
            assert_eq!(response.whole, unframed, "a crash looks like the end");
            assert_eq!(server.crashes(), crashes);
            wait_for("restart", || server.born().is_some());
        }
        assert_eq!(server.crash_times().len(), 2);
    }
}

#[test]
fn a_crashing_part_at_the_end_of_a_prompt_crashes_nothing() {
    let server = bind();
    let response = send(
        &server,
        "POST /stream/x",
        &format!("a11ce:40,{CRASHING_PART}:9"),
    );
    assert!(response.is_whole_stream(), "{response:?}");
    let executions = server.executions();
    assert_eq!(executions[0].parts, ["a11ce", CRASHING_PART]);
    assert!(!executions[0].has_crashing_part());
    assert_eq!(server.crashes(), 0);
}

#[test]
fn a_server_returns_under_a_new_id_if_set() {
    let server = bind();
    server.crash();
    assert_eq!(server.current_id(), "i-1");
    server.set_new_ids(true);
    let id = server.current_id();
    assert_ne!(id, "i-1");
    wait_for("restart", || server.born().is_some());
    assert!(send(&server, "POST /stream/x", "").is_whole_stream());
    let headers = "X-Merlinrudder-Target-Instance: i-1\r\n";
    let response = send_request_with_headers(server.address, "POST /file/x", "a1", "k1", headers);
    assert_eq!(response.status, 421);
}

#[test]
fn a_silent_server_sends_nothing_before_the_head_and_then_a_whole_answer() {
    let server = bind();
    for path in ["POST /stream/x", "POST /file/x"] {
        server.set_faults(&[BackendFault::StallBeforeHead(SILENCE)]);
        let start = Instant::now();
        let response = send(&server, path, "");
        assert!(start.elapsed() >= SILENCE);
        assert!(response.whole && response.status == 200, "{response:?}");
    }
}

#[test]
fn the_end_of_each_execution_is_recorded() {
    let server = bind();
    let last_end = || server.executions().last().map(|ran| ran.end);
    for (fault, end) in [
        (BackendFault::None, ExecutionEnd::Whole),
        (BackendFault::Unframed, ExecutionEnd::Whole),
        (BackendFault::DropResponse, ExecutionEnd::BrokenOff),
        (BackendFault::DisconnectAfter(2), ExecutionEnd::BrokenOff),
    ] {
        server.set_faults(&[fault]);
        let _response = send(&server, "POST /stream/x", "");
        wait_for("recorded end", || last_end() == Some(end));
    }
    let _response = send(&server, "POST /stream/x", &crashing_parts());
    wait_for("crash", || last_end() == Some(ExecutionEnd::BrokenOff));
    wait_for("restart", || server.born().is_some());
    server.set_faults(&[BackendFault::StallBeforeHead(SILENCE)]);
    let mut caller = TcpStream::connect(server.address).expect("the server listens");
    let head = "POST /file/x HTTP/1.1\r\nX-Merlinrudder-Target-Instance: i-1\r\n\r\n";
    caller
        .write_all(head.as_bytes())
        .expect("the request is sent");
    wait_for("execution", || last_end() == Some(ExecutionEnd::Running));
    drop(caller);
    wait_for("abandoned execution", || {
        last_end() == Some(ExecutionEnd::Abandoned)
    });
}
