//! Zones that are cut off from each other: the mesh runs over relays that drop what they are told.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use merlinrudder_ctl::client;
use merlinrudder_ctl::deployment::{ADMIN_TOKEN, LocalVm};

use crate::util::{Cluster, ZONES, assert_whole, prompt, wait_until};

const MAX_TOKENS: u64 = 32;
/// Largest UDP datagram.
const DATAGRAM: usize = 65_536;
const LOOK: Duration = Duration::from_millis(50);

/// Relays between each VM and each other one.
struct Relays {
    cut: BTreeMap<(usize, usize), Arc<AtomicBool>>,
    over: Arc<AtomicBool>,
}

impl Relays {
    /// Puts a relay into the settings of each VM in place of each peer's address.
    fn install(vms: &[LocalVm]) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let mut cut = BTreeMap::new();
        for (from, vm) in vms.iter().enumerate() {
            let mut text = fs::read_to_string(&vm.settings_path).expect("settings");
            for (to, peer) in vms.iter().enumerate().filter(|(to, _)| *to != from) {
                let flag = Arc::new(AtomicBool::new(false));
                let relay = relay(peer.mesh, Arc::clone(&flag), Arc::clone(&over));
                let line = format!("{} = {}", peer.id, peer.mesh);
                assert!(text.contains(&line));
                text = text.replace(&line, &format!("{} = {relay}", peer.id));
                cut.insert((from, to), flag);
            }
            fs::write(&vm.settings_path, text).expect("settings");
        }
        Self { cut, over }
    }

    /// Cuts a VM off from all others, or joins it again.
    fn isolate(&self, vm: usize, cut: bool) {
        for ((from, to), flag) in &self.cut {
            if *from == vm || *to == vm {
                flag.store(cut, Ordering::SeqCst);
            }
        }
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
    }
}

/// Passes datagrams between whoever sends and `target`, one socket a sender's address.
fn relay(target: SocketAddr, cut: Arc<AtomicBool>, over: Arc<AtomicBool>) -> SocketAddr {
    let front = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let back = UdpSocket::bind("127.0.0.1:0").expect("a port");
    back.connect(target).expect("a target");
    let address = front.local_addr().expect("an address");
    let sender = Arc::new(std::sync::Mutex::new(None::<SocketAddr>));
    for socket in [&front, &back] {
        socket.set_read_timeout(Some(LOOK)).expect("an option");
    }
    let (front_copy, back_copy) = (
        front.try_clone().expect("a copy"),
        back.try_clone().expect("a copy"),
    );
    let (cut_copy, over_copy) = (Arc::clone(&cut), Arc::clone(&over));
    let known = Arc::clone(&sender);
    thread::spawn(move || {
        let mut bytes = vec![0; DATAGRAM];
        while !over.load(Ordering::SeqCst) {
            let Ok((length, from)) = front.recv_from(&mut bytes) else {
                continue;
            };
            *known.lock().expect("no panic") = Some(from);
            if !cut.load(Ordering::SeqCst) {
                // A target that is gone is like a lost datagram.
                drop(back_copy.send(&bytes[..length]));
            }
        }
    });
    thread::spawn(move || {
        let mut bytes = vec![0; DATAGRAM];
        while !over_copy.load(Ordering::SeqCst) {
            let Ok(length) = back.recv(&mut bytes) else {
                continue;
            };
            let to = *sender.lock().expect("no panic");
            if let Some(to) = to.filter(|_| !cut_copy.load(Ordering::SeqCst)) {
                drop(front_copy.send_to(&bytes[..length], to));
            }
        }
    });
    address
}

fn start() -> (Cluster, Relays) {
    let mut relays = None;
    let mut cluster = Cluster::start_changed(&ZONES, 3, |vms| relays = Some(Relays::install(vms)));
    cluster.publish(1);
    for zone in ZONES {
        cluster.start_engines(zone, 1, &["--speed", "20"]);
        cluster.start_fake("app", &format!("app-{zone}"), "filing", zone, &[]);
    }
    cluster.wait_for_servers(6);
    (cluster, relays.expect("they were installed"))
}

fn wait_for_cut(cluster: &Cluster, vm: usize, cut: bool) {
    wait_until("the VM knows whether it is cut off", || {
        cluster
            .status(vm)
            .is_some_and(|status| status.cut_off_since_ms.is_some() == cut)
    });
}

#[test]
fn a_zone_that_is_cut_off_serves_on_and_takes_the_newer_manifest_when_it_heals() {
    let (cluster, relays) = start();
    // Its announcements come through the balancer of its own zone only.
    relays.isolate(2, true);
    wait_for_cut(&cluster, 2, true);
    wait_until("its own dispatcher knows its engine", || {
        cluster
            .complete(2, &prompt("own zone", 500), MAX_TOKENS)
            .whole
    });
    for number in 0..5 {
        let text = prompt(&format!("cut {number}"), 1_000);
        assert_whole(&cluster.complete(2, &text, MAX_TOKENS), &text, MAX_TOKENS);
    }
    let refused = cluster.call(2, "POST", "/filing/reports", Some("cut-1"));
    assert_eq!(
        (refused.status, refused.reason.as_deref()),
        (503, Some("no_quorum"))
    );
    assert_eq!(refused.run.as_deref(), Some("not_run"));
    let document = Cluster::document(2);
    wait_until("the majority accepts a newer manifest", || {
        let published = client::publish(&cluster.admin(0), ADMIN_TOKEN, &document);
        matches!(published, Ok((200, _)))
    });
    assert_eq!(cluster.status(2).map(|status| status.manifest), Some(1));
    let lost = client::publish(&cluster.admin(2), ADMIN_TOKEN, &Cluster::document(3));
    assert!(matches!(lost, Ok((503, _))), "{lost:?}");
    relays.isolate(2, false);
    wait_for_cut(&cluster, 2, false);
    cluster.wait_for_manifest(2);
    let again = cluster.call(2, "POST", "/filing/reports", Some("cut-1"));
    assert_eq!(again.status, 200, "{again:?}");
}

#[test]
fn a_leader_that_is_cut_off_accepts_nothing_and_comes_back_without_disturbing() {
    let (cluster, relays) = start();
    let old = cluster.leader();
    relays.isolate(old, true);
    wait_for_cut(&cluster, old, true);
    let other = (old + 1) % 3;
    wait_until("the others accept", || {
        let published = client::publish(&cluster.admin(other), ADMIN_TOKEN, &Cluster::document(2));
        matches!(published, Ok((200, _)))
    });
    let term = cluster.status(other).and_then(|status| status.term);
    relays.isolate(old, false);
    wait_for_cut(&cluster, old, false);
    cluster.wait_for_manifest(2);
    assert_eq!(
        cluster.status(other).and_then(|status| status.term),
        term,
        "no new election"
    );
}
