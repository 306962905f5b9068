//! Network partitions of the mesh, which runs over relays that can drop datagrams.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use merlinrudder_ctl::client;
use merlinrudder_ctl::deployment::{ADMIN_TOKEN, LocalVm};

use crate::util::{Cluster, ZONES, assert_exact_completion, prompt, wait_until};

const MAX_TOKENS: u64 = 32;
/// Buffer size that fits any UDP datagram.
const BUFFER_BYTES: usize = 65_536;
/// Interval at which an idle relay thread checks whether it must stop.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// One relay for each ordered pair of VMs; all stop when this is dropped.
struct Relays {
    /// Whether the relay drops datagrams, by the indexes of its VM and peer.
    blocked: BTreeMap<(usize, usize), Arc<AtomicBool>>,
    stopped: Arc<AtomicBool>,
}

impl Relays {
    /// Replaces the peer addresses in each VM's settings by those of new relays.
    fn install(vms: &[LocalVm]) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut blocked = BTreeMap::new();
        for (from, vm) in vms.iter().enumerate() {
            let mut text = fs::read_to_string(&vm.settings_path).expect("the settings are read");
            for (to, peer) in vms.iter().enumerate().filter(|(to, _)| *to != from) {
                let flag = Arc::new(AtomicBool::new(false));
                let relay = spawn_relay(peer.mesh, Arc::clone(&flag), Arc::clone(&stopped));
                let line = format!("{} = {}", peer.id, peer.mesh);
                assert!(text.contains(&line));
                text = text.replace(&line, &format!("{} = {relay}", peer.id));
                blocked.insert((from, to), flag);
            }
            fs::write(&vm.settings_path, text).expect("the settings are written");
        }
        Self { blocked, stopped }
    }

    /// Isolates a VM from all others, or reconnects it.
    fn set_isolated(&self, vm: usize, isolated: bool) {
        for ((from, to), flag) in &self.blocked {
            if *from == vm || *to == vm {
                flag.store(isolated, Ordering::SeqCst);
            }
        }
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Forwards datagrams to `target`, and its replies to the last sender.
///
/// Returns the address of the relay, which drops all datagrams while `blocked` is set.
fn spawn_relay(
    target: SocketAddr,
    blocked: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
) -> SocketAddr {
    let front = UdpSocket::bind("127.0.0.1:0").expect("a free port is bound");
    let back = UdpSocket::bind("127.0.0.1:0").expect("a free port is bound");
    back.connect(target).expect("the socket is connected");
    let address = front.local_addr().expect("the socket is bound");
    let last_sender = Arc::new(std::sync::Mutex::new(None::<SocketAddr>));
    for socket in [&front, &back] {
        socket
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("the timeout is set");
    }
    let (front_copy, back_copy) = (
        front.try_clone().expect("the socket is duplicated"),
        back.try_clone().expect("the socket is duplicated"),
    );
    let (blocked_copy, stopped_copy) = (Arc::clone(&blocked), Arc::clone(&stopped));
    let last_sender_copy = Arc::clone(&last_sender);
    thread::spawn(move || {
        let mut bytes = vec![0; BUFFER_BYTES];
        while !stopped.load(Ordering::SeqCst) {
            let Ok((length, from)) = front.recv_from(&mut bytes) else {
                continue;
            };
            *last_sender_copy.lock().expect("no thread panicked") = Some(from);
            if !blocked.load(Ordering::SeqCst) {
                // Errors are ignored: sending to a stopped VM loses the datagram.
                drop(back_copy.send(&bytes[..length]));
            }
        }
    });
    thread::spawn(move || {
        let mut bytes = vec![0; BUFFER_BYTES];
        while !stopped_copy.load(Ordering::SeqCst) {
            let Ok(length) = back.recv(&mut bytes) else {
                continue;
            };
            let to = *last_sender.lock().expect("no thread panicked");
            if let Some(to) = to.filter(|_| !blocked_copy.load(Ordering::SeqCst)) {
                drop(front_copy.send_to(&bytes[..length], to));
            }
        }
    });
    address
}

/// Starts three VMs connected by relays, with an engine and an application per zone.
fn start_deployment() -> (Cluster, Relays) {
    let mut relays = None;
    let mut cluster =
        Cluster::start_customized(&ZONES, 3, |vms| relays = Some(Relays::install(vms)));
    cluster.publish(1);
    for zone in ZONES {
        cluster.start_engines(zone, 1, &["--speed", "20"]);
        cluster.start_fake("app", &format!("app-{zone}"), "filing", zone, &[]);
    }
    cluster.wait_for_servers(6);
    (cluster, relays.expect("the relays are installed"))
}

/// Waits until a VM reports that it is cut off, or not, as `expected`.
fn wait_for_cut_off(cluster: &Cluster, vm: usize, expected: bool) {
    wait_until("the VM reports the expected cut-off state", || {
        cluster
            .status(vm)
            .is_some_and(|status| status.cut_off_since_ms.is_some() == expected)
    });
}

#[test]
fn an_isolated_zone_keeps_serving_and_applies_the_newer_manifest_once_reconnected() {
    let (cluster, relays) = start_deployment();
    // Isolation drops mesh traffic only. Announcements of backend servers still reach this VM
    // directly, as through the load balancer of its zone, but are not forwarded by other VMs.
    relays.set_isolated(2, true);
    wait_for_cut_off(&cluster, 2, true);
    wait_until(
        "the isolated VM serves completions from its zone's engine",
        || {
            cluster
                .complete(2, &prompt("own zone", 500), MAX_TOKENS)
                .whole
        },
    );
    for number in 0..5 {
        let text = prompt(&format!("cut {number}"), 1_000);
        assert_exact_completion(&cluster.complete(2, &text, MAX_TOKENS), &text, MAX_TOKENS);
    }
    let refused = cluster.call(2, "POST", "/filing/reports", Some("cut-1"));
    assert_eq!(
        (refused.status, refused.reason.as_deref()),
        (503, Some("no_quorum"))
    );
    assert_eq!(refused.run.as_deref(), Some("not_run"));
    let document = Cluster::document(2);
    wait_until("the connected majority accepts a newer manifest", || {
        let published = client::publish(&cluster.admin_address(0), ADMIN_TOKEN, &document);
        matches!(published, Ok((200, _)))
    });
    assert_eq!(cluster.status(2).map(|status| status.manifest), Some(1));
    let rejected = client::publish(
        &cluster.admin_address(2),
        ADMIN_TOKEN,
        &Cluster::document(3),
    );
    assert!(matches!(rejected, Ok((503, _))), "{rejected:?}");
    relays.set_isolated(2, false);
    wait_for_cut_off(&cluster, 2, false);
    cluster.wait_for_manifest(2);
    let again = cluster.call(2, "POST", "/filing/reports", Some("cut-1"));
    assert_eq!(again.status, 200, "{again:?}");
}

#[test]
fn an_isolated_leader_is_replaced_and_rejoins_without_an_election() {
    let (cluster, relays) = start_deployment();
    let old = cluster.leader();
    relays.set_isolated(old, true);
    wait_for_cut_off(&cluster, old, true);
    let other = (old + 1) % 3;
    wait_until("another VM accepts a newer manifest", || {
        let published = client::publish(
            &cluster.admin_address(other),
            ADMIN_TOKEN,
            &Cluster::document(2),
        );
        matches!(published, Ok((200, _)))
    });
    let term = cluster.status(other).and_then(|status| status.term);
    relays.set_isolated(old, false);
    wait_for_cut_off(&cluster, old, false);
    cluster.wait_for_manifest(2);
    assert_eq!(
        cluster.status(other).and_then(|status| status.term),
        term,
        "the rejoining VM caused an election"
    );
}
