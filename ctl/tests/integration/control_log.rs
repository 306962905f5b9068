//! The control log when VMs are killed, frozen or restarted, or lose their disks.

use std::fs;

use merlinrudder_ctl::client;
use merlinrudder_ctl::deployment::{ADMIN_TOKEN, manifest};
use nix::sys::signal::Signal;

use crate::util::{CUSTOMER, Cluster, ZONES, wait_until};

/// Publishes a manifest at a VM until the answer is not 503 (`no_quorum`).
fn publish_at(cluster: &Cluster, vm: usize, document: &[u8]) -> (u16, serde_json::Value) {
    let mut answer = None;
    wait_until("a publish is answered", || {
        answer = client::publish(&cluster.admin_address(vm), ADMIN_TOKEN, document).ok();
        answer.as_ref().is_some_and(|(status, _)| *status != 503)
    });
    answer.expect("the publish was answered")
}

#[test]
fn a_killed_leader_is_replaced_and_nothing_accepted_is_lost() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    let mut number = 1;
    for _ in 0..3 {
        let leader = cluster.leader();
        cluster.kill_vm(leader);
        number += 1;
        let other = (leader + 1) % 3;
        let (status, answer) = publish_at(&cluster, other, &Cluster::document(number));
        assert_eq!(status, 200, "{answer}");
        cluster.start_vm(leader);
        cluster.wait_for_manifest(number);
    }
}

#[test]
fn one_manifest_per_number_is_accepted_and_older_numbers_are_refused() {
    let cluster = Cluster::start(&ZONES, 3);
    cluster.publish(5);
    let (status, answer) = publish_at(&cluster, 1, &Cluster::document(5));
    assert_eq!((status, &answer["result"]), (200, &"accepted".into()));
    let conflicting = manifest(5, &ZONES, &[CUSTOMER, "other"]).to_string();
    let (status, answer) = publish_at(&cluster, 2, conflicting.as_bytes());
    assert_eq!((status, &answer["result"]), (409, &"conflict".into()));
    let (status, answer) = publish_at(&cluster, 0, &Cluster::document(4));
    assert_eq!((status, &answer["result"]), (409, &"older".into()));
    assert_eq!(answer["number"], 5);
    let (status, answer) = publish_at(&cluster, 0, br#"{"number":6}"#);
    assert_eq!((status, &answer["result"]), (400, &"invalid".into()));
}

#[test]
fn an_accepted_manifest_survives_killing_all_vms() {
    let mut cluster = Cluster::start(&["zone-a", "zone-b", "zone-c", "zone-a"], 3);
    cluster.publish(7);
    for vm in 0..4 {
        cluster.kill_vm(vm);
    }
    for vm in 0..4 {
        cluster.start_vm(vm);
    }
    cluster.wait_for_manifest(7);
}

#[test]
fn a_frozen_leader_is_replaced_and_does_not_restore_an_older_manifest() {
    let cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    let frozen = cluster.leader();
    cluster.signal_vm(frozen, Signal::SIGSTOP);
    let other = (frozen + 1) % 3;
    let (status, answer) = publish_at(&cluster, other, &Cluster::document(2));
    assert_eq!(status, 200, "{answer}");
    cluster.signal_vm(frozen, Signal::SIGCONT);
    cluster.wait_for_manifest(2);
    let (status, answer) = publish_at(&cluster, frozen, &Cluster::document(1));
    assert_eq!((status, &answer["result"]), (409, &"older".into()));
}

#[test]
fn two_disks_lost_in_turn_are_replaced_without_losing_the_manifest() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    let number = 2;
    let (status, _) = publish_at(&cluster, 0, &Cluster::document(number));
    assert_eq!(status, 200);
    for lost in [2, 1] {
        cluster.kill_vm(lost);
        fs::remove_dir_all(&cluster.vms[lost].data_folder).expect("the data directory is removed");
        cluster.start_vm(lost);
        wait_until("all VMs report three voters", || {
            (0..3).all(|vm| {
                cluster
                    .status(vm)
                    .is_some_and(|status| status.voters.len() == 3)
            })
        });
        cluster.wait_for_manifest(number);
        wait_until(
            "the VM with the new disk is ready and knows the leader",
            || {
                cluster
                    .status(lost)
                    .is_some_and(|status| status.ready && status.leader.is_some())
            },
        );
    }
    let (status, answer) = publish_at(&cluster, 0, &Cluster::document(3));
    assert_eq!(status, 200, "{answer}");
    cluster.wait_for_manifest(3);
}

/// Guards against peers that keep writing to the connection of the old process.
///
/// This happened on a busy machine.
#[test]
fn a_vm_that_restarts_immediately_reconnects_with_all_peers() {
    let mut cluster = Cluster::start(&ZONES, 3);
    cluster.publish(1);
    for vm in 0..3 {
        cluster.kill_vm(vm);
        cluster.start_vm(vm);
        wait_until("all VMs are ready and see each other alive", || {
            (0..3).all(|observer| {
                cluster.status(observer).is_some_and(|status| {
                    status.ready && status.members.iter().all(|member| member.health == "alive")
                })
            })
        });
    }
}
