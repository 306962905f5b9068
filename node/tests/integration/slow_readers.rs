//! Callers that read slowly or not at all, while servers have much to send.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::Nodes;
use merlinrudder_fakes::raw_server::{RawRequest, RawServer};
use socket2::{Domain, Socket, Type};

use crate::deployment::{register, start_with};

/// Entry VM of the tests, as the index of its node.
const ENTRY: usize = 3;
/// Callers that read nothing of their answers while the others are served.
const SLOW: usize = 40;
/// Callers at once that read as fast as they can, one request after the other.
const FAST: usize = 4;
/// Time in which the callers are played.
const PLAY_TIME: Duration = Duration::from_millis(1500);
/// Size of the whole body of a plain answer: 40 of them take 160 MB.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Length of a large event.
const EVENT_BYTES: usize = 256 * 1024;
/// Most memory that the VM may gain; without a bound, answers and events take over 160 MB.
const MAX_GROWTH_KIB: u64 = 128 * 1024;
/// Most bytes taken of a server for each slow caller; sockets hold most of them.
const MAX_TAKEN_BYTES: u64 = 12 * 1024 * 1024;

/// Sends a request on a connection of its own, and reads nothing.
fn send_only(callers: SocketAddr, path: &str, attempt: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // Sockets hold little of an answer, so that the VM has to.
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket
        .connect(&callers.into())
        .expect("the VM accepts connections");
    let mut connection = TcpStream::from(socket);
    write!(
        connection,
        "{path} HTTP/1.1\r\nHost: h.example\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\n\
         Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
    )
    .expect("the request is sent");
    connection
}

fn resident_kib(nodes: &Nodes) -> u64 {
    nodes.resident_kib(ENTRY).expect("the entry VM runs")
}

fn head(connection: &mut TcpStream, request: &RawRequest, framing: &str) -> std::io::Result<()> {
    write!(
        connection,
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {}\r\nX-Merlinrudder-Response-Seal: s\r\n\
         {framing}\r\n\r\n",
        request.attempt
    )
}

/// Plays slow callers of `slow_path` beside fast callers of a small plain call.
///
/// Returns by how much the VM's memory grew at most, in KiB, and the connections of the slow ones.
fn play(nodes: &Nodes, slow_path: &str) -> (u64, Vec<TcpStream>) {
    let callers = nodes.callers_address(ENTRY);
    let before = resident_kib(nodes);
    let (start, mut most, mut slow) = (Instant::now(), before, Vec::new());
    thread::scope(|scope| {
        for caller in 0..FAST {
            scope.spawn(move || {
                let mut number = 0;
                while start.elapsed() < PLAY_TIME {
                    number += 1;
                    let attempt = format!("fast-{caller}-{number}");
                    let response = send_customer_request(callers, "GET /read/small", &attempt);
                    assert!(response.whole && response.body == "whole", "{attempt}");
                }
            });
        }
        while start.elapsed() < PLAY_TIME {
            if slow.len() < SLOW {
                let attempt = format!("slow-{}", slow.len());
                slow.push(send_only(callers, slow_path, &attempt));
            }
            most = most.max(resident_kib(nodes));
            thread::sleep(Duration::from_millis(20));
        }
    });
    (most.saturating_sub(before), slow)
}

/// Guards against large plain answers that are kept for callers without a bound in total.
#[test]
fn plain_answers_for_callers_that_do_not_read_take_bounded_memory() {
    let body = "x".repeat(BODY_BYTES);
    let server = RawServer::bind(move |connection, request| {
        if request.attempt.starts_with("fast") {
            head(connection, request, "Content-Length: 5")?;
            return connection.write_all(b"whole");
        }
        head(
            connection,
            request,
            &format!("Content-Length: {BODY_BYTES}"),
        )?;
        connection.write_all(body.as_bytes())
    });
    let server = server.expect("server listens");
    let nodes = start_with(1, |nodes| register(nodes, "i-0", server.address));
    let (growth, slow) = play(&nodes, "GET /read/x");
    assert!(growth < MAX_GROWTH_KIB, "memory grew by {growth} KiB");
    // What stalled callers hold ends with the deadline of the route, after which others get theirs.
    thread::sleep(Duration::from_secs(2));
    let response = send_customer_request(nodes.callers_address(ENTRY), "GET /read/x", "late");
    assert!(
        response.whole && response.body.len() == BODY_BYTES,
        "{}",
        response.status
    );
    drop(slow);
}

/// Guards against streams whose events pile up at the VM instead of at their server.
#[test]
fn streams_of_callers_that_do_not_read_stop_the_reading_from_their_servers() {
    let written = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&written);
    let server = RawServer::bind(move |connection, request| {
        if request.attempt.starts_with("fast") {
            head(connection, request, "Content-Length: 5")?;
            return connection.write_all(b"whole");
        }
        head(connection, request, "Transfer-Encoding: chunked")?;
        for id in 1.. {
            let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            write!(connection, "{:x}\r\n{event}\r\n", event.len())?;
            counted.fetch_add(event.len() as u64, Ordering::Relaxed);
        }
        Ok(())
    });
    let server = server.expect("server listens");
    let nodes = start_with(1, |nodes| register(nodes, "i-0", server.address));
    let (growth, mut slow) = play(&nodes, "POST /stream/x");
    assert!(growth < MAX_GROWTH_KIB, "memory grew by {growth} KiB");
    let taken = written.load(Ordering::Relaxed);
    assert!(
        taken < MAX_TAKEN_BYTES * SLOW as u64,
        "{taken} bytes were taken"
    );
    let mut read = vec![0; EVENT_BYTES];
    for connection in &mut slow {
        connection
            .read_exact(&mut read)
            .expect("a slow caller's stream goes on");
    }
}
