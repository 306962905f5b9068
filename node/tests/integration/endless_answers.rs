//! Backend servers whose answers never end.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::Nodes;
use merlinrudder_fakes::raw_server::{RawRequest, RawServer};

use crate::deployment::{register, start_with};

/// Entry VM of the tests, as the index of its node.
const ENTRY: usize = 3;
/// Requests at once.
const REQUESTS: usize = 30;
/// Time within which a connection without an end must be closed.
const CLOSE_TIME: Duration = Duration::from_secs(5);
/// Most bytes that a VM may take of an answer without an end; sockets hold some of them.
const MAX_TAKEN_BYTES: u64 = 24 * 1024 * 1024;
/// Most memory that a VM may gain under all requests together, in KiB.
const MAX_GROWTH_KIB: u64 = 128 * 1024;
/// Size of a repeated part of an answer, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// How an answer goes on for ever.
struct Endless {
    status: &'static str,
    /// Beginning after the headers that each answer has, without an empty line.
    head: &'static str,
    /// Whether the head ends before the repeated part.
    has_head_end: bool,
    /// Bytes that are repeated.
    part: String,
}

/// What was written to one connection.
#[derive(Clone, Copy, Debug)]
struct Written {
    bytes: u64,
    /// Time from the first byte to the close by the VM; `None` while it is open.
    closed_after: Option<Duration>,
}

fn write_endless(
    connection: &mut TcpStream,
    request: &RawRequest,
    endless: &Endless,
    written: &AtomicU64,
) -> std::io::Result<()> {
    write!(
        connection,
        "HTTP/1.1 {}\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
         X-Merlinrudder-Response-Seal: seal\r\n{}{}",
        endless.status,
        request.attempt,
        endless.head,
        if endless.has_head_end { "\r\n" } else { "" }
    )?;
    loop {
        connection.write_all(endless.part.as_bytes())?;
        written.fetch_add(endless.part.len() as u64, Ordering::Relaxed);
    }
}

fn resident_kib(nodes: &Nodes) -> u64 {
    nodes.resident_kib(ENTRY).expect("the entry VM runs")
}

/// Lets a server answer requests without an end; asserts that each is ended and none looks whole.
fn assert_ended(path: &'static str, endless: Endless) {
    for (whole, took) in play(path, endless) {
        assert!(!whole, "whole after {took:?}");
    }
}

/// Lets a server answer requests without an end; asserts that each is ended.
///
/// Returns whether each caller got a whole success, and after which time.
fn play(path: &'static str, endless: Endless) -> Vec<(bool, Duration)> {
    let connections: Arc<Mutex<Vec<Written>>> = Arc::default();
    let recorded = Arc::clone(&connections);
    let server = RawServer::bind(move |connection, request| {
        let (start, bytes) = (Instant::now(), AtomicU64::new(0));
        let lock = || recorded.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = lock();
        let number = all.len();
        all.push(Written {
            bytes: 0,
            closed_after: None,
        });
        drop(all);
        let result = write_endless(connection, request, &endless, &bytes);
        lock()[number] = Written {
            bytes: bytes.load(Ordering::Relaxed),
            closed_after: Some(start.elapsed()),
        };
        result
    })
    .expect("raw server listens");
    let nodes = start_with(1, |nodes| register(nodes, "i-1", server.address));
    let callers = nodes.callers_address(ENTRY);
    let before = resident_kib(&nodes);
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::spawn(move || {
                let start = Instant::now();
                let response = send_customer_request(callers, path, &format!("n{number}"));
                (response, start.elapsed())
            })
        })
        .collect();
    let mut most = before;
    while requests.iter().any(|request| !request.is_finished()) {
        most = most.max(resident_kib(&nodes));
        thread::sleep(Duration::from_millis(20));
    }
    let mut outcomes = Vec::new();
    for request in requests {
        let (response, took) = request.join().expect("caller thread finishes");
        assert!(
            took < CLOSE_TIME,
            "status {} after {took:?}",
            response.status
        );
        outcomes.push((response.status < 500 && response.whole, took));
    }
    let growth = most.saturating_sub(before);
    assert!(growth < MAX_GROWTH_KIB, "memory grew by {growth} KiB");
    thread::sleep(Duration::from_millis(200));
    let connections = connections.lock().unwrap_or_else(PoisonError::into_inner);
    for written in connections.iter() {
        let in_time = written.closed_after.is_some_and(|after| after < CLOSE_TIME);
        assert!(in_time && written.bytes < MAX_TAKEN_BYTES, "{written:?}");
    }
    outcomes
}

fn part(text: &str) -> String {
    text.repeat(PART_BYTES / text.len() + 1)
}

/// Returns a chunk of some KiB of data.
fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

#[test]
fn an_event_without_an_end_is_cut() {
    let endless = Endless {
        status: "200 OK",
        head: CHUNKED,
        has_head_end: true,
        part: chunk(&part("data: x\n")),
    };
    assert_ended("POST /stream/x", endless);
}

#[test]
fn comments_without_an_end_are_cut() {
    let endless = Endless {
        status: "200 OK",
        head: CHUNKED,
        has_head_end: true,
        part: chunk(&part(&format!(": {}\n\n", "still here ".repeat(90)))),
    };
    assert_ended("POST /stream/x", endless);
}

#[test]
fn a_body_without_an_end_is_cut() {
    let endless = Endless {
        status: "200 OK",
        head: CHUNKED,
        has_head_end: true,
        part: chunk(&part("x")),
    };
    assert_ended("GET /read/x", endless);
}

#[test]
fn an_unframed_body_without_an_end_is_cut() {
    let endless = Endless {
        status: "200 OK",
        head: "Connection: close\r\n",
        has_head_end: true,
        part: part("x"),
    };
    assert_ended("GET /read/x", endless);
}

#[test]
fn a_failure_without_an_end_on_a_stream_route_is_cut() {
    let endless = Endless {
        status: "500 Internal Server Error",
        head: "Connection: close\r\n",
        has_head_end: true,
        part: part("no event"),
    };
    assert_ended("POST /stream/x", endless);
}

#[test]
fn a_head_without_an_end_is_cut() {
    let endless = Endless {
        status: "200 OK",
        head: "",
        has_head_end: false,
        part: part("X-Line: yes\r\n"),
    };
    assert_ended("GET /read/x", endless);
}

#[test]
fn a_header_line_without_an_end_is_cut() {
    let endless = Endless {
        status: "200 OK",
        head: "X-Line: ",
        has_head_end: false,
        part: part("y"),
    };
    assert_ended("POST /stream/x", endless);
}

#[test]
fn informational_responses_without_an_end_are_cut() {
    let endless = Endless {
        status: "102 Processing",
        head: "",
        has_head_end: true,
        part: part("HTTP/1.1 102 Processing\r\n\r\n"),
    };
    assert_ended("GET /read/x", endless);
}

#[test]
fn chunk_extensions_without_an_end_are_cut() {
    let endless = Endless {
        status: "200 OK",
        head: CHUNKED,
        has_head_end: true,
        part: part("5;extension=value"),
    };
    assert_ended("GET /read/x", endless);
}

#[test]
fn trailers_without_an_end_are_cut() {
    let endless = Endless {
        status: "200 OK",
        head: "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
        has_head_end: false,
        part: part("X-Trailer: yes\r\n"),
    };
    assert_ended("GET /read/x", endless);
}

#[test]
fn bytes_without_an_end_behind_a_whole_answer_belong_to_no_request() {
    let endless = Endless {
        status: "200 OK",
        head: "Content-Length: 5\r\n\r\nwhole",
        has_head_end: false,
        part: part("surplus"),
    };
    let outcomes = play("GET /read/x", endless);
    assert!(outcomes.iter().all(|(whole, _)| *whole), "{outcomes:?}");
}
