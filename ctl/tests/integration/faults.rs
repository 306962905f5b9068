//! Crashed and frozen engines, and VMs that are killed while requests run.

use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::util::{Cluster, ZONES, assert_exact_completion, prompt, wait_until};

const MAX_TOKENS: u64 = 64;
/// Zones of six VMs, two in each.
const SIX_VM_ZONES: [&str; 6] = ["zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"];

#[test]
fn a_poison_request_crashes_two_engines_and_other_requests_complete() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    cluster.start_engines("zone-a", 6, &["--speed", "4"]);
    cluster.wait_for_servers(6);
    let ids: Vec<_> = (1..=6)
        .map(|number| format!("engine-zone-a-{number}"))
        .collect();
    for id in &ids {
        cluster.set_faults(id, &json!({ "crash_on": "POISON" }));
    }
    let poison = prompt("POISON", 1_000);
    let shared = &cluster;
    thread::scope(|scope| {
        let other_callers: Vec<_> = (0..12)
            .map(|number| {
                scope.spawn(move || {
                    let text = prompt(&format!("innocent {number}"), 1_000);
                    assert_exact_completion(&shared.complete(number % 3, &text, 200), &text, 200);
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(200));
        let outcome = shared.complete(0, &poison, MAX_TOKENS);
        assert_eq!(
            outcome.reason.as_deref(),
            Some("quarantined"),
            "{outcome:?}"
        );
        assert_eq!(outcome.run.as_deref(), Some("may_have_run"));
        for caller in other_callers {
            caller.join().expect("the caller thread does not panic");
        }
    });
    let crashed = ids.iter().filter(|id| cluster.has_ended(id)).count();
    assert_eq!(crashed, 2, "the request is quarantined after two crashes");
    wait_until("all VMs know the quarantined request", || {
        (0..3).all(|vm| {
            cluster
                .status(vm)
                .is_some_and(|status| status.verdicts == 1)
        })
    });
    for vm in 0..3 {
        cluster.kill_vm(vm);
    }
    for vm in 0..3 {
        cluster.start_vm(vm);
    }
    cluster.wait_for_manifest(1);
    for vm in 0..3 {
        wait_until("the quarantine is restored", || {
            cluster
                .status(vm)
                .is_some_and(|status| status.verdicts == 1)
        });
        let again = cluster.complete(vm, &poison, MAX_TOKENS);
        assert_eq!(
            (again.status, again.reason.as_deref()),
            (422, Some("quarantined"))
        );
        assert_eq!(again.run.as_deref(), Some("not_run"));
    }
    assert_eq!(ids.iter().filter(|id| cluster.has_ended(id)).count(), 2);
}

#[test]
fn a_stream_of_a_frozen_engine_resumes_on_another_engine() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    cluster.start_engines("zone-a", 2, &[]);
    cluster.wait_for_servers(2);
    let text = prompt("frozen", 1_000);
    let shared = &cluster;
    let outcome = thread::scope(|scope| {
        let caller = scope.spawn(|| shared.complete(0, &text, 400));
        let mut streaming = None;
        wait_until("an engine streams", || {
            streaming = ["engine-zone-a-1", "engine-zone-a-2"]
                .into_iter()
                .find(|id| shared.engine_log(id).iter().any(|line| line.to > 5));
            streaming.is_some()
        });
        let id = streaming.expect("a streaming engine was found");
        shared.signal_fake(id, Signal::SIGSTOP);
        let outcome = caller.join().expect("the caller thread does not panic");
        shared.signal_fake(id, Signal::SIGCONT);
        outcome
    });
    assert_exact_completion(&outcome, &text, 400);
}

/// Waits for a dispatcher in `zone` with running requests; returns its VM's index.
fn wait_for_dispatcher(cluster: &Cluster, zone: &str) -> usize {
    let mut found = None;
    wait_until("a dispatcher has placed requests", || {
        found = (0..cluster.vms.len()).find(|vm| {
            cluster.vms[*vm].zone == zone
                && cluster.status(*vm).is_some_and(|status| status.running > 0)
        });
        found.is_some()
    });
    found.expect("a dispatcher was found")
}

#[test]
fn a_killed_dispatcher_loses_no_request_of_other_vms() {
    let mut cluster = Cluster::start(&SIX_VM_ZONES, 3);
    cluster.publish(1);
    cluster.start_engines("zone-a", 2, &["--speed", "2", "--slots", "4"]);
    cluster.wait_for_servers(2);
    // More requests than slots, so that some run and some are queued when the dispatcher dies.
    let killed = thread::scope(|scope| {
        let shared = &cluster;
        let callers: Vec<_> = (0..24)
            .map(|number| {
                scope.spawn(move || {
                    let text = prompt(&format!("dispatcher {number}"), 1_000);
                    // VMs 0 and 3 are in zone a, which has all engines. Callers use the other
                    // zones' VMs, whose requests spill over to zone a.
                    let vm = [1, 2, 4, 5][number % 4];
                    assert_exact_completion(&shared.complete(vm, &text, 150), &text, 150);
                })
            })
            .collect();
        let killed = wait_for_dispatcher(shared, "zone-a");
        shared.signal_vm(killed, Signal::SIGKILL);
        for caller in callers {
            caller.join().expect("the caller thread does not panic");
        }
        killed
    });
    cluster.kill_vm(killed);
}

#[test]
fn the_engine_cancels_requests_of_a_killed_entry_vm() {
    let mut cluster = Cluster::start(&SIX_VM_ZONES, 3);
    cluster.publish(1);
    cluster.start_engines("zone-a", 1, &["--speed", "1"]);
    cluster.wait_for_servers(1);
    let shared = &cluster;
    thread::scope(|scope| {
        scope.spawn(|| shared.complete(3, &prompt("abandoned", 1_000), 4000));
        wait_until("the engine generates tokens", || {
            shared
                .engine_log("engine-zone-a-1")
                .iter()
                .any(|line| line.to > 3)
        });
        shared.signal_vm(3, Signal::SIGKILL);
    });
    cluster.kill_vm(3);
    wait_until("the engine has cancelled all requests", || {
        let log = cluster.engine_log("engine-zone-a-1");
        log.iter().all(|line| line.state == "cancelled")
    });
}

/// Kills a VM during an at-most-once call and resends the call through another VM.
///
/// Checks that it ran at most once, and that it ran if the resend is answered with 200.
fn resend_after_kill(
    cluster: &mut Cluster,
    entry: usize,
    killed: usize,
    delay: Duration,
    key: &str,
) {
    let shared: &Cluster = cluster;
    thread::scope(|scope| {
        scope.spawn(|| shared.call(entry, "POST", "/filing/reports", Some(key)));
        thread::sleep(delay);
        shared.signal_vm(killed, Signal::SIGKILL);
    });
    cluster.kill_vm(killed);
    let other = (killed + 1) % 3;
    let mut last = None;
    wait_until("the resend gets a final answer", || {
        let outcome = post_report(cluster, other, key);
        let is_final = matches!(outcome.status, 200 | 409);
        last = Some(outcome);
        is_final
    });
    cluster.start_vm(killed);
    cluster.wait_for_manifest(1);
    let executions: usize = ZONES
        .iter()
        .map(|zone| cluster.app_log(&format!("app-{zone}")))
        .map(|log| {
            log.iter()
                .filter(|line| line.key.as_deref() == Some(key))
                .count()
        })
        .sum();
    assert!(executions <= 1, "{key} ran {executions} times");
    if last.is_some_and(|outcome| outcome.status == 200) {
        assert_eq!(executions, 1, "{key} was answered but did not run");
    }
}

/// Sends an at-most-once call through a VM.
fn post_report(cluster: &Cluster, vm: usize, key: &str) -> merlinrudder_ctl::client::CallOutcome {
    cluster.call(vm, "POST", "/filing/reports", Some(key))
}

#[test]
fn an_at_most_once_call_never_runs_twice_when_its_entry_vm_or_the_leader_is_killed() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    for zone in ZONES {
        let id = format!("app-{zone}");
        cluster.start_fake("app", &id, "filing", zone, &["--call-ms", "60"]);
    }
    cluster.wait_for_servers(3);
    for (round, millis) in [0, 4, 12, 30, 60, 90].into_iter().enumerate() {
        let delay = Duration::from_millis(millis);
        resend_after_kill(&mut cluster, 0, 0, delay, &format!("entry-{round}"));
        let leader = cluster.leader();
        let entry = (leader + 1) % 3;
        resend_after_kill(
            &mut cluster,
            entry,
            leader,
            delay,
            &format!("leader-{round}"),
        );
    }
}

#[test]
fn prompts_on_several_engines_release_all_memory_however_they_end() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    cluster.start_engines("zone-a", 4, &["--speed", "60", "--memory", "40000"]);
    cluster.wait_for_servers(4);
    let ids: Vec<_> = (1..=4)
        .map(|number| format!("engine-zone-a-{number}"))
        .collect();
    let shared = &cluster;
    thread::scope(|scope| {
        for worker in 0..6 {
            scope.spawn(move || {
                for round in 0..8 {
                    let tokens = [90_000, 60_000, 30_000][(worker + round) % 3];
                    let text = prompt(&format!("group {worker} {round}"), tokens);
                    if (worker + round) % 4 == 0 {
                        disconnect_early(shared, worker % 3, &text);
                    } else {
                        assert_exact_completion(&shared.complete(worker % 3, &text, 40), &text, 40);
                    }
                }
            });
        }
        scope.spawn(|| {
            let faults = [
                json!({ "ignore_cancel": true }),
                json!({ "drop_at_byte": 900 }),
            ];
            for fault in faults {
                shared.set_faults(&ids[1], &fault);
                thread::sleep(Duration::from_millis(1500));
                shared.set_faults(&ids[1], &json!({}));
            }
        });
    });
    wait_until("all reserved memory is released", || {
        ids.iter().all(|id| count_holdings(&cluster, id) == 0)
            && (0..3).all(|vm| {
                cluster.status(vm).is_some_and(|status| {
                    status
                        .servers
                        .iter()
                        .all(|server| server.promised_tokens == 0)
                })
            })
    });
}

/// Requests a stream and disconnects after its first bytes, or before any.
fn disconnect_early(cluster: &Cluster, vm: usize, text: &str) {
    let body = json!({ "model": "drafts", "prompt": text, "max_tokens": 4000, "stream": true });
    let sent = attohttpc::post(format!(
        "http://{}/v1/completions",
        cluster.callers_address(vm)
    ))
    .bearer_auth("token-of-norrbok")
    .read_timeout(Duration::from_millis(700))
    .text(body.to_string())
    .send();
    drop(sent);
}

/// Returns the number of attempts for which an engine holds memory.
fn count_holdings(cluster: &Cluster, id: &str) -> usize {
    let url = format!("http://{}/holdings", cluster.fake(id).address);
    let body = attohttpc::get(url)
        .send()
        .and_then(attohttpc::Response::bytes);
    let held: Vec<serde_json::Value> =
        serde_json::from_slice(&body.expect("the holdings are sent")).expect("a list of holdings");
    held.len()
}
