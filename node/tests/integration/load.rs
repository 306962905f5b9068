//! Callers that keep all entry VMs of a deployment busy.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::{HttpResponse, send_customer_request};
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes};

use crate::deployment::{send_heartbeats, start_deployment};

/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Pause of a caller between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(50);
/// Callers of each entry VM for each path.
const CALLERS: usize = 2;

/// One request of a caller, each on a connection of its own and never repeated.
#[derive(Debug)]
pub struct Call {
    /// Entry VM that it was sent to, as the index of its node.
    pub entry: usize,
    pub attempt: String,
    pub path: &'static str,
    pub started: Instant,
    pub took: Duration,
    pub response: HttpResponse,
}

impl Call {
    /// Whether the request was served completely.
    pub fn is_served(&self) -> bool {
        if self.path.contains("/stream/") {
            self.response.is_whole_stream()
        } else {
            self.response.status == 200 && self.response.whole && self.response.body == "whole"
        }
    }
}

pub fn start_servers(count: usize) -> Vec<FakeBackend> {
    let bind = |number| FakeBackend::bind(&format!("i-{number}"), EVENT_INTERVAL);
    let servers = (0..count).map(|number| bind(number).expect("fake backend server listens"));
    servers.collect()
}

/// Runs `test` while callers send requests with each of `paths` to each of the entry VMs.
pub fn under_load(
    servers: &[FakeBackend],
    entry_vms: u8,
    paths: &[&'static str],
    test: impl FnOnce(&Nodes),
) -> Vec<Call> {
    let nodes = start_deployment(entry_vms, &servers.iter().collect::<Vec<_>>());
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| send_heartbeats(&nodes, servers, &stopped));
        // The heartbeats end also when the test panics.
        let called = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            call_during(&nodes, paths, || test(&nodes))
        }));
        stopped.store(true, Ordering::Relaxed);
        called.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    })
}

/// Runs `test` while callers send requests with each of `paths` to each of the entry VMs.
pub fn call_during(nodes: &Nodes, paths: &[&'static str], test: impl FnOnce()) -> Vec<Call> {
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        let stopped = &stopped;
        let callers: Vec<_> = (CONTROL_VMS..nodes.len())
            .flat_map(|entry| paths.iter().map(move |path| (entry, *path)))
            .flat_map(|(entry, path)| (0..CALLERS).map(move |caller| (entry, path, caller)))
            .map(|(entry, path, caller)| {
                scope.spawn(move || call_until(nodes, stopped, entry, path, caller))
            })
            .collect();
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(test));
        stopped.store(true, Ordering::Relaxed);
        if let Err(panic) = outcome {
            std::panic::resume_unwind(panic);
        }
        let calls = callers.into_iter().map(thread::ScopedJoinHandle::join);
        calls
            .flat_map(|calls| calls.expect("caller thread finishes"))
            .collect()
    })
}

/// Sends requests one after the other until `stopped` is set.
fn call_until(
    nodes: &Nodes,
    stopped: &AtomicBool,
    entry: usize,
    path: &'static str,
    caller: usize,
) -> Vec<Call> {
    let mut calls = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        let kind = path.split('/').nth(1).unwrap_or_default();
        let attempt = format!("{entry}-{kind}-{caller}-{}", calls.len());
        let started = Instant::now();
        let response = send_customer_request(nodes.callers_address(entry), path, &attempt);
        calls.push(Call {
            entry,
            attempt,
            path,
            started,
            took: started.elapsed(),
            response,
        });
        thread::sleep(CALL_INTERVAL);
    }
    calls
}
