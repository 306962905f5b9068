//! Callers whose requests take an entry VM's memory and never end.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::{send_customer_request, send_request_with_headers};
use merlinrudder_fakes::nodes::{Nodes, sample_configuration, wait_for};
use serde_json::json;

use crate::deployment::{publish, start_deployment};

/// Entry VM of the tests, as the index of its node.
const ENTRY: usize = 3;
/// Memory of the smallest VM, in KiB.
const VM_MEMORY_KIB: u64 = 160 * 1000 * 1000 / 1024;
/// Time for which the requests stay unfinished.
const PLAY_TIME: Duration = Duration::from_secs(3);
/// Size of the parts in which a request is sent, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// Sends the beginnings of `count` requests, each `length` bytes long, and keeps them open.
///
/// A connection that the VM closes is left out.
fn send_beginnings(nodes: &Nodes, count: usize, start: &str, length: usize) -> Vec<TcpStream> {
    let address = nodes.callers_address(ENTRY);
    let text = start.to_owned() + &"x".repeat(length - start.len());
    let connections = (0..count).filter_map(|_| {
        let mut connection = TcpStream::connect(address).ok()?;
        let timeout = Some(Duration::from_secs(1));
        connection.set_write_timeout(timeout).ok()?;
        let parts = text.as_bytes().chunks(PART_BYTES);
        let sent = parts.map(|part| connection.write_all(part));
        sent.collect::<Result<Vec<()>, _>>().ok()?;
        Some(connection)
    });
    connections.collect()
}

/// Publishes a configuration that allows heads of 64 KiB, and waits until it is in force.
fn publish_large_heads(nodes: &Nodes) {
    let mut configuration = sample_configuration(6);
    configuration["limits"] = json!({"max-header-bytes": 65_536, "max-body-bytes": 4_194_304,
        "idle-timeout-ms": 15_000});
    publish(nodes, &configuration);
    let large = format!("X-Large: {}\r\n", "x".repeat(50_000));
    wait_for("large heads", || {
        let address = nodes.callers_address(ENTRY);
        let response = send_request_with_headers(address, "GET /read/x", "large", "k1", &large);
        response.status == 200
    });
}

fn assert_bounded(nodes: &Nodes) {
    let start = Instant::now();
    let mut most = 0;
    while start.elapsed() < PLAY_TIME {
        most = most.max(nodes.resident_kib(ENTRY).expect("the entry VM runs"));
        thread::sleep(Duration::from_millis(50));
    }
    assert!(most < VM_MEMORY_KIB, "{most} KiB resident");
}

/// Guards against bodies that are bounded one by one only.
#[test]
fn unfinished_bodies_are_bounded_together_and_small_requests_are_served() {
    let server = FakeBackend::bind("i-1", Duration::from_millis(20));
    let server = server.expect("fake server listens");
    let nodes = start_deployment(1, &[&server]);
    let start = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n\
                 X-Merlinrudder-Attempt-Id: big\r\nX-Merlinrudder-Deadline-Ms: 20000\r\n\
                 Content-Length: 4000000\r\n\r\n";
    let _connections = send_beginnings(&nodes, 60, start, 3_900_000);
    assert_bounded(&nodes);
    let response = send_customer_request(nodes.callers_address(ENTRY), "GET /read/x", "small");
    assert_eq!(response.status, 200);
}

/// Guards against unfinished heads, which need no key, on all connections that a VM can have.
#[test]
fn unfinished_heads_are_bounded_together_and_others_are_served() {
    let server = FakeBackend::bind("i-1", Duration::from_millis(20));
    let server = server.expect("fake server listens");
    let nodes = start_deployment(1, &[&server]);
    publish_large_heads(&nodes);
    let start = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Line: ";
    let _connections = send_beginnings(&nodes, 3000, start, 60_000);
    assert_bounded(&nodes);
    let response = send_customer_request(nodes.callers_address(ENTRY), "GET /read/x", "other");
    assert_eq!(response.status, 200);
}
