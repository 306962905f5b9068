//! The way of a completion through six VMs, with engines that die, leave, or are full.

use std::thread;

use merlinrudder_ctl::client::CallOutcome;
use serde_json::json;

use crate::util::{Cluster, ZONES, assert_whole, prompt, wait_until};

const SIX: [&str; 6] = ["zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"];
const MAX_TOKENS: u64 = 64;

#[test]
fn six_vms_answer_prompts_of_all_lengths_at_once_byte_for_byte() {
    let mut cluster = Cluster::start(&SIX, 3);
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
    let outcomes = ask_at_once(&cluster, &prompts);
    let mut made = Vec::new();
    for zone in ZONES {
        for number in 1..=3 {
            made.extend(cluster.engine_log(&format!("engine-{zone}-{number}")));
        }
    }
    for (prompt, outcome) in prompts.iter().zip(&outcomes) {
        assert_whole(outcome, prompt, MAX_TOKENS);
        let said = made
            .iter()
            .filter(|line| line.text == outcome.text && line.state == "done");
        assert_eq!(
            said.count(),
            1,
            "exactly one engine says that it made the answer"
        );
    }
}

fn ask_at_once(cluster: &Cluster, prompts: &[String]) -> Vec<CallOutcome> {
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
            .map(|thread| thread.join().expect("a caller"))
            .collect()
    })
}

#[test]
fn a_stream_goes_on_at_the_exact_token_when_its_engine_is_killed() {
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
        cluster.kill_fake(streaming.expect("an engine streams"));
        caller.join().expect("a caller")
    });
    assert_whole(&outcome, &text, 400);
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
            assert_whole(
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
        assert_whole(
            &cluster.complete(number % 3, &text, MAX_TOKENS),
            &text,
            MAX_TOKENS,
        );
    }
    assert_eq!(cluster.engine_log("engine-zone-a-1").len(), before);
}

#[test]
fn what_the_fleet_cannot_take_is_refused_as_not_run() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    let none = cluster.complete(0, &prompt("nobody", 1_000), MAX_TOKENS);
    assert_eq!(
        (none.status, none.reason.as_deref()),
        (503, Some("no_server"))
    );
    assert_eq!(none.run.as_deref(), Some("not_run"));
    cluster.start_engines("zone-a", 1, &["--speed", "20", "--memory", "5000"]);
    cluster.wait_for_servers(1);
    let long = cluster.complete(0, &prompt("too long", 50_000), MAX_TOKENS);
    assert_eq!(
        (long.status, long.reason.as_deref()),
        (413, Some("prompt_too_long"))
    );
    assert_eq!(long.run.as_deref(), Some("not_run"));
    assert!(cluster.engine_log("engine-zone-a-1").is_empty());
}

#[test]
fn bad_requests_get_a_reason_and_say_that_nothing_ran() {
    let cluster = Cluster::start(&ZONES[..1], 1);
    cluster.publish(1);
    let address = cluster.callers(0);
    let post = |path: &str, token: &str, body: &str| {
        let url = format!("http://{address}{path}");
        let sent = attohttpc::post(url)
            .bearer_auth(token)
            .text(body.to_owned())
            .send();
        let response = sent.expect("an answer");
        let status = response.status().as_u16();
        let answer: serde_json::Value =
            serde_json::from_slice(&response.bytes().expect("a body")).expect("JSON");
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
