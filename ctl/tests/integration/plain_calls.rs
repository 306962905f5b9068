//! At-most-once execution of plain calls with an idempotency key.

use serde_json::json;

use crate::util::{Cluster, ZONES, wait_until};

const PATH: &str = "/filing/reports";

/// Starts three VMs with an application per zone.
fn start_deployment() -> Cluster {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    for zone in ZONES {
        cluster.start_fake("app", &format!("app-{zone}"), "filing", zone, &[]);
    }
    cluster.wait_for_servers(3);
    cluster
}

/// Counts the executions of a call in the logs of all applications.
fn count_executions(cluster: &Cluster, key: &str) -> usize {
    let logs = ZONES.map(|zone| cluster.app_log(&format!("app-{zone}")));
    logs.iter()
        .flatten()
        .filter(|line| line.key.as_deref() == Some(key))
        .count()
}

#[test]
fn a_resend_through_any_vm_gets_the_recorded_answer() {
    let cluster = start_deployment();
    let first = cluster.call(0, "POST", PATH, Some("report-1"));
    assert_eq!(first.status, 200);
    for vm in 0..3 {
        let again = cluster.call(vm, "POST", PATH, Some("report-1"));
        assert_eq!((again.status, &again.text), (200, &first.text));
    }
    assert_eq!(count_executions(&cluster, "report-1"), 1);
}

#[test]
fn an_idempotency_key_with_different_content_is_refused() {
    let cluster = start_deployment();
    assert_eq!(cluster.call(0, "POST", PATH, Some("report-2")).status, 200);
    let other = cluster.call(1, "POST", "/filing/reports/other", Some("report-2"));
    assert_eq!(
        (other.status, other.reason.as_deref()),
        (422, Some("key_reused"))
    );
    assert_eq!(count_executions(&cluster, "report-2"), 1);
}

#[test]
fn a_call_with_a_lost_answer_is_reported_as_may_have_run_and_never_runs_again() {
    let cluster = start_deployment();
    for zone in ZONES {
        cluster.set_faults(&format!("app-{zone}"), &json!({ "lose_answer": true }));
    }
    let lost = cluster.call(0, "POST", PATH, Some("report-3"));
    assert_eq!(lost.run.as_deref(), Some("may_have_run"), "{lost:?}");
    for zone in ZONES {
        cluster.set_faults(&format!("app-{zone}"), &json!({}));
    }
    for vm in 0..3 {
        let again = cluster.call(vm, "POST", PATH, Some("report-3"));
        assert_eq!(
            (again.status, again.reason.as_deref()),
            (409, Some("claimed_elsewhere"))
        );
        assert_eq!(again.run.as_deref(), Some("may_have_run"));
    }
    assert_eq!(count_executions(&cluster, "report-3"), 1);
}

#[test]
fn without_a_quorum_at_most_once_calls_are_refused_as_not_run_and_others_served() {
    let mut cluster = start_deployment();
    cluster.start_engines("zone-a", 1, &["--speed", "20"]);
    cluster.wait_for_servers(4);
    cluster.kill_vm(1);
    cluster.kill_vm(2);
    wait_until("the VM reports that it is cut off", || {
        cluster
            .status(0)
            .is_some_and(|status| status.cut_off_since_ms.is_some())
    });
    let refused = cluster.call(0, "POST", PATH, Some("report-4"));
    assert_eq!(
        (refused.status, refused.reason.as_deref()),
        (503, Some("no_quorum"))
    );
    assert_eq!(refused.run.as_deref(), Some("not_run"));
    assert_eq!(count_executions(&cluster, "report-4"), 0);
    assert_eq!(
        cluster.call(0, "GET", "/filing/balances/7", None).status,
        200
    );
    let outcome = cluster.complete(0, "a question", 16);
    assert!(outcome.whole, "{outcome:?}");
    cluster.start_vm(1);
    wait_until("at-most-once calls are served again", || {
        cluster.call(0, "POST", PATH, Some("report-5")).status == 200
    });
}

#[test]
fn a_call_refused_before_it_ran_is_retried_on_another_server() {
    let cluster = start_deployment();
    cluster.set_faults("app-zone-a", &json!({ "refuse": true }));
    for number in 0..3 {
        let key = format!("report-6-{number}");
        // The only application in zone a refuses, so one in another zone runs the call.
        let outcome = cluster.call(0, "POST", PATH, Some(&key));
        assert_eq!(outcome.status, 200, "{outcome:?}");
        assert_eq!(count_executions(&cluster, &key), 1);
    }
}

/// Guards against retrying a refused call until its deadline.
///
/// The call was sent twenty times, and the last attempt, which had no time left, was reported as
/// `may_have_run`.
#[test]
fn a_call_that_every_server_refuses_fails_as_not_run_after_a_few_attempts() {
    let cluster = start_deployment();
    for zone in ZONES {
        cluster.set_faults(&format!("app-{zone}"), &json!({ "refuse": true }));
    }
    let outcome = cluster.call(0, "POST", PATH, Some("report-7"));
    assert_eq!(
        (outcome.status, outcome.reason.as_deref()),
        (503, Some("server_refused"))
    );
    assert_eq!(outcome.run.as_deref(), Some("not_run"));
    assert_eq!(
        cluster.counter(0, "merlinrudder_retries_total", "server_refused"),
        5
    );
    for zone in ZONES {
        cluster.set_faults(&format!("app-{zone}"), &json!({}));
    }
    let again = cluster.call(1, "POST", PATH, Some("report-7"));
    assert_eq!(
        again.status, 200,
        "the claim of the refused call was not released: {again:?}"
    );
    assert_eq!(count_executions(&cluster, "report-7"), 1);
}
