//! A graceful shutdown of each VM in turn under load interrupts no request.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use nix::sys::signal::Signal;

use crate::util::{Cluster, ZONES, assert_exact_completion, prompt};

const MAX_TOKENS: u64 = 64;

#[test]
fn a_graceful_shutdown_of_each_vm_in_turn_interrupts_no_request() {
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

/// Stops a VM with SIGTERM while callers send requests to all VMs.
///
/// Callers of the stopped VM move to the next one once it reports that it is not ready.
fn stop_under_load(cluster: &mut Cluster, stopped: usize) {
    let done = AtomicBool::new(false);
    let shared: &Cluster = cluster;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..9)
            .map(|number| {
                let done = &done;
                scope.spawn(move || send_requests(shared, stopped, number, done))
            })
            .collect();
        thread::sleep(std::time::Duration::from_millis(500));
        shared.signal_vm(stopped, Signal::SIGTERM);
        thread::sleep(std::time::Duration::from_millis(2500));
        done.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.join().expect("the caller thread does not panic");
        }
    });
    cluster.wait_for_clean_exit(stopped);
}

/// Sends one completion request after another until `done` is set.
fn send_requests(cluster: &Cluster, stopped: usize, number: usize, done: &AtomicBool) {
    let mut round = 0;
    while !done.load(Ordering::SeqCst) {
        round += 1;
        let vm = number % cluster.vms.len();
        // Like a load balancer, skip the stopped VM once it is not ready.
        let vm = if vm == stopped && !is_ready(cluster, vm) {
            (vm + 1) % 3
        } else {
            vm
        };
        let text = prompt(&format!("stop {stopped} {number} {round}"), 1_000);
        assert_exact_completion(&cluster.complete(vm, &text, MAX_TOKENS), &text, MAX_TOKENS);
    }
}

fn is_ready(cluster: &Cluster, vm: usize) -> bool {
    let url = format!("http://{}/v1/ready", cluster.callers_address(vm));
    attohttpc::get(url)
        .send()
        .is_ok_and(|response| response.is_success())
}
