//! Backend servers whose answers say that they leave, or that they want no requests for a time.

use std::fmt::Write as _;
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::STREAM_EVENTS;
use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes};
use merlinrudder_fakes::raw_server::{RawRequest, RawServer};

use crate::deployment::{register, start_with};
use crate::load::{Call, call_during};

/// Methods and paths that callers request.
const PATHS: [&str; 2] = ["POST /stream/x", "GET /read/x"];
/// Time from an answer to the last request that may still reach a server that leaves.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
/// Time from an answer from which a server that wants no requests gets nearly none.
const HOLD_DELAY: Duration = Duration::from_millis(500);
/// Requests that may reach it from then on, from each VM.
const MAX_LATE_REQUESTS: usize = 2;
/// Longest time for a refusal of what cannot be served.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Status and headers of an answer; a success has a whole body.
#[derive(Clone, Copy, Debug)]
struct Say {
    status: u16,
    headers: &'static str,
    /// Whether the answer repeats the attempt id of the request, and has a seal.
    is_sealed: bool,
}

const NORMAL: Say = success("");

const fn success(headers: &'static str) -> Say {
    Say {
        status: 200,
        headers,
        is_sealed: true,
    }
}

const fn unavailable(headers: &'static str) -> Say {
    Say {
        status: 503,
        headers,
        is_sealed: true,
    }
}

/// A server that says something else in the next answers.
struct Server {
    raw: RawServer,
    state: Arc<Mutex<State>>,
}

struct State {
    say: Say,
    /// Answers left after which the server answers as usual.
    left: usize,
    arrivals: Vec<Instant>,
}

impl Server {
    fn bind() -> Self {
        let state = Arc::new(Mutex::new(State {
            say: NORMAL,
            left: 0,
            arrivals: Vec::new(),
        }));
        let serving = Arc::clone(&state);
        let raw = RawServer::bind(move |connection, request| {
            let mut state = serving.lock().unwrap_or_else(PoisonError::into_inner);
            state.arrivals.push(Instant::now());
            let say = if state.left > 0 { state.say } else { NORMAL };
            state.left = state.left.saturating_sub(1);
            drop(state);
            answer(connection, request, say)
        });
        Self {
            raw: raw.expect("server listens"),
            state,
        }
    }

    /// Says something in the next `count` answers; returns since when.
    fn say(&self, say: Say, count: usize) -> Instant {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.say, state.left) = (say, count);
        Instant::now()
    }

    /// Returns when the first request arrived after a moment.
    fn first_arrival(&self, from: Instant) -> Instant {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut times = state.arrivals.iter().filter(|time| **time >= from);
        *times.next().expect("a request")
    }

    fn arrivals(&self, from: Instant, to: Instant) -> usize {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let times = state.arrivals.iter();
        times.filter(|time| (from..to).contains(*time)).count()
    }
}

/// Answers an event stream to a request without a plain path, as all servers here do.
fn answer(connection: &mut TcpStream, request: &RawRequest, say: Say) -> std::io::Result<()> {
    let mut body = String::new();
    if say.status == 200 && request.attempt.contains("stream") {
        for id in 1..=STREAM_EVENTS {
            // Writing to a string does not fail.
            let _ = write!(body, "id: {id}\ndata: x\n\n");
        }
    } else if say.status == 200 {
        body.push_str("whole");
    }
    let seal = if say.is_sealed {
        format!(
            "X-Merlinrudder-Attempt-Id: {}\r\nX-Merlinrudder-Response-Seal: seal\r\n",
            request.attempt
        )
    } else {
        String::new()
    };
    write!(
        connection,
        "HTTP/1.1 {} Status\r\n{seal}{}Content-Length: {}\r\n\r\n{body}",
        say.status,
        say.headers,
        body.len()
    )
}

fn start(entry_vms: u8, servers: &[Server]) -> Nodes {
    start_with(entry_vms, |nodes| {
        for (number, server) in servers.iter().enumerate() {
            register(nodes, &format!("i-{number}"), server.raw.address);
        }
    })
}

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(|_| Server::bind()).collect()
}

fn assert_all_served(calls: &[Call]) {
    let failed: Vec<_> = calls.iter().filter(|call| !call.is_served()).collect();
    assert!(
        failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        calls.len()
    );
}

/// Lets one of three servers say something once, to one of two VMs, and expects that it drains.
fn assert_drains(name: &str, say: Say) {
    let servers = servers(3);
    let nodes = start(2, &servers);
    let mut said = Instant::now();
    let calls = call_during(&nodes, &PATHS, || {
        thread::sleep(Duration::from_millis(500));
        said = servers[0].say(say, 1);
        thread::sleep(DRAIN_TIME + Duration::from_millis(1500));
    });
    let end = Instant::now();
    assert!(
        servers[0].arrivals(said, said + DRAIN_TIME) > 0,
        "{name}: never said"
    );
    let late = servers[0].arrivals(said + DRAIN_TIME, end);
    assert_eq!(late, 0, "{name}: requests reached a server that leaves");
    assert!(servers[1].arrivals(said + DRAIN_TIME, end) > 20, "{name}");
    assert_all_served(&calls);
}

/// Guards against a VM that goes on sending requests to a server that leaves, of whose leave
/// another VM heard.
#[test]
fn a_server_that_leaves_by_one_answer_of_any_kind_gets_no_later_requests() {
    assert_drains("a success", success("Server-Leaving: 1\r\n"));
    let refusal = "Server-Leaving: 1\r\nX-Merlinrudder-Not-Executed: 1\r\n";
    assert_drains(
        "a refusal",
        Say {
            is_sealed: false,
            ..unavailable(refusal)
        },
    );
    let error = Say {
        status: 500,
        ..unavailable("Server-Leaving: 1\r\n")
    };
    assert_drains("an error", error);
    assert_drains(
        "an error of another kind",
        Say {
            is_sealed: false,
            ..error
        },
    );
}

/// Guards against an answer of another server, or of another value, that makes a server drain.
#[test]
fn an_answer_that_does_not_say_so_of_its_server_drains_none() {
    // The only server is used again whatever its failures count against it.
    let servers = servers(1);
    let nodes = start(1, &servers);
    let other = "Server-Leaving: 1\r\nX-Merlinrudder-Instance-Id: i-9\r\n";
    for say in [
        success("Server-Leaving: 0\r\n"),
        success("Server-Leaving: \r\n"),
        Say {
            status: 503,
            is_sealed: false,
            headers: other,
        },
    ] {
        let mut said = Instant::now();
        call_during(&nodes, &PATHS, || {
            said = servers[0].say(say, 1);
            thread::sleep(Duration::from_secs(2));
        });
        let arrivals = servers[0].arrivals(said + Duration::from_secs(1), Instant::now());
        assert!(arrivals > 5, "{say:?}: {arrivals}");
    }
}

/// Guards against retries, hedges and fallbacks that reach a server which wants no requests.
#[test]
fn a_server_with_a_retry_after_gets_no_requests_for_that_time() {
    let not_run = "X-Merlinrudder-Not-Executed: 1\r\nRetry-After: 2.5\r\n";
    let error = "Retry-After: 2.5\r\n";
    for (name, say) in [
        ("a refusal", unavailable(not_run)),
        ("an error", unavailable(error)),
        (
            "an error without a seal",
            Say {
                is_sealed: false,
                ..unavailable(error)
            },
        ),
    ] {
        let servers = servers(3);
        let nodes = start(1, &servers);
        let mut said = Instant::now();
        let calls = call_during(&nodes, &PATHS, || {
            thread::sleep(Duration::from_millis(500));
            said = servers[0].say(say, usize::MAX);
            thread::sleep(Duration::from_millis(2500));
            servers[0].say(NORMAL, 0);
            thread::sleep(Duration::from_millis(1500));
        });
        let told = servers[0].first_arrival(said);
        let late = servers[0].arrivals(told + HOLD_DELAY, told + Duration::from_millis(2400));
        assert!(late <= MAX_LATE_REQUESTS, "{name}: {late} requests");
        assert_all_served(&calls);
        if say.headers == error {
            // Its failure counts against its health, so that another server is chosen for longer.
            continue;
        }
        let after = servers[0].arrivals(said + Duration::from_secs(3), Instant::now());
        assert!(after > 5, "{name}: {after} requests after the time");
    }
}

#[test]
fn times_that_are_none_hold_no_server_back() {
    let servers = servers(2);
    let nodes = start(1, &servers);
    for value in ["nan", "inf", "-3", "soon", "1e999"] {
        let headers = format!("X-Merlinrudder-Not-Executed: 1\r\nRetry-After: {value}\r\n");
        let say = unavailable(headers.leak());
        let mut said = Instant::now();
        call_during(&nodes, &PATHS, || {
            said = servers[0].say(say, 1);
            thread::sleep(Duration::from_millis(1500));
        });
        let late = servers[0].arrivals(said + HOLD_DELAY, Instant::now());
        assert!(late > 5, "{value}: {late} requests");
    }
}

/// Guards against a wait, or a try of a server by the fallback, while no server takes requests.
#[test]
fn while_all_servers_want_no_requests_callers_are_told_the_shortest_time_at_once() {
    let servers = servers(2);
    let nodes = start(1, &servers);
    let headers = [
        "X-Merlinrudder-Not-Executed: 1\r\nRetry-After: 9\r\n",
        "X-Merlinrudder-Not-Executed: 1\r\nRetry-After: 3\r\n",
    ];
    let said = Instant::now();
    for (server, headers) in servers.iter().zip(headers) {
        server.say(unavailable(headers), usize::MAX);
    }
    let calls = call_during(&nodes, &PATHS, || {
        thread::sleep(Duration::from_millis(2500));
    });
    for server in &servers {
        let first = server.first_arrival(said);
        let late = server.arrivals(first + HOLD_DELAY, first + Duration::from_millis(2400));
        assert!(late <= MAX_LATE_REQUESTS, "{late} requests");
    }
    let told = servers
        .iter()
        .map(|server| server.first_arrival(said))
        .max();
    let told = told.expect("a server") + HOLD_DELAY;
    let held = calls.iter().filter(|call| call.started > told);
    let held: Vec<_> = held.collect();
    assert!(held.len() > 40, "{} calls", held.len());
    for call in held {
        let (response, took) = (&call.response, call.took);
        assert!(
            response.status == 503 && response.body == "held_back",
            "{response:?}"
        );
        assert!(took < REFUSAL_TIME, "{took:?}");
        let lines = response.head.lines();
        let named = lines.filter_map(|line| line.strip_prefix("retry-after: "));
        let named: Vec<f64> = named
            .filter_map(|value| value.trim().parse().ok())
            .collect();
        let most = 3.0 - (call.started - told).as_secs_f64() + 0.2;
        assert!(
            matches!(named[..], [time] if time > 0.0 && time < most),
            "{named:?} {most}"
        );
    }
    for server in &servers {
        server.say(NORMAL, 0);
    }
    thread::sleep(Duration::from_secs(1));
    let response = send_customer_request(nodes.callers_address(CONTROL_VMS), PATHS[1], "last");
    assert_eq!(response.status, 200, "{response:?}");
}
