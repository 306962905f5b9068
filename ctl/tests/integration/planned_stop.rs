//! A planned stop of each VM in turn under load cuts nothing.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use nix::sys::signal::Signal;

use crate::util::{Cluster, ZONES, assert_whole, prompt};

const MAX_TOKENS: u64 = 64;

#[test]
fn a_stop_of_each_vm_in_turn_cuts_no_request() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    for zone in ZONES {
        cluster.start_engines(zone, 2, &["--speed", "5"]);
    }
    cluster.wait_for_servers(6);
    for stopped in 0..3 {
        stop_under_load(&mut cluster, stopped);
        cluster.start_vm(stopped);
        cluster.wait_for_manifest(1);
    }
}

/// Stops a VM while callers use all; the stopped one's callers leave when it says unready.
fn stop_under_load(cluster: &mut Cluster, stopped: usize) {
    let over = AtomicBool::new(false);
    let shared: &Cluster = cluster;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..9)
            .map(|number| {
                let over = &over;
                scope.spawn(move || call_on(shared, stopped, number, over))
            })
            .collect();
        thread::sleep(std::time::Duration::from_millis(500));
        shared.signal_vm(stopped, Signal::SIGTERM);
        thread::sleep(std::time::Duration::from_millis(2500));
        over.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.join().expect("a caller");
        }
    });
    cluster.wait_for_end(stopped);
}

fn call_on(cluster: &Cluster, stopped: usize, number: usize, over: &AtomicBool) {
    let mut round = 0;
    while !over.load(Ordering::SeqCst) {
        round += 1;
        let vm = number % cluster.vms.len();
        // The balancer sends no caller to a VM that is not ready.
        let vm = if vm == stopped && !is_ready(cluster, vm) {
            (vm + 1) % 3
        } else {
            vm
        };
        let text = prompt(&format!("stop {stopped} {number} {round}"), 1_000);
        assert_whole(&cluster.complete(vm, &text, MAX_TOKENS), &text, MAX_TOKENS);
    }
}

fn is_ready(cluster: &Cluster, vm: usize) -> bool {
    let url = format!("http://{}/v1/ready", cluster.callers(vm));
    attohttpc::get(url)
        .send()
        .is_ok_and(|response| response.is_success())
}
