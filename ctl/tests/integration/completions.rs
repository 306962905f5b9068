//! Completions end to end, with engines that crash, misbehave, leave or lack memory.

use std::thread;

use merlinrudder_ctl::client::CallOutcome;
use serde_json::json;

use crate::util::{Cluster, ZONES, assert_exact_completion, prompt, wait_until};

/// Zones of six VMs, two in each.
const SIX_VM_ZONES: [&str; 6] = ["zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"];
const MAX_TOKENS: u64 = 64;

#[test]
fn six_vms_answer_concurrent_prompts_of_all_lengths_exactly() {
    let mut cluster = Cluster::start(&SIX_VM_ZONES, 3);
    cluster.publish(1);
    for zone in ZONES {
        cluster.start_engines(zone, 3, &["--speed", "20"]);
    }
    cluster.wait_for_servers(9);
    let prompts: Vec<_> = [1_000, 1_000, 1_000, 1_000, 100_000, 100_000, 1_000_000]
        .iter()
        .enumerate()
        .map(|(index, tokens)| prompt(&format!("prompt {index}"), *tokens))
        .collect();
    let outcomes = complete_concurrently(&cluster, &prompts);
    let mut log_lines = Vec::new();
    for zone in ZONES {
        for number in 1..=3 {
            log_lines.extend(cluster.engine_log(&format!("engine-{zone}-{number}")));
        }
    }
    for (prompt, outcome) in prompts.iter().zip(&outcomes) {
        assert_exact_completion(outcome, prompt, MAX_TOKENS);
        let done = log_lines
            .iter()
            .filter(|line| line.text == outcome.text && line.state == "done");
        assert_eq!(
            done.count(),
            1,
            "exactly one engine logs that it completed the answer"
        );
    }
}

/// Sends all prompts at once, spread over the VMs.
///
/// Outcomes are in the order of the prompts.
fn complete_concurrently(cluster: &Cluster, prompts: &[String]) -> Vec<CallOutcome> {
    thread::scope(|scope| {
        let threads: Vec<_> = prompts
            .iter()
            .enumerate()
            .map(|(index, prompt)| {
                scope.spawn(move || cluster.complete(index % cluster.vms.len(), prompt, MAX_TOKENS))
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("the caller thread does not panic"))
            .collect()
    })
}

#[test]
fn a_stream_resumes_at_the_exact_token_when_its_engine_is_killed() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    cluster.start_engines("zone-a", 2, &[]);
    cluster.wait_for_servers(2);
    let text = prompt("a draft", 1_000);
    let outcome = thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.complete(0, &text, 400));
        let mut streaming = None;
        wait_until("an engine streams", || {
            let engines = ["engine-zone-a-1", "engine-zone-a-2"];
            streaming = engines
                .into_iter()
                .find(|id| cluster.engine_log(id).iter().any(|line| line.to > 5));
            streaming.is_some()
        });
        cluster.kill_fake(streaming.expect("a streaming engine was found"));
        caller.join().expect("the caller thread does not panic")
    });
    assert_exact_completion(&outcome, &text, 400);
    assert_eq!(
        cluster.counter(0, "merlinrudder_retries_total", "stream_resumed"),
        1
    );
}

#[test]
fn engine_faults_never_reach_the_caller() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    cluster.start_engines("zone-a", 2, &["--speed", "20"]);
    cluster.wait_for_servers(2);
    let faults = [
        json!({ "duplicate": true }),
        json!({ "foreign": true }),
        json!({ "drop_at_byte": 2000 }),
        json!({ "late_ms": 300 }),
        json!({ "refuse": true }),
    ];
    for (index, fault) in faults.iter().enumerate() {
        cluster.set_faults("engine-zone-a-1", fault);
        for number in 0..3 {
            let text = prompt(&format!("fault {index} {number}"), 1_000);
            assert_exact_completion(
                &cluster.complete(number, &text, MAX_TOKENS),
                &text,
                MAX_TOKENS,
            );
        }
    }
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    cluster.start_engines("zone-a", 2, &["--speed", "20"]);
    cluster.wait_for_servers(2);
    cluster.leave("engine-zone-a-1");
    cluster.wait_for_servers(1);
    let before = cluster.engine_log("engine-zone-a-1").len();
    for number in 0..9 {
        let text = prompt(&format!("after {number}"), 1_000);
        assert_exact_completion(
            &cluster.complete(number % 3, &text, MAX_TOKENS),
            &text,
            MAX_TOKENS,
        );
    }
    assert_eq!(cluster.engine_log("engine-zone-a-1").len(), before);
}

#[test]
fn requests_that_no_engine_can_serve_are_refused_as_not_run() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    let no_server = cluster.complete(0, &prompt("nobody", 1_000), MAX_TOKENS);
    assert_eq!(
        (no_server.status, no_server.reason.as_deref()),
        (503, Some("no_server"))
    );
    assert_eq!(no_server.run.as_deref(), Some("not_run"));
    cluster.start_engines("zone-a", 1, &["--speed", "20", "--memory", "5000"]);
    cluster.wait_for_servers(1);
    let too_long = cluster.complete(0, &prompt("too long", 50_000), MAX_TOKENS);
    assert_eq!(
        (too_long.status, too_long.reason.as_deref()),
        (413, Some("prompt_too_long"))
    );
    assert_eq!(too_long.run.as_deref(), Some("not_run"));
    assert!(cluster.engine_log("engine-zone-a-1").is_empty());
}

#[test]
fn invalid_requests_are_refused_with_a_reason_as_not_run() {
    let cluster = Cluster::start(&ZONES[..1], 1);
    cluster.publish(1);
    let address = cluster.callers_address(0);
    let post = |path: &str, token: &str, body: &str| {
        let url = format!("http://{address}{path}");
        let sent = attohttpc::post(url)
            .bearer_auth(token)
            .text(body.to_owned())
            .send();
        let response = sent.expect("the request is answered");
        let status = response.status().as_u16();
        let answer: serde_json::Value =
            serde_json::from_slice(&response.bytes().expect("the body is read"))
                .expect("the body is JSON");
        assert_eq!(answer["error"]["run"], "not_run", "{answer}");
        (
            status,
            answer["error"]["reason"]
                .as_str()
                .unwrap_or_default()
                .to_owned(),
        )
    };
    let completions = "/v1/completions";
    let token = "token-of-norrbok";
    let unknown_model = r#"{"model":"none","prompt":"a"}"#;
    let cases = [
        (post(completions, token, "{"), (400, "bad_request")),
        (
            post(completions, token, r#"{"model":"drafts","prompt":""}"#),
            (400, "bad_request"),
        ),
        (post(completions, "wrong", "{}"), (401, "unknown_customer")),
        (
            post(completions, token, unknown_model),
            (404, "unknown_service"),
        ),
        (post("/v1/nothing", token, ""), (404, "unknown_path")),
        (post("/nothing", token, ""), (404, "unknown_path")),
        (
            post(completions, token, &" ".repeat(17 << 20)),
            (413, "body_too_large"),
        ),
    ];
    for ((status, reason), expected) in cases {
        assert_eq!((status, reason.as_str()), expected);
    }
}
