//! A deployment of control and entry processes with registered fake backend servers.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::send_customer_request;
use merlinrudder_fakes::nodes::{CONTROL_VMS, Heartbeat, Nodes, sample_configuration, wait_for};

/// Number of entry VMs of `with_restarting_servers`.
pub const ENTRY_VMS: u8 = 3;
/// Number of backend servers of `with_restarting_servers`.
const SERVERS: usize = 6;
/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time from a crash of a server to its next start.
const DOWNTIME: Duration = Duration::from_millis(1500);
/// Interval between two heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a deployment of three control VMs and `entry_vms` entry VMs, the first of them node 3.
///
/// Returns once the backend servers are registered and the entry VMs are ready.
pub fn start_deployment(entry_vms: u8, backends: &[&FakeBackend]) -> Nodes {
    start_with(entry_vms, |nodes| {
        for backend in backends {
            wait_for("accepted heartbeat", || send_heartbeat(nodes, backend, 1));
        }
    })
}

/// Starts a deployment as `start_deployment` does, to which `register_servers` adds the servers.
pub fn start_with(entry_vms: u8, register_servers: impl FnOnce(&Nodes)) -> Nodes {
    start_nodes(entry_vms, &[], register_servers)
}

/// Starts a deployment as `start_deployment` does, the entry VMs with further arguments.
pub fn start_with_args(entry_vms: u8, entry_args: &[&str], backends: &[FakeBackend]) -> Nodes {
    start_nodes(entry_vms, entry_args, |nodes| {
        for backend in backends {
            wait_for("accepted heartbeat", || send_heartbeat(nodes, backend, 1));
        }
    })
}

fn start_nodes(entry_vms: u8, entry_args: &[&str], register_servers: impl FnOnce(&Nodes)) -> Nodes {
    let program = Path::new(env!("CARGO_BIN_EXE_merlinrudder"));
    let nodes = Nodes::spawn_with(program, entry_vms, entry_args).expect("deployment starts");
    publish(&nodes, &sample_configuration(5));
    register_servers(&nodes);
    for entry in CONTROL_VMS..nodes.len() {
        wait_for("ready entry VM", || nodes.is_ready(entry));
    }
    nodes
}

/// Runs `test` with a deployment whose servers start again after each crash.
pub fn with_restarting_servers(test: impl FnOnce(&Nodes, &[FakeBackend])) {
    let servers = restarting_servers(SERVERS, DOWNTIME);
    with_servers(&servers, |nodes| test(nodes, &servers));
}

/// Returns backend servers that start again after each crash.
pub fn restarting_servers(count: usize, downtime: Duration) -> Vec<FakeBackend> {
    let servers = (0..count).map(|number| {
        let id = format!("i-{number}");
        let server = FakeBackend::bind(&id, EVENT_INTERVAL).expect("fake server listens");
        server.set_downtime(downtime);
        server
    });
    servers.collect()
}

/// Runs `test` with a deployment to which `servers` send heartbeats while they run.
pub fn with_servers(servers: &[FakeBackend], test: impl FnOnce(&Nodes)) {
    let nodes = start_deployment(ENTRY_VMS, &servers.iter().collect::<Vec<_>>());
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| send_heartbeats(&nodes, servers, &stopped));
        // The heartbeats end also when the test panics.
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| test(&nodes)));
        stopped.store(true, Ordering::Relaxed);
        if let Err(panic) = outcome {
            std::panic::resume_unwind(panic);
        }
    });
}

/// Returns how often the servers have crashed, in total.
pub fn total_crashes(servers: &[FakeBackend]) -> u64 {
    servers.iter().map(FakeBackend::crashes).sum()
}

/// Returns how often the servers began to run requests whose target contains `part`.
pub fn runs(servers: &[FakeBackend], part: &str) -> usize {
    let executions = servers.iter().flat_map(FakeBackend::executions);
    executions.filter(|ran| ran.target.contains(part)).count()
}

/// Sends a request to the entry VMs in turn until `crashes` servers have crashed.
pub fn send_until_crashes(nodes: &Nodes, servers: &[FakeBackend], method_path: &str, crashes: u64) {
    let mut number = 0;
    wait_for("crashed servers", || {
        number += 1;
        let entry = CONTROL_VMS + number % usize::from(ENTRY_VMS);
        let attempt = format!("first-{number}");
        let _response = send_customer_request(nodes.callers_address(entry), method_path, &attempt);
        total_crashes(servers) >= crashes
    });
}

/// Publishes a configuration, and retries until a control VM confirms it.
pub fn publish(nodes: &Nodes, configuration: &serde_json::Value) {
    wait_for("confirmed configuration", || {
        (0..CONTROL_VMS).any(|at| nodes.put_configuration(at, configuration) == 200)
    });
}

/// Sends the first heartbeat of a server of `id` until a control VM accepts it.
pub fn register(nodes: &Nodes, id: &str, address: SocketAddr) {
    wait_for("accepted heartbeat", || {
        let heartbeat = Heartbeat {
            id,
            address,
            sequence: 1,
            born: 5,
            draining: false,
        };
        (0..CONTROL_VMS).any(|at| nodes.send_heartbeat(at, &heartbeat))
    });
}

/// Sends heartbeats of all running backend servers until `stopped` is set.
pub fn send_heartbeats(nodes: &Nodes, backends: &[FakeBackend], stopped: &AtomicBool) {
    let mut sequence = 1;
    while !stopped.load(Ordering::Relaxed) {
        sequence += 1;
        for backend in backends {
            // A heartbeat that no control VM accepts is sent again in the next round.
            let _accepted = send_heartbeat(nodes, backend, sequence);
        }
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

/// Sends a heartbeat to the first control VM that accepts it; returns whether one did.
fn send_heartbeat(nodes: &Nodes, backend: &FakeBackend, sequence: u64) -> bool {
    // Read before the start: a crash in between leaves no start.
    let id = backend.current_id();
    let Some(born) = backend.born() else {
        return false;
    };
    let heartbeat = Heartbeat {
        id: &id,
        address: backend.address,
        sequence,
        born,
        draining: false,
    };
    (0..CONTROL_VMS).any(|at| nodes.send_heartbeat(at, &heartbeat))
}
