//! Control VMs that are replaced one after the other by others at new addresses.

use std::time::Duration;

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::{send_customer_request, send_request_with_key};
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, sample_configuration, wait_for};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::deployment::{publish, start_deployment};

/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Publishes a configuration with a route of its own, which shows where it is in force.
fn publish_version(nodes: &Nodes, version: u64) {
    let mut configuration = sample_configuration(version);
    let route = json!({"name": "added", "host": "h.example", "path-prefix": format!("/v{version}/"),
        "kind": "safe", "timeout-ms": 2000, "service": "app", "max-attempts": 2});
    let routes = configuration["routes"].as_array_mut();
    routes.expect("a list of routes").push(route);
    publish(nodes, &configuration);
}

/// Waits until an entry VM serves the route that a version has added.
fn await_in_force(nodes: &Nodes, entry: usize, version: u64) {
    let path = format!("GET /v{version}/x");
    wait_for("the manifest in force", || {
        send_customer_request(nodes.callers_address(entry), &path, "in-force").status == 200
    });
}

/// Replaces each control VM in turn, and publishes a version after each; returns the last one.
fn replace_all(nodes: &mut Nodes) -> u64 {
    let mut version = 10;
    for index in 0..CONTROL_VMS {
        let old = nodes.name(index).to_owned();
        nodes.replace_control(index).expect("control VM replaced");
        let new = nodes.name(index).to_owned();
        wait_for("the replaced voter", || {
            let log = nodes.log(index);
            let changed = log.lines().rfind(|line| line.contains("Voters changed"));
            let voters = changed.and_then(|line| line.split("\"voters\":\"").nth(1));
            let voters = voters.and_then(|rest| rest.split('"').next());
            let voters: Vec<_> = voters.unwrap_or_default().split(' ').collect();
            voters.contains(&new.as_str()) && !voters.contains(&old.as_str())
        });
        version += 1;
        publish_version(nodes, version);
    }
    version
}

/// Guards against an entry VM that stays on an old manifest as it knows no control VM that still runs.
#[test]
fn an_entry_vm_that_missed_the_replacement_of_all_control_vms_follows_changes() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake backend server listens");
    let mut nodes = start_deployment(3, &[&server]);
    let missing = CONTROL_VMS + 1;
    nodes
        .signal(missing, Signal::SIGSTOP)
        .expect("a running VM");
    wait_for("closed links", || {
        let lost = format!("\"peer\":\"{}\"", nodes.name(missing));
        let has_lost = |index| {
            let log = nodes.log(index);
            let mut lines = log.lines();
            lines.any(|line| line.contains("Link lost") && line.contains(&lost))
        };
        (0..CONTROL_VMS).all(has_lost)
    });
    let version = replace_all(&mut nodes);
    nodes
        .signal(missing, Signal::SIGCONT)
        .expect("a stopped VM");
    for entry in CONTROL_VMS..nodes.len() {
        await_in_force(&nodes, entry, version);
    }
    publish_version(&nodes, version + 1);
    await_in_force(&nodes, missing, version + 1);
}

/// Guards against final answers by a manifest of which nobody tells any more whether it is the newest.
#[test]
fn an_entry_vm_without_control_vms_denies_no_request_for_good() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake backend server listens");
    let nodes = start_deployment(1, &[&server]);
    let callers = nodes.callers_address(CONTROL_VMS);
    let status = |path: &str, key| send_request_with_key(callers, path, "denied", key).status;
    assert_eq!(status("GET /nowhere/x", "k1"), 404);
    assert_eq!(status("GET /read/x", "unknown"), 401);
    for index in 0..CONTROL_VMS {
        nodes.kill(index).expect("control VM killed");
    }
    wait_for("the lost contact", || {
        nodes
            .log(CONTROL_VMS)
            .contains("No control VM tells the newest manifest")
    });
    assert_eq!(status("GET /nowhere/x", "k1"), 503);
    assert_eq!(status("GET /read/x", "unknown"), 503);
    assert_eq!(status("GET /read/x", "k1"), 200);
    for index in 0..CONTROL_VMS {
        nodes.start(index, false).expect("control VM started");
    }
    wait_for("a final answer", || status("GET /nowhere/x", "k1") == 404);
    wait_for("a final answer", || status("GET /read/x", "unknown") == 401);
}
