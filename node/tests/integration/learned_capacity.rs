//! A server that answers slower than the others, with real entry and control processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::{BackendFault, FakeBackend};
use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, wait_for};

use crate::deployment::{send_heartbeats, start_with_args};

/// Time between two events of a fake backend server's stream; plain calls have none.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time that each answer of the slow server takes.
const SLOWNESS: Duration = Duration::from_millis(250);
/// Time of an answer from which it came from the slow server.
const LATE: Duration = Duration::from_millis(200);
/// Time between two calls at one entry VM.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
const ENTRY_VMS: u8 = 3;
/// Calls from which an entry VM knows the usual time of the service.
const WARM_UP_CALLS: usize = 12;

/// Sends calls to all entry VMs for a while; returns how many were late, and of how many.
fn call_for(nodes: &Nodes, name: &str, time: Duration) -> (usize, usize) {
    let callers: Vec<SocketAddr> = (0..usize::from(ENTRY_VMS))
        .map(|entry| nodes.callers_address(CONTROL_VMS + entry))
        .collect();
    let threads: Vec<_> = callers
        .into_iter()
        .enumerate()
        .map(|(entry, address)| {
            let name = format!("{name}-{entry}");
            thread::spawn(move || call_one(address, &name, time))
        })
        .collect();
    let counts = threads
        .into_iter()
        .map(|thread| thread.join().expect("caller finishes"));
    counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

fn call_one(address: SocketAddr, name: &str, time: Duration) -> (usize, usize) {
    let begin = Instant::now();
    let (mut late, mut calls) = (0, 0);
    while begin.elapsed() < time {
        let sent = Instant::now();
        let response = send_customer_request(address, "GET /read/x", &format!("{name}-{calls}"));
        assert_eq!(response.status, 200, "{response:?}");
        late += usize::from(sent.elapsed() >= LATE);
        calls += 1;
        thread::sleep(CALL_INTERVAL);
    }
    (late, calls)
}

/// Returns the server that gets the calls while all are equally fast.
fn favorite<'a>(servers: &'a [FakeBackend], nodes: &Nodes) -> &'a FakeBackend {
    for number in 0..WARM_UP_CALLS {
        for entry in 0..usize::from(ENTRY_VMS) {
            let callers = nodes.callers_address(CONTROL_VMS + entry);
            let attempt = format!("warm-{entry}-{number}");
            let response = send_customer_request(callers, "GET /read/x", &attempt);
            assert_eq!(response.status, 200, "{response:?}");
        }
    }
    let most = servers
        .iter()
        .max_by_key(|server| server.executions().len());
    most.expect("a server")
}

/// Guards against a slow server that keeps its calls, and against one that never gets any again.
#[test]
fn calls_leave_a_slow_server_and_come_back() {
    let servers = ["i-1", "i-2", "i-3"]
        .map(|id| FakeBackend::bind(id, EVENT_INTERVAL).expect("fake server listens"));
    let nodes = start_with_args(ENTRY_VMS, &["--learn-capacity"], &servers);
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| send_heartbeats(&nodes, &servers, &stopped));
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let slow = favorite(&servers, &nodes);
            slow.set_faults(&vec![BackendFault::StallBeforeHead(SLOWNESS); 1000]);
            // The time in which the capacity has to fall.
            let falling = call_for(&nodes, "falling", Duration::from_secs(2));
            let fallen = call_for(&nodes, "fallen", Duration::from_secs(3));
            println!("late calls, of all: {falling:?}, then {fallen:?}");
            assert!(falling.0 > 0, "the server was not slow: {falling:?}");
            assert!(fallen.0 * 10 <= fallen.1, "still slow: {fallen:?}");
            slow.set_faults(&[]);
            let before = slow.executions().len();
            // The time in which it has to grow back.
            call_for(&nodes, "growing", Duration::from_secs(10));
            let before_end = slow.executions().len();
            call_for(&nodes, "grown", Duration::from_secs(1));
            let runs = (before_end - before, slow.executions().len() - before_end);
            println!("calls of the server: {runs:?}");
            assert!(runs.1 > 0, "no calls any more: {runs:?}");
        }));
        // The heartbeats end also when the test panics.
        stopped.store(true, Ordering::Relaxed);
        if let Err(panic) = outcome {
            std::panic::resume_unwind(panic);
        }
    });
    wait_for("learned pace in the log", || {
        (0..usize::from(ENTRY_VMS)).any(|entry| {
            let log = nodes.log(CONTROL_VMS + entry);
            log.contains("Learned capacity changed") && log.contains("late_answers")
        })
    });
}
