//! The retry budget that all entry VMs of a deployment share.

use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::{BackendFault, FakeBackend};
use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, wait_for};
use nix::sys::signal::Signal;

use crate::deployment::start_deployment;

const ENTRY_VMS: u8 = 3;
/// Time without a byte after which VMs close a link, and some more.
const LINK_LOSS_TIME: Duration = Duration::from_millis(2500);
/// Retries per request, and further ones of all VMs in a window, with the default settings.
const BUDGET_RATIO: f64 = 0.1;
const BUDGET_SLACK: f64 = 50.0;
/// Requests that each VM gets within one budget window.
const REQUESTS: usize = 60;

/// Sends requests that no server accepts; returns the arrivals beyond the first of each.
fn send_refused_requests(
    nodes: &Nodes,
    servers: &[FakeBackend],
    entry: usize,
    requests: usize,
) -> usize {
    let refused =
        |servers: &[FakeBackend]| servers.iter().map(FakeBackend::refusals).sum::<usize>();
    let before = refused(servers);
    for number in 0..requests {
        let address = nodes.callers_address(entry);
        let response = send_customer_request(address, "GET /read/x", &format!("{entry}-{number}"));
        assert_eq!(response.status, 503, "{response:?}");
    }
    refused(servers) - before - requests
}

/// Returns the retries that all VMs together may make in a window with `requests` requests.
fn allowed_retries(requests: usize) -> f64 {
    let requests = u32::try_from(requests).expect("few requests");
    f64::from(requests) * BUDGET_RATIO + BUDGET_SLACK
}

#[test]
fn entry_vms_that_lose_sight_of_each_other_keep_to_the_shared_retry_budget() {
    let servers: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("i-{number}");
            FakeBackend::bind(&id, Duration::ZERO).expect("fake server listens")
        })
        .collect();
    let nodes = start_deployment(ENTRY_VMS, &servers.iter().collect::<Vec<_>>());
    for server in &servers {
        server.set_faults(&vec![BackendFault::Refuse; 10_000]);
    }
    let entries = CONTROL_VMS..nodes.len();
    let mut retries = 0;
    for entry in entries.clone() {
        let others: Vec<_> = entries.clone().filter(|other| *other != entry).collect();
        for other in &others {
            nodes
                .signal(*other, Signal::SIGSTOP)
                .expect("entry VM runs");
        }
        thread::sleep(LINK_LOSS_TIME);
        retries += send_refused_requests(&nodes, &servers, entry, REQUESTS);
        for other in &others {
            nodes
                .signal(*other, Signal::SIGCONT)
                .expect("entry VM runs");
        }
        wait_for("resumed VMs", || {
            others.iter().all(|other| nodes.is_ready(*other))
        });
    }
    let allowed = allowed_retries(REQUESTS * entries.len());
    let retries = u32::try_from(retries).expect("few retries");
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}

/// Requests that each VM gets before and after it is restarted.
const REQUESTS_PER_LIFETIME: usize = 20;
/// Time in which the budget counts, with the default settings.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Guards against entry VMs that spend their parts of the budget once more after a restart.
#[test]
fn entry_vms_that_are_all_killed_keep_to_the_shared_retry_budget() {
    let servers: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("i-{number}");
            FakeBackend::bind(&id, Duration::ZERO).expect("fake server listens")
        })
        .collect();
    let nodes = start_deployment(ENTRY_VMS, &servers.iter().collect::<Vec<_>>());
    for server in &servers {
        server.set_faults(&vec![BackendFault::Refuse; 10_000]);
    }
    let entries = CONTROL_VMS..nodes.len();
    let send_to_all = || {
        let retries = entries
            .clone()
            .map(|entry| send_refused_requests(&nodes, &servers, entry, REQUESTS_PER_LIFETIME));
        retries.sum::<usize>()
    };
    // The parts of the new processes are spent in the window in which those before spent theirs.
    thread::sleep(BUDGET_WINDOW);
    let start = Instant::now();
    let mut retries = send_to_all();
    for entry in entries.clone() {
        nodes.kill(entry).expect("entry VM is killed");
        nodes.start(entry, false).expect("entry VM starts");
    }
    wait_for("restarted VMs", || {
        entries.clone().all(|entry| nodes.is_ready(entry))
    });
    retries += send_to_all();
    assert!(
        start.elapsed() < BUDGET_WINDOW,
        "took {:?}",
        start.elapsed()
    );
    let allowed = allowed_retries(2 * REQUESTS_PER_LIFETIME * entries.len());
    let retries = u32::try_from(retries).expect("few retries");
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}
