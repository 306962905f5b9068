//! The HTTP port: slow senders, full VMs, connections that are used again.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::bounded;
use merlinrudder_node::http_api::{HttpServer, read_body};
use merlinrudder_node::logging::discard;
use merlinrudder_node::timer::Timer;
use tiny_http::{Request, Response};

const IDLE: Duration = Duration::from_millis(300);
const PATIENCE: Duration = Duration::from_secs(20);

fn bind(limit: usize, handler: impl Fn(Request) + Send + Sync + 'static) -> (HttpServer, Timer) {
    let timer = Timer::spawn();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let front = HttpServer::bind(address, IDLE, limit, &timer, &discard(), Arc::new(handler));
    (front.expect("a port"), timer)
}

fn echo(mut request: Request) {
    let (status, text) = match read_body(&mut request, 1_000_000, PATIENCE) {
        Ok(body) => (200, format!("{} bytes", body.len())),
        Err(refusal) => (408, refusal.reason.code().to_owned()),
    };
    drop(request.respond(Response::from_string(text).with_status_code(status)));
}

fn connect(front: &HttpServer) -> TcpStream {
    let stream = TcpStream::connect(front.address()).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("an option");
    stream
}

/// Reads until this text has come or the connection ends.
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

#[test]
fn a_sender_that_stops_is_answered_and_holds_no_thread() {
    let (front, _timer) = bind(8, echo);
    let mut stream = connect(&front);
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).expect("it is sent");
    assert!(read_until(&mut stream, "slow_body").contains("slow_body"));
    while front.in_progress() > 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_port_without_callers_goes_on_accepting() {
    let (front, _timer) = bind(8, echo);
    std::thread::sleep(IDLE * 3);
    let mut stream = connect(&front);
    stream
        .write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
        .expect("sent");
    assert!(read_until(&mut stream, "3 bytes").contains("200 OK"));
}

#[test]
fn a_connection_is_used_again_after_an_answer() {
    let (front, _timer) = bind(8, echo);
    let mut stream = connect(&front);
    for _ in 0..3 {
        stream
            .write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
            .expect("sent");
        assert!(read_until(&mut stream, "3 bytes").contains("200 OK"));
    }
}

#[test]
fn a_full_vm_refuses_at_once_with_a_time_to_come_back() {
    let (release, wait) = bounded::<()>(0);
    let (front, _timer) = bind(1, move |request| {
        wait.recv().expect("the test goes on");
        echo(request);
    });
    let mut first = connect(&front);
    first
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    while front.in_progress() < 1 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut second = connect(&front);
    second
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    let answer = read_until(&mut second, "vm_limit");
    assert!(
        answer.contains("503") && answer.contains("Retry-After: 1"),
        "{answer}"
    );
    release.send(()).expect("the first goes on");
    assert!(read_until(&mut first, "0 bytes").contains("200 OK"));
}
