//! Bytes without an end, from backend servers and callers, on the interface of whole VMs.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use attohttpc::ProxySettings;
use merlinrudder_ctl::deployment::{BACKENDS_TOKEN, customer_token};
use merlinrudder_fakes::raw_server::{RawRequest, RawServer};
use merlinrudder_wire::engine::EngineRequest;
use serde_json::json;

use crate::util::{CUSTOMER, Cluster, ZONES, prompt};

/// Memory of the smallest VM, in KiB.
const VM_MEMORY_KIB: u64 = 160 * 1000 * 1000 / 1024;
/// Requests at once.
const REQUESTS: usize = 20;
/// Time for which bytes are sent.
const PLAY_TIME: Duration = Duration::from_secs(4);
/// Interval between two readings of the memory.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);
/// Size of a repeated part, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// Answer of a faulty backend server.
struct Endless {
    /// Path of the requests that are answered so; others get an empty success.
    path: &'static str,
    /// Beginning of the answer.
    start: String,
    /// Returns what follows, by the id of the request and the number of parts before it.
    part: fn(&str, u64) -> String,
}

impl Endless {
    fn new(path: &'static str, start: &str, part: fn(&str, u64) -> String) -> Self {
        Self {
            path,
            start: start.to_owned(),
            part,
        }
    }

    fn answer(&self, connection: &mut TcpStream, request: &RawRequest) -> std::io::Result<()> {
        if request.path != self.path {
            return connection.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
        }
        connection.write_all(self.start.as_bytes())?;
        let sent = serde_json::from_slice::<EngineRequest>(&request.body);
        let id = sent.map(|sent| sent.request_id).unwrap_or_default();
        for number in 0.. {
            connection.write_all((self.part)(&id, number).as_bytes())?;
        }
        Ok(())
    }
}

fn repeated(text: &str) -> String {
    text.repeat(PART_BYTES / text.len() + 1)
}

/// Announces a backend server until `ended` is set; its announcements lose cache events.
fn announce(cluster: &Cluster, service: &'static str, address: String, ended: Arc<AtomicBool>) {
    let vm = cluster.vms[0].backends.to_string();
    thread::spawn(move || {
        let mut first = 0;
        while !ended.load(Ordering::Relaxed) {
            first += 5;
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            let sequence = since_epoch.unwrap_or_default().as_micros();
            let memory = if service == "drafts" { 2_000_000 } else { 0 };
            let announcement = json!({
                "service": service, "zone": ZONES[0], "id": "faulty", "address": address,
                "incarnation": 1, "sequence": u64::try_from(sequence).unwrap_or(0),
                "lease_ms": 2500, "memory_tokens": memory, "slots": 64,
                "cache": { "first": first, "events": [{ "added": 1 }] },
            });
            let sent = attohttpc::post(format!("http://{vm}/v1/announce"))
                .proxy_settings(ProxySettings::builder().build())
                .bearer_auth(BACKENDS_TOKEN)
                .timeout(Duration::from_millis(500))
                .bytes(announcement.to_string())
                .send();
            drop(sent);
            thread::sleep(Duration::from_millis(400));
        }
    });
}

/// Sends a request and reads nothing of the answer until `ended` is set.
fn send_without_reading(address: &str, request: &str, ended: &AtomicBool) {
    let Ok(mut connection) = TcpStream::connect(address) else {
        return;
    };
    drop(connection.write_all(request.as_bytes()));
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(SAMPLE_PERIOD);
    }
}

/// Sends `start`, then `part` again and again until the VM closes or `ended` is set.
fn send_endless(address: &str, start: &str, part: &str, ended: &AtomicBool) {
    let Ok(mut connection) = TcpStream::connect(address) else {
        return;
    };
    let timeout = Some(Duration::from_millis(200));
    drop(connection.set_write_timeout(timeout));
    drop(connection.write_all(start.as_bytes()));
    while !ended.load(Ordering::Relaxed) {
        if let Err(error) = connection.write_all(part.as_bytes()) {
            let is_full = error.kind() == std::io::ErrorKind::WouldBlock;
            if !is_full {
                return;
            }
        }
    }
}

/// Lets a faulty server answer while `call` runs on many threads; returns the most memory used.
///
/// `call` gets the cluster's address for callers, and the flag that ends the play.
fn play(
    service: &'static str,
    endless: Endless,
    call: impl Fn(&str, &AtomicBool) + Send + Sync + 'static,
) -> u64 {
    let server = RawServer::bind(move |connection, request| endless.answer(connection, request))
        .expect("raw server listens");
    let cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    let ended = Arc::new(AtomicBool::new(false));
    announce(
        &cluster,
        service,
        server.address.to_string(),
        Arc::clone(&ended),
    );
    cluster.wait_for_servers(1);
    let call = Arc::new(call);
    let threads: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let (call, ended) = (Arc::clone(&call), Arc::clone(&ended));
            let address = cluster.callers_address(0);
            thread::spawn(move || call(&address, &ended))
        })
        .collect();
    let most = most_memory_kib(&cluster);
    ended.store(true, Ordering::Relaxed);
    drop(cluster);
    for thread in threads {
        thread.join().expect("a caller does not panic");
    }
    most
}

/// Returns the most resident memory that any VM had within `PLAY_TIME`; all must run throughout.
///
/// It returns early with more than `VM_MEMORY_KIB`, before the machine's memory is short.
fn most_memory_kib(cluster: &Cluster) -> u64 {
    let start = Instant::now();
    let mut most = 0;
    while start.elapsed() < PLAY_TIME && most < VM_MEMORY_KIB {
        for index in 0..cluster.vms.len() {
            let resident = cluster.resident_kib(index);
            most = most.max(resident.expect("the VM runs"));
        }
        thread::sleep(SAMPLE_PERIOD);
    }
    most
}

/// Plays are large, so that only one runs at a time.
static ONE_PLAY: Mutex<()> = Mutex::new(());

fn assert_bounded(
    service: &'static str,
    endless: Endless,
    call: impl Fn(&str, &AtomicBool) + Send + Sync + 'static,
) {
    let _guard = ONE_PLAY.lock().unwrap_or_else(PoisonError::into_inner);
    let most = play(service, endless, call);
    assert!(most < VM_MEMORY_KIB, "{most} KiB resident");
}

fn completion_request(stream: bool) -> String {
    let body = json!({
        "model": "drafts", "prompt": prompt("a draft", 100), "max_tokens": 4096, "stream": stream,
    });
    http_request("POST /v1/completions", &body.to_string())
}

fn http_request(line: &str, body: &str) -> String {
    let token = customer_token(CUSTOMER);
    format!(
        "{line} HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer {token}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a completion again and again, and reads each answer.
fn complete(address: &str, ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
        exchange(address, &completion_request(true), ended);
    }
}

/// Sends a request and reads its answer until the connection rests or `ended` is set.
fn exchange(address: &str, request: &str, ended: &AtomicBool) {
    let Ok(mut connection) = TcpStream::connect(address) else {
        return;
    };
    drop(connection.set_read_timeout(Some(Duration::from_secs(1))));
    drop(connection.write_all(request.as_bytes()));
    let mut buffer = [0; PART_BYTES];
    while !ended.load(Ordering::Relaxed) {
        match connection.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

const COMPLETIONS: &str = "/v1/completions";
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

#[test]
fn a_failure_without_an_end_is_cut() {
    let start = "HTTP/1.1 500 Internal Server Error\r\n\r\n";
    let endless = Endless::new(COMPLETIONS, start, |_, _| repeated("x"));
    assert_bounded("drafts", endless, complete);
}

#[test]
fn a_head_without_an_end_is_cut() {
    let start = "HTTP/1.1 200 OK\r\n";
    let endless = Endless::new(COMPLETIONS, start, |_, _| repeated("X-Line: yes\r\n"));
    assert_bounded("drafts", endless, complete);
}

#[test]
fn a_header_line_without_an_end_is_cut() {
    let start = "HTTP/1.1 200 OK\r\nX-Line: ";
    let endless = Endless::new(COMPLETIONS, start, |_, _| repeated("y"));
    assert_bounded("drafts", endless, complete);
}

#[test]
fn an_event_without_an_end_is_cut() {
    let endless = Endless::new(COMPLETIONS, STREAM_HEAD, |_, number| {
        let start = if number == 0 { "data: " } else { "" };
        start.to_owned() + &repeated("x")
    });
    assert_bounded("drafts", endless, complete);
}

/// Guards against events that pile up while their caller reads nothing.
#[test]
fn tokens_for_a_caller_that_reads_nothing_are_bounded() {
    let endless = Endless::new(COMPLETIONS, STREAM_HEAD, long_token);
    assert_bounded("drafts", endless, |address, ended| {
        send_without_reading(address, &completion_request(true), ended);
    });
}

/// Guards against a buffered answer that grows by as many tokens as its engine sends.
#[test]
fn buffered_tokens_without_an_end_are_bounded() {
    let endless = Endless::new(COMPLETIONS, STREAM_HEAD, long_token);
    assert_bounded("drafts", endless, |address, ended| {
        exchange(address, &completion_request(false), ended);
    });
}

/// Returns an event with a token of some KiB.
fn long_token(request: &str, index: u64) -> String {
    let event = json!({
        "request_id": request, "attempt": 1, "index": index, "text": "x".repeat(8 * 1024),
    });
    format!("data: {event}\n\n")
}

#[test]
fn holdings_without_an_end_are_cut() {
    let endless = Endless::new("/holdings", "HTTP/1.1 200 OK\r\n\r\n[", |_, _| {
        repeated(" ")
    });
    assert_bounded("drafts", endless, |_, _| {});
}

#[test]
fn a_cache_list_without_an_end_is_cut() {
    let endless = Endless::new("/cache", "HTTP/1.1 200 OK\r\n\r\n{", |_, _| repeated(" "));
    assert_bounded("drafts", endless, |_, _| {});
}

/// Guards against answers that are bounded one by one only.
#[test]
fn answers_of_plain_servers_without_an_end_are_bounded_together() {
    let path = "/filing/balances";
    let endless = Endless::new(path, "HTTP/1.1 200 OK\r\n\r\n", |_, _| repeated("x"));
    assert_bounded("filing", endless, |address, ended| {
        exchange(address, &http_request("GET /filing/balances", ""), ended);
    });
}

/// Guards against bodies of callers that are bounded one by one only.
#[test]
fn bodies_of_callers_are_bounded_together() {
    let endless = Endless::new(COMPLETIONS, STREAM_HEAD, |_, _| repeated(": wait\n"));
    assert_bounded("drafts", endless, |address, ended| {
        let token = customer_token(CUSTOMER);
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer {token}\r\n\
             Content-Length: 16000000\r\n\r\n"
        );
        send_endless(address, &head, &repeated("x"), ended);
    });
}

/// Guards against heads of callers, who need no token to send one, that are read for ever.
#[test]
fn heads_of_callers_without_an_end_are_cut() {
    let endless = Endless::new(COMPLETIONS, STREAM_HEAD, |_, _| repeated(": wait\n"));
    assert_bounded("drafts", endless, |address, ended| {
        let head = "POST /v1/completions HTTP/1.1\r\n";
        send_endless(address, head, &repeated("X-Line: yes\r\n"), ended);
    });
}
