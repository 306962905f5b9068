//! First starts of control VMs that lose one of them before a cluster was formed.

use std::path::Path;
use std::thread;
use std::time::Duration;

use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, sample_configuration, wait_for};
use nix::sys::signal::Signal;

/// Time after which a lost control VM is there again, or another one in its place.
const DOWNTIME: Duration = Duration::from_millis(500);

fn start() -> Nodes {
    let program = Path::new(env!("CARGO_BIN_EXE_merlinrudder"));
    Nodes::spawn(program, 0).expect("deployment starts")
}

/// Publishes a version through one of these control VMs, and waits until it is read at all of them.
fn publish(nodes: &Nodes, version: u64, control: &[usize]) {
    let configuration = sample_configuration(version);
    wait_for("confirmed configuration", || {
        let mut control = control.iter();
        control.any(|at| nodes.put_configuration(*at, &configuration) == 200)
    });
    for at in control {
        wait_for("the configuration at a control VM", || {
            nodes.read_version(*at) == Some(version)
        });
    }
}

fn others(lost: usize) -> Vec<usize> {
    (0..CONTROL_VMS).filter(|at| *at != lost).collect()
}

/// Guards against control VMs that never form a cluster, as one of them is gone for good.
#[test]
fn control_vms_that_lose_one_at_their_first_start_form_a_cluster_without_it() {
    for lost in 0..CONTROL_VMS {
        let mut nodes = start();
        nodes.kill(lost).expect("process is killed");
        thread::sleep(DOWNTIME);
        nodes.replace_control(lost).expect("control VM replaced");
        publish(&nodes, 5, &others(lost));
        publish(&nodes, 6, &[lost]);
    }
}

/// Guards against control VMs that wait for one which may form no cluster any more, as it is told when it comes back.
#[test]
fn a_control_vm_that_comes_back_before_the_cluster_was_formed_joins_it() {
    for lost in 0..CONTROL_VMS {
        let nodes = start();
        nodes.kill(lost).expect("process is killed");
        thread::sleep(DOWNTIME);
        nodes.start(lost, false).expect("process starts");
        publish(&nodes, 5, &[0, 1, 2]);
    }
}

/// Guards against two clusters: a VM that stood still may take the others for empty when it wakes.
#[test]
fn a_control_vm_that_stood_still_while_the_others_formed_a_cluster_joins_it() {
    for delay in [40, 90, 150, 300].map(Duration::from_millis) {
        let nodes = start();
        thread::sleep(delay);
        nodes.signal(0, Signal::SIGSTOP).expect("a running VM");
        publish(&nodes, 5, &others(0));
        nodes.signal(0, Signal::SIGCONT).expect("a stopped VM");
        publish(&nodes, 6, &[0]);
        publish(&nodes, 7, &[0, 1, 2]);
    }
}
