//! Links between VMs on loopback: who dials, how many links there are, and what they cost idle.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use merlinrudder_core::link_policy::{DIAL_HELP_DELAY, LinkLoss};
use merlinrudder_core::names::VmId;
use merlinrudder_node::links::{AddressSource, LinkEvent, Links};
use merlinrudder_node::logging::discard;
use merlinrudder_wire::mesh::{MeshMessage, WireFeatures};
use merlinrudder_wire::peers::WirePeer;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

use crate::hand_link::{HandLink, addresses};

/// Longest wait for a state that must be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which links that usually open have opened.
const OPEN_TIME: Duration = Duration::from_millis(900);

/// A VM with its links; dropping it ends them as the end of a process does.
struct Vm {
    peer: WirePeer,
    links: Links,
    events: Arc<Mutex<Vec<LinkEvent>>>,
    runtime: Handle,
    /// Ends the thread that runs the VM's tasks.
    stop: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
}

impl Vm {
    fn start(name: &str, address: SocketAddr, control: bool) -> Self {
        let peer = WirePeer {
            vm: name.to_owned(),
            zone: "z".to_owned(),
            address,
            control,
        };
        let events = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&events);
        let handler = Arc::new(move |event| kept.lock().expect("no panic").push(event));
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        let log = discard();
        let binding = Links::bind(peer.clone(), WireFeatures::default(), handler, &log);
        let links = runtime.block_on(binding).expect("a free address");
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || drop(runtime.block_on(stopped)));
        Self {
            peer,
            links,
            events,
            runtime: handle,
            stop: Some((stop, thread)),
        }
    }

    fn id(&self) -> VmId {
        self.peer.vm_id()
    }

    /// Dials as entry VMs dial each other.
    fn dial_pair(&self, other: &Self) {
        let _entered = self.runtime.enter();
        self.links.dial_pair(other.peer.address);
    }

    /// Dials whether there is a link or not, as control VMs and earlier versions do.
    fn dial(&self, other: &Self) {
        let _entered = self.runtime.enter();
        self.links.dial(other.peer.address, AddressSource::Settings);
    }

    fn count_events(&self, matches: impl Fn(&LinkEvent) -> bool) -> usize {
        let events = self.events.lock().expect("no panic");
        events.iter().filter(|event| matches(event)).count()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some((stop, thread)) = self.stop.take() {
            drop(stop);
            thread.join().expect("the VM's thread ends");
        }
    }
}

fn start_vms(count: usize) -> Vec<Vm> {
    let addresses = addresses(count).into_iter().enumerate();
    let vms = addresses.map(|(at, address)| Vm::start(&format!("vm-{at}"), address, false));
    vms.collect()
}

/// Waits until a state is reached; returns how long that took.
fn wait_for(what: &str, reached: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !reached() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        thread::sleep(POLL_INTERVAL);
    }
    start.elapsed()
}

/// Asserts that a message of each of two VMs reaches the other.
fn assert_exchange(left: &Vm, right: &Vm) {
    for (from, to) in [(left, right), (right, left)] {
        let have = fastrand::u64(..);
        let message = MeshMessage::PullManifest { have };
        from.links.send(&to.id(), &message);
        wait_for("message", || {
            to.count_events(|event| {
                matches!(event, LinkEvent::Message(vm, received)
                    if *vm == from.id() && *received == message)
            }) > 0
        });
    }
}

/// Guards against both VMs of a pair dialling, which doubles all links of a fleet.
#[test]
fn a_fleet_has_one_link_for_each_pair() {
    const VMS: usize = 6;
    let vms = start_vms(VMS);
    for vm in &vms {
        for other in &vms {
            vm.dial_pair(other);
        }
    }
    let has_all = |vm: &Vm| vm.links.peers().len() == VMS - 1;
    let took = wait_for("links of all pairs", || vms.iter().all(has_all));
    assert!(took < OPEN_TIME, "{took:?}");
    // The other VMs must not add theirs once their delay is over.
    thread::sleep(DIAL_HELP_DELAY + OPEN_TIME);
    for vm in &vms {
        assert_eq!(vm.links.count(), VMS - 1, "{:?}", vm.peer);
    }
    assert_exchange(&vms[0], &vms[VMS - 1]);
}

/// Guards against a pair without a link where the usual dialler does not know the other VM.
#[test]
fn a_vm_that_only_the_higher_one_knows_is_dialled_after_a_while() {
    let vms = start_vms(2);
    vms[1].dial_pair(&vms[0]);
    let took = wait_for("link", || vms[0].links.count() == 1);
    assert!(
        (DIAL_HELP_DELAY..DIAL_HELP_DELAY + OPEN_TIME).contains(&took),
        "{took:?}"
    );
    assert_exchange(&vms[0], &vms[1]);
}

/// Guards against a pair that stays without a link after the usual dialler's process ended.
#[test]
fn a_dialler_that_dies_and_returns_has_one_link_again() {
    let mut vms = start_vms(2);
    let higher = vms.pop().expect("two VMs");
    let lower = vms.pop().expect("two VMs");
    lower.dial_pair(&higher);
    higher.dial_pair(&lower);
    wait_for("link", || higher.links.count() == 1);
    let address = lower.peer.address;
    drop(lower);
    wait_for("lost link", || higher.links.count() == 0);
    let lower = Vm::start("vm-0", address, false);
    // The new process has not been told of the other VM yet, which helps.
    let took = wait_for("link after the return", || higher.links.count() == 1);
    assert!(took < DIAL_HELP_DELAY * 2, "{took:?}");
    lower.dial_pair(&higher);
    thread::sleep(OPEN_TIME);
    assert_eq!((lower.links.count(), higher.links.count()), (1, 1));
    assert_exchange(&lower, &higher);
}

/// Guards against lost messages between a VM that always dials, as earlier versions do, and others.
#[test]
fn a_vm_that_always_dials_exchanges_messages_with_those_that_do_not() {
    let vms = start_vms(3);
    let old = &vms[1];
    for new in [&vms[0], &vms[2]] {
        new.dial_pair(old);
        old.dial(new);
        wait_for("link", || new.links.count() > 0 && old.links.count() > 0);
    }
    thread::sleep(OPEN_TIME);
    for new in [&vms[0], &vms[2]] {
        assert_exchange(old, new);
        let ups = new.count_events(|event| matches!(event, LinkEvent::Up(_)));
        let downs = new.count_events(|event| matches!(event, LinkEvent::Down(..)));
        assert_eq!((ups, downs), (1, 0), "{:?}", new.peer);
    }
    assert_eq!(vms[2].links.count(), 1, "the higher VM must not dial");
}

/// Guards against heartbeats that cost more than they tell, and against gaps that close links.
#[test]
fn an_idle_link_carries_few_heartbeats() {
    for (control, most) in [(false, 13), (true, 26)] {
        let vm = Vm::start("vm", addresses(1)[0], false);
        let mut link = HandLink::open(vm.peer.address, "by-hand", control);
        let start = Instant::now();
        let mut last = start;
        let mut heartbeats = 0;
        while start.elapsed() < Duration::from_secs(5) {
            assert!(link.read_frame().expect("an open link").is_empty());
            assert!(last.elapsed() < Duration::from_millis(900));
            last = Instant::now();
            heartbeats += 1;
            link.send_frame(&[]);
        }
        assert!(
            heartbeats <= most,
            "{heartbeats} in 5 s, control: {control}"
        );
    }
}

/// Guards against dead VMs that are noticed later than within a second and a half.
#[test]
fn a_silent_vm_is_noticed_within_a_second_and_a_half() {
    for control in [false, true] {
        let vm = Vm::start("vm", addresses(1)[0], false);
        let mut link = HandLink::open(vm.peer.address, "by-hand", control);
        let start = Instant::now();
        while link.read_frame().is_ok() {}
        let took = start.elapsed();
        let expected = Duration::from_millis(900)..Duration::from_millis(1500);
        assert!(expected.contains(&took), "{took:?}, control: {control}");
        wait_for("end of the link", || {
            vm.count_events(|event| matches!(event, LinkEvent::Down(_, LinkLoss::Silent))) == 1
        });
    }
}

/// Guards against placements of a stopped VM that are kept as if it had lost power.
#[test]
fn a_link_that_the_other_vm_closes_does_not_count_as_silent() {
    let vm = Vm::start("vm", addresses(1)[0], false);
    let link = HandLink::open(vm.peer.address, "by-hand", false);
    drop(link);
    wait_for("end of the link", || {
        vm.count_events(|event| matches!(event, LinkEvent::Down(_, LinkLoss::Closed))) == 1
    });
}
