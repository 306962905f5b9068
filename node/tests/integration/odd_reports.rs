//! Status reports of another writer: unknown services, missing fields, bytes that cannot be read.

use std::thread;
use std::time::Duration;

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::{send_customer_request, send_request};
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes};
use serde_json::{Value, json};

use crate::deployment::start_deployment;

/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a report is known to all VMs.
const APPLY_TIME: Duration = Duration::from_secs(1);

/// Sends a call about a server to a control VM; returns the status.
fn report(nodes: &Nodes, call: &str, id: &str, body: &str) -> u16 {
    let method_path = format!("POST /-/Instances.{call}/{id}");
    send_request(nodes.control_address(0), &method_path, "", body).status
}

/// Returns a report of a lifetime that began after that of the server at the same address.
fn heartbeat(server: &FakeBackend) -> Value {
    json!({"service": "app", "address": server.address.to_string(), "zone": "z0", "version": "v1",
        "slots": 8, "state": "ready", "seq": 9, "born": 50})
}

fn assert_served(nodes: &Nodes, what: &str) {
    thread::sleep(APPLY_TIME);
    let callers = nodes.callers_address(CONTROL_VMS);
    let response = send_customer_request(callers, "GET /read/x", "sound");
    assert_eq!(response.status, 200, "{what}: {response:?}");
}

/// Guards against sound servers that are taken out of use by a report that names no server to use.
#[test]
fn odd_reports_leave_sound_servers_in_use() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake backend server listens");
    let nodes = start_deployment(1, &[&server]);
    for id in ["i-other", "i-1"] {
        let mut unknown = heartbeat(&server);
        unknown["service"] = json!("nobody");
        report(&nodes, "Heartbeat", id, &unknown.to_string());
        assert_served(&nodes, &format!("an unknown service of {id}"));
    }
    for field in ["seq", "version", "state", "service", "address"] {
        let mut lacking = heartbeat(&server);
        lacking.as_object_mut().expect("an object").remove(field);
        let status = report(&nodes, "Heartbeat", "i-other", &lacking.to_string());
        assert_eq!(status, 400, "without {field}");
    }
    for body in ["{\"born\":\"x\"}", "[", "\u{1}"] {
        let status = report(&nodes, "Deregister", "i-1", body);
        assert_eq!(status, 400, "{body}");
    }
    assert_served(&nodes, "missing fields and bytes that cannot be read");
    // A server that leaves names itself, with or without its lifetime.
    assert_eq!(report(&nodes, "Deregister", "i-1", ""), 200);
}
