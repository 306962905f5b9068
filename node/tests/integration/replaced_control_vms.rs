//! Control VMs that are replaced one after the other by others at new addresses.

use std::net::IpAddr;
use std::ops::Range;
use std::thread;
use std::time::Duration;

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::{send_customer_request, send_request_with_key};
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, sample_configuration, wait_for};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::deployment::{publish, register, start_deployment};

/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a control VM keeps the addresses of VMs with new links.
const KEPT_INTERVAL: Duration = Duration::from_millis(2500);

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
    // A slow start may have logged such a loss before.
    let losses = || {
        let log = nodes.log(CONTROL_VMS);
        log.matches("No control VM tells the newest manifest")
            .count()
    };
    let earlier = losses();
    for index in 0..CONTROL_VMS {
        nodes.kill(index).expect("control VM killed");
    }
    wait_for("the lost contact", || losses() > earlier);
    assert_eq!(status("GET /nowhere/x", "k1"), 503);
    assert_eq!(status("GET /read/x", "unknown"), 503);
    assert_eq!(status("GET /read/x", "k1"), 200);
    for index in 0..CONTROL_VMS {
        nodes.start(index, false).expect("control VM started");
    }
    wait_for("a final answer", || status("GET /nowhere/x", "k1") == 404);
    wait_for("a final answer", || status("GET /read/x", "unknown") == 401);
}

/// Kills nodes, and starts all of them again with the seeds of the first start.
fn restart(nodes: &Nodes, range: Range<usize>) {
    for index in range.clone() {
        nodes.kill(index).expect("VM killed");
    }
    for index in range {
        nodes.start(index, false).expect("VM started");
    }
}

/// Waits until a control VM has kept the addresses of all others.
fn await_kept(nodes: &Nodes) {
    for index in 0..CONTROL_VMS {
        wait_for("the kept addresses", || nodes.kept_bytes(index) > 0);
    }
    // The file is written every 2 s at most, and changes with the last links.
    thread::sleep(KEPT_INTERVAL);
}

/// Guards against control VMs that never find each other, as their settings name only replaced ones.
#[test]
fn control_vms_that_start_with_outdated_seeds_find_each_other() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake backend server listens");
    let mut nodes = start_deployment(1, &[&server]);
    let version = replace_all(&mut nodes);
    await_kept(&nodes);
    restart(&nodes, 0..CONTROL_VMS);
    publish_version(&nodes, version + 1);
    await_in_force(&nodes, CONTROL_VMS, version + 1);
}

/// Guards against entry VMs that find no control VM, as their settings name only replaced ones.
#[test]
fn entry_vms_that_start_with_outdated_seeds_find_control_vms() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake backend server listens");
    let mut nodes = start_deployment(2, &[&server]);
    let version = replace_all(&mut nodes);
    await_kept(&nodes);
    let entry_vms = CONTROL_VMS..nodes.len();
    // One alone, then all VMs of both roles.
    restart(&nodes, CONTROL_VMS..CONTROL_VMS + 1);
    wait_for("ready entry VM", || nodes.is_ready(CONTROL_VMS));
    restart(&nodes, 0..nodes.len());
    publish_version(&nodes, version + 1);
    register(&nodes, "i-1", server.address);
    for entry in entry_vms {
        await_in_force(&nodes, entry, version + 1);
    }
}

/// Guards against a VM that follows a settings file with new seeds only at its next start.
#[test]
fn a_vm_dials_seeds_that_its_settings_name_later() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake backend server listens");
    let mut nodes = start_deployment(1, &[&server]);
    let nobody = IpAddr::from([127, 77, 0, 1]);
    let entry = nodes.add_entry(vec![nobody]).expect("entry VM started");
    wait_for("the lack of control VMs", || {
        nodes
            .log(entry)
            .contains("No control VM tells the newest manifest")
    });
    assert!(!nodes.is_ready(entry));
    nodes.rewrite_settings(entry).expect("settings written");
    wait_for("ready entry VM", || nodes.is_ready(entry));
}
