//! Configurations whose customers lose their API keys, with control and entry processes.

use std::time::Duration;

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::send_request_with_key;
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, sample_configuration, wait_for};
use serde_json::{Value, json};

use crate::deployment::{publish, start_deployment};

/// Time between two events of a fake backend server's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of entry VMs.
const ENTRY_VMS: u8 = 2;

/// Publishes a configuration with these customers and waits until all entry VMs use it.
///
/// Each version has a public route of its own that shows that the version is in use.
fn put_in_force(nodes: &Nodes, version: u64, customers: &Value) {
    let mut configuration = sample_configuration(version);
    configuration["tenants"] = customers.clone();
    let public = json!({"name": "public", "host": "h.example", "path-prefix": format!("/v{version}/"),
        "kind": "safe", "timeout-ms": 2000, "service": "app", "max-attempts": 2, "public": true});
    let routes = configuration["routes"].as_array_mut();
    routes.expect("a list of routes").push(public);
    publish(nodes, &configuration);
    let path = format!("GET /v{version}/x");
    for entry in CONTROL_VMS..nodes.len() {
        let callers = nodes.callers_address(entry);
        wait_for("configuration in force", || {
            send_request_with_key(callers, &path, "public", "none").status == 200
        });
    }
}

/// Guards against the removal of the last API key, which opened the service to callers with any key.
#[test]
fn callers_are_refused_once_the_last_key_is_revoked() {
    let server = FakeBackend::bind("i-1", EVENT_INTERVAL).expect("fake backend server listens");
    let nodes = start_deployment(ENTRY_VMS, &[&server]);
    let customers = [
        json!([{"name": "t1", "api-keys": ["k2"]}]),
        json!([{"name": "t1", "api-keys": []}]),
        json!([{"name": "t1"}]),
        json!([]),
    ];
    for (version, customers) in (6..).zip(&customers) {
        put_in_force(&nodes, version, customers);
        for entry in CONTROL_VMS..nodes.len() {
            for key in ["k1", "never-valid"] {
                let attempt = format!("{key}-{version}-{entry}");
                let callers = nodes.callers_address(entry);
                for path in ["POST /file/x", "POST /stream/x"] {
                    let response = send_request_with_key(callers, path, &attempt, key);
                    assert_eq!(response.status, 401, "{path} with {key}: {customers}");
                }
                let ran = server.executions();
                assert!(ran.iter().all(|ran| ran.attempt != attempt), "{ran:?}");
            }
        }
    }
}
