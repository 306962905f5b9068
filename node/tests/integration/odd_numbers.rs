//! Numbers beyond all bounds in what servers, callers and operators send.

use std::io::Write;
use std::thread;
use std::time::Duration;

use merlinrudder_fakes::http_client::{HttpResponse, send_request_with_headers};
use merlinrudder_fakes::nodes::{Nodes, sample_configuration};
use merlinrudder_fakes::raw_server::RawServer;
use serde_json::json;

use crate::deployment::{publish, register, start_with};

/// Time within which a configuration or a server is known to all VMs.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Requests for each odd header.
const REQUESTS: usize = 3;

/// Starts a deployment with one server whose answers have these headers.
fn start_with_headers(headers: &'static str) -> (Nodes, RawServer) {
    let server = RawServer::bind(move |connection, request| {
        write!(
            connection,
            "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
             X-Merlinrudder-Response-Seal: seal\r\n{headers}Content-Length: 15\r\n\r\n\
             id: 1\ndata: x\n\n",
            request.attempt
        )
    });
    let server = server.expect("raw server listens");
    let nodes = start_with(1, |nodes| register(nodes, "i-0", server.address));
    thread::sleep(APPLY_TIME);
    (nodes, server)
}

fn send(nodes: &Nodes, path: &str, attempt: &str, headers: &str) -> HttpResponse {
    send_request_with_headers(nodes.callers_address(3), path, attempt, "k1", headers)
}

/// Guards against a request without an answer, as a number of its server overflows.
#[test]
fn odd_numbers_in_the_headers_of_a_server_cost_no_request_its_answer() {
    let odd = "Keep-Alive: timeout=18446744073709551615\r\n\
        X-Merlinrudder-Engine-Load: 4294967295,4294967295,4294967295\r\n\
        Server-Limit: 1e308\r\nX-Merlinrudder-Weight-Versions: 99999999999999999999\r\n";
    let (nodes, _server) = start_with_headers(odd);
    for number in 0..REQUESTS {
        for path in ["GET /read/x", "POST /file/x", "POST /stream/x"] {
            let response = send(&nodes, path, &format!("{number}{path}"), "");
            assert!(
                response.status == 200 && response.whole,
                "{path}: {response:?}"
            );
        }
    }
}

/// Guards against a request without an answer, as a number of its caller or its route overflows.
#[test]
fn odd_numbers_of_callers_and_operators_cost_no_request_its_answer() {
    let (nodes, _server) = start_with_headers("");
    let mut configuration = sample_configuration(6);
    configuration["services"][0]["engine"] = json!({
        "slots": 4_294_967_295_u32, "kv-capacity": u64::MAX, "step_ms": 1e300,
        "read_per_s": 1e-300, "pairs_per_m": 1e300, "context_per_k": 1e300});
    for route in 0..3 {
        configuration["routes"][route]["slo-ms"] = json!(1e22);
        configuration["routes"][route]["gap-target-ms"] = json!(1e22);
        configuration["routes"][route]["timeout-ms"] = json!(1.8e22);
    }
    configuration["limits"] = json!({"max-header-bytes": 16_384, "max-body-bytes": 4_194_304,
        "idle-timeout-ms": u64::MAX});
    publish(&nodes, &configuration);
    thread::sleep(APPLY_TIME);
    for (number, headers) in [
        "X-Merlinrudder-Token-Count: 18446744073709551615,18446744073709551615\r\n",
        "X-Merlinrudder-Length-Hint: 1e308\r\nLast-Event-Id: 18446744073709551615\r\n",
        "X-Merlinrudder-Token-Count: 12,80\r\n",
    ]
    .iter()
    .enumerate()
    {
        for path in ["GET /read/x", "POST /file/x", "POST /stream/x"] {
            let response = send(&nodes, path, &format!("{number}{path}"), headers);
            assert!(response.status > 0, "{path} {headers}: {response:?}");
        }
    }
}
