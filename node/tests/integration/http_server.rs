//! Tests of the HTTP server: slow bodies, idle periods, connection reuse, the request limit.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::bounded;
use hyper::{Response, StatusCode};
use merlinrudder_fakes::raw_server::RawServer;
use merlinrudder_node::backend::plain::{PlainCall, PlainResult, call};
use merlinrudder_node::http_api::{HttpServer, Request, read_body};
use merlinrudder_node::logging::discard;
use merlinrudder_node::memory_budget::{MemoryBudget, MemoryShare};

/// Idle timeout of the servers under test.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Read timeout of the clients, and time limit for receiving a body.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn bind(limit: usize, handler: impl Fn(Request) + Send + Sync + 'static) -> HttpServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(address, IDLE_TIMEOUT, limit, &discard(), Arc::new(handler));
    server.expect("bind the server")
}

fn echo(request: Request) {
    echo_within(&Arc::new(MemoryBudget::new(10_000_000)), request);
}

/// Answers with the length of the body, whose memory is taken from `budget`.
fn echo_within(budget: &Arc<MemoryBudget>, mut request: Request) {
    let (status, text) = match read_body(&mut request, 1_000_000, TEST_TIMEOUT, budget) {
        Ok(body) => (200, format!("{} bytes", body.bytes.len())),
        Err(refusal) => (408, refusal.reason.code().to_owned()),
    };
    let mut response = Response::new(text.into());
    *response.status_mut() = StatusCode::from_u16(status).expect("a valid status");
    request.respond(response);
}

fn connect(server: &HttpServer) -> TcpStream {
    let stream = TcpStream::connect(server.address()).expect("connect to the server");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set the read timeout");
    stream
}

/// Reads until the text received contains `end` or the connection ends.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut bytes = [0; 512];
    while !text.contains(end) {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return text,
            Ok(length) => text.push_str(&String::from_utf8_lossy(&bytes[..length])),
        }
    }
    text
}

/// Guards against bodies that are bounded one by one only, and memory that is never returned.
#[test]
fn a_body_is_refused_while_others_take_the_memory() {
    let budget = Arc::new(MemoryBudget::new(100_000));
    let of_server = Arc::clone(&budget);
    let server = bind(8, move |request| echo_within(&of_server, request));
    let mut others = MemoryShare::new(&budget);
    others.grow(90_000).expect("room for the others");
    let request = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n{}",
        "x".repeat(20_000)
    );
    let send = || {
        let mut stream = connect(&server);
        let sent = stream.write_all(request.as_bytes());
        sent.expect("send the request");
        read_until(&mut stream, "\r\n\r\n") + &read_until(&mut stream, "t")
    };
    assert!(send().contains("vm_limit"));
    drop(others);
    assert!(send().contains("20000 bytes"));
    assert_eq!(budget.taken(), 0);
}

/// Guards against half an answer that passes for a whole one, and against memory that it keeps.
#[test]
fn a_plain_answer_that_breaks_off_is_not_whole_and_returns_its_memory() {
    let budget = Arc::new(MemoryBudget::new(1_000_000));
    let server = RawServer::bind(|connection, _| {
        connection.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\nhalf")?;
        Err(std::io::ErrorKind::ConnectionAborted.into())
    });
    let address = server.expect("raw server listens").address.to_string();
    let plain = PlainCall {
        method: "GET".to_owned(),
        path: "/".to_owned(),
        content_type: String::new(),
        body: Vec::new(),
        key: None,
        request_id: "r".to_owned(),
    };
    let mut share = MemoryShare::new(&budget);
    let result = call(&address, &plain, TEST_TIMEOUT, &mut share);
    assert!(matches!(result, PlainResult::Broken(_)), "{result:?}");
    assert_eq!(budget.taken(), 0);
}

/// A client that stops sending its body must not keep a request thread.
#[test]
fn incomplete_body_times_out_and_frees_its_thread() {
    let server = bind(8, echo);
    let mut stream = connect(&server);
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).expect("send the request");
    assert!(read_until(&mut stream, "slow_body").contains("slow_body"));
    while server.in_progress() > 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The idle timeout also applies to `accept`, but must not end the server.
#[test]
fn server_keeps_accepting_after_idle_period() {
    let server = bind(8, echo);
    std::thread::sleep(IDLE_TIMEOUT * 3);
    let mut stream = connect(&server);
    stream
        .write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
        .expect("send the request");
    assert!(read_until(&mut stream, "3 bytes").contains("200 OK"));
}

#[test]
fn connection_is_reused_after_response() {
    let server = bind(8, echo);
    let mut stream = connect(&server);
    for _ in 0..3 {
        stream
            .write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
            .expect("send the request");
        assert!(read_until(&mut stream, "3 bytes").contains("200 OK"));
    }
}

#[test]
fn request_beyond_limit_is_refused_with_retry_after() {
    let (release, wait) = bounded::<()>(0);
    let server = bind(1, move |request| {
        wait.recv().expect("wait for the release");
        echo(request);
    });
    let mut first = connect(&server);
    first
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("send the request");
    while server.in_progress() < 1 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut second = connect(&server);
    second
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("send the request");
    let answer = read_until(&mut second, "vm_limit");
    assert!(
        answer.contains("503") && answer.contains("Retry-After: 1"),
        "{answer}"
    );
    release.send(()).expect("release the first request");
    assert!(read_until(&mut first, "0 bytes").contains("200 OK"));
}
