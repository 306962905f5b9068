//! Operators evacuate availability zones of a deployment of control and entry processes.

use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::http_client::{HttpResponse, send_customer_request, send_request};
use merlinrudder_fakes::nodes::{CONTROL_VMS, Heartbeat, Nodes, wait_for};
use nix::sys::signal::Signal;

use crate::deployment::{ENTRY_VMS, start_with};

/// Backend servers; that of number `n` is in the zone `n % 3`, like the node of this number.
const SERVERS: usize = 6;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two events of a slow stream, which takes 3 s.
const SLOW_INTERVAL: Duration = Duration::from_millis(250);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Pause of a caller between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which an operator expects an order to be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from the acknowledgement until no VM sends requests to the zone; the platform allows 5 s.
const EVACUATION_TIME: Duration = Duration::from_secs(2);
/// Time for which a zone is watched.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Methods and paths that callers request.
const PATHS: [&str; 3] = ["POST /stream/x", "GET /read/x", "POST /file/x"];

/// Sends a heartbeat of each server, with its zone, to the first control VM that accepts it.
fn send_heartbeats(nodes: &Nodes, servers: &[FakeBackend], sequence: u64) -> bool {
    let is_sent = |(number, server): (usize, &FakeBackend)| {
        let heartbeat = Heartbeat {
            id: &server.id,
            address: server.address,
            sequence,
            born: 5,
            draining: false,
        };
        let zone = format!("z{}", number % 3);
        (0..CONTROL_VMS).any(|at| nodes.send_heartbeat_from(&zone, at, &heartbeat))
    };
    servers.iter().enumerate().all(is_sent)
}

/// Runs `test` with a deployment that has servers and an entry VM in each of three zones.
fn with_zones(event_interval: Duration, test: impl FnOnce(&Nodes, &[FakeBackend])) {
    let bind = |number| FakeBackend::bind(&format!("i-{number}"), event_interval);
    let servers: Vec<_> = (0..SERVERS)
        .map(bind)
        .collect::<Result<_, _>>()
        .expect("fake backend servers listen");
    let nodes = start_with(ENTRY_VMS, |nodes| {
        wait_for("accepted heartbeats", || {
            send_heartbeats(nodes, &servers, 1)
        });
    });
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut sequence = 1;
            while !stopped.load(Ordering::Relaxed) {
                sequence += 1;
                // A heartbeat that no control VM accepts is sent again in the next round.
                let _accepted = send_heartbeats(&nodes, &servers, sequence);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        // The heartbeats end also when the test panics.
        let outcome = catch_unwind(AssertUnwindSafe(|| test(&nodes, &servers)));
        stopped.store(true, Ordering::Relaxed);
        if let Err(panic) = outcome {
            resume_unwind(panic);
        }
    });
}

/// Runs `test` while callers send requests to all entry VMs; returns the answers.
fn under_load(nodes: &Nodes, test: impl FnOnce()) -> Vec<HttpResponse> {
    let stopped = AtomicBool::new(false);
    let sent = AtomicU64::new(0);
    thread::scope(|scope| {
        let (stopped, sent) = (&stopped, &sent);
        let call = move |entry: usize, path: &'static str| {
            let mut responses = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                let attempt = format!("load-{}", sent.fetch_add(1, Ordering::Relaxed));
                responses.push(send_customer_request(
                    nodes.callers_address(entry),
                    path,
                    &attempt,
                ));
                thread::sleep(CALL_INTERVAL);
            }
            responses
        };
        let callers: Vec<_> = (CONTROL_VMS..nodes.len())
            .flat_map(|entry| PATHS.map(|path| (entry, path)))
            .map(|(entry, path)| scope.spawn(move || call(entry, path)))
            .collect();
        let outcome = catch_unwind(AssertUnwindSafe(test));
        stopped.store(true, Ordering::Relaxed);
        if let Err(panic) = outcome {
            resume_unwind(panic);
        }
        let responses = callers.into_iter().map(thread::ScopedJoinHandle::join);
        let responses = responses.map(|responses| responses.expect("caller thread finishes"));
        responses.flatten().collect()
    })
}

/// Gives an order to one control VM after the other until it is acknowledged, as operators do.
pub fn order(nodes: &Nodes, zone: &str, active: bool) {
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < ACK_TIMEOUT {
        for control in 0..CONTROL_VMS {
            let status = nodes.order_evacuation(control, zone, active);
            if status == 200 {
                return;
            }
            statuses.push(status);
        }
    }
    panic!("order not acknowledged: {statuses:?}");
}

/// Returns how many requests the servers of a zone began to run since `from`.
fn runs_since(servers: &[FakeBackend], zone: usize, from: Instant) -> usize {
    let in_zone = servers.iter().skip(zone).step_by(3);
    let runs = in_zone.flat_map(FakeBackend::executions);
    runs.filter(|ran| ran.started >= from).count()
}

pub fn list(nodes: &Nodes, control: usize) -> String {
    let address = nodes.control_address(control);
    send_request(address, "GET /admin/evacuations", "", "").body
}

/// Returns the control VM that leads.
pub fn leader(nodes: &Nodes) -> usize {
    let mut leader = None;
    wait_for("leader", || {
        leader = (0..CONTROL_VMS).find(|at| nodes.leads(*at));
        leader.is_some()
    });
    leader.expect("a leader")
}

#[test]
fn no_request_reaches_an_evacuated_zone_while_callers_keep_coming() {
    with_zones(EVENT_INTERVAL, |nodes, servers| {
        let start = Instant::now();
        let responses = under_load(nodes, || {
            wait_for("requests in the zone", || {
                runs_since(servers, 1, start) > 10
            });
            order(nodes, "z1", true);
            thread::sleep(EVACUATION_TIME);
            let evacuated = Instant::now();
            thread::sleep(WATCH_TIME);
            assert_eq!(runs_since(servers, 1, evacuated), 0);
            assert!(runs_since(servers, 0, evacuated) > 10);
            assert!(runs_since(servers, 2, evacuated) > 10);

            // Orders that change nothing are acknowledged too.
            order(nodes, "z1", true);
            order(nodes, "z2", false);
            assert_eq!(nodes.order_evacuation(2, "z7", true), 404, "no such zone");
            wait_for("one change at control VM", || {
                list(nodes, 0) == r#"{"revision":1,"zones":["z1"]}"#
            });

            order(nodes, "z1", false);
            let reopened = Instant::now();
            wait_for("requests in the reopened zone", || {
                runs_since(servers, 1, reopened) > 10
            });
        });
        let served = responses.iter().filter(|response| response.status == 200);
        let (served, all) = (served.count(), responses.len());
        assert!(served * 20 >= all * 19, "{served} of {all}");
        let without = responses
            .iter()
            .filter(|response| response.body == "no_server");
        assert_eq!(without.count(), 0);
    });
}

#[test]
fn requests_are_refused_while_all_zones_are_evacuated_and_the_vms_stay_ready() {
    with_zones(EVENT_INTERVAL, |nodes, servers| {
        for zone in ["z0", "z1", "z2"] {
            order(nodes, zone, true);
        }
        thread::sleep(EVACUATION_TIME);
        let evacuated = Instant::now();
        for entry in CONTROL_VMS..nodes.len() {
            for (number, path) in PATHS.into_iter().enumerate() {
                let attempt = format!("none-{entry}-{number}");
                let callers = nodes.callers_address(entry);
                let response = send_customer_request(callers, path, &attempt);
                assert_eq!(response.status, 503, "{response:?}");
                assert_eq!(response.body, "no_server", "{response:?}");
                assert!(response.head.contains("retry-after: "), "{response:?}");
            }
            assert!(nodes.is_ready(entry));
        }
        let runs = (0..3).map(|zone| runs_since(servers, zone, evacuated));
        assert_eq!(runs.sum::<usize>(), 0);
    });
}

#[test]
fn a_stream_that_runs_in_an_evacuated_zone_ends_there() {
    with_zones(SLOW_INTERVAL, |nodes, servers| {
        let start = Instant::now();
        let callers = nodes.callers_address(4);
        let stream = thread::spawn(move || send_customer_request(callers, "POST /stream/x", "s1"));
        wait_for("running stream", || runs_since(servers, 1, start) == 1);
        order(nodes, "z1", true);
        let response = stream.join().expect("caller thread finishes");
        assert!(response.is_whole_stream(), "{response:?}");
        let runs = (0..3).map(|zone| runs_since(servers, zone, start));
        assert_eq!(runs.sum::<usize>(), 1, "the stream has not moved");
    });
}

/// Guards against an order that is lost with the leader that had it.
#[test]
fn an_order_is_acknowledged_after_its_leader_was_killed() {
    with_zones(EVENT_INTERVAL, |nodes, servers| {
        let leader = leader(nodes);
        let follower = (leader + 1) % CONTROL_VMS;
        // A stopped leader takes the order and does not answer it.
        nodes.signal(leader, Signal::SIGSTOP).expect("leader runs");
        thread::scope(|scope| {
            let first = scope.spawn(|| nodes.order_evacuation(follower, "z1", true));
            thread::sleep(HEARTBEAT_INTERVAL);
            nodes.kill(leader).expect("leader is killed");
            order(nodes, "z1", true);
            let first = first.join().expect("operator's thread finishes");
            assert!([200, 503].contains(&first), "{first}");
        });
        under_load(nodes, || {
            thread::sleep(EVACUATION_TIME);
            let evacuated = Instant::now();
            thread::sleep(WATCH_TIME);
            assert_eq!(runs_since(servers, 1, evacuated), 0);
            assert!(runs_since(servers, 0, evacuated) > 10);
        });
        nodes.start(leader, false).expect("control VM starts");
        wait_for("order at the restarted VM", || {
            list(nodes, leader).contains("[\"z1\"]")
        });
    });
}

/// Guards against a VM that reports ready before it knows the evacuations, after it alone or all
/// VMs were down.
#[test]
fn restarted_vms_keep_to_an_order_from_their_first_request_on() {
    with_zones(EVENT_INTERVAL, |nodes, servers| {
        order(nodes, "z1", true);
        for all in [false, true] {
            let down = if all { 0..nodes.len() } else { 4..5 };
            for at in down.clone() {
                nodes.kill(at).expect("process is killed");
            }
            let restarted = Instant::now();
            for at in down {
                nodes.start(at, false).expect("process starts");
            }
            // The zone's entry VM would prefer the servers of its zone.
            wait_for("ready VM", || nodes.is_ready(4));
            let first = [(); 20].map(|()| {
                let attempt = format!("first-{:x}", fastrand::u64(..));
                send_customer_request(nodes.callers_address(4), "GET /read/x", &attempt).status
            });
            assert_eq!(first, [200; 20]);
            assert_eq!(runs_since(servers, 1, restarted), 0, "all restarted: {all}");
            for control in 0..CONTROL_VMS {
                wait_for("order at control VM", || {
                    list(nodes, control) == r#"{"revision":1,"zones":["z1"]}"#
                });
            }
        }
        order(nodes, "z1", false);
        let reopened = Instant::now();
        wait_for("request in the reopened zone", || {
            let attempt = format!("reopened-{:x}", fastrand::u64(..));
            let callers = nodes.callers_address(4);
            let _response = send_customer_request(callers, "GET /read/x", &attempt);
            runs_since(servers, 1, reopened) > 0
        });
    });
}
