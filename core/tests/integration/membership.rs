//! Failure detection on a simulated network: dead VMs, partitions, leaving VMs, bounded cost.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::membership::message::{Health, MembershipMessage};
use merlinrudder_core::membership::{ConfiguredVm, Membership, MembershipOutput, PROBE_PERIOD};
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::time::Moment;

const STEP: Duration = Duration::from_millis(25);
const ZONE_COUNT: usize = 5;

struct Packet {
    due: Moment,
    from: usize,
    to: usize,
    message: MembershipMessage,
}

/// VMs on a simulated network that only loses messages on blocked links.
struct SimulatedNetwork {
    vms: Vec<Membership>,
    now: Moment,
    packets: Vec<Packet>,
    /// VMs that neither run nor receive messages.
    dead: BTreeSet<usize>,
    /// Links, from the first VM to the second, that deliver no messages.
    blocked_links: BTreeSet<(usize, usize)>,
    rng: Rng,
    sent_messages: usize,
}

fn configured_vm(number: usize) -> ConfiguredVm {
    ConfiguredVm {
        vm: VmId::from(format!("vm-{number}")),
        zone: ZoneName::from(format!("zone-{}", number % ZONE_COUNT)),
        disk: number < 5,
    }
}

impl SimulatedNetwork {
    fn new(count: usize) -> Self {
        let now = Moment::from_millis(1_000_000);
        let vms = (0..count).map(|own| {
            let peers: Vec<_> = (0..count)
                .filter(|peer| *peer != own)
                .map(configured_vm)
                .collect();
            Membership::new(now, configured_vm(own), &peers, 1000 + own as u64)
        });
        Self {
            vms: vms.collect(),
            now,
            packets: Vec::new(),
            dead: BTreeSet::new(),
            blocked_links: BTreeSet::new(),
            rng: Rng::with_seed(9),
            sent_messages: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for number in 0..self.vms.len() {
                if !self.dead.contains(&number) {
                    self.vms[number].tick(self.now);
                    self.send_outputs(number);
                }
            }
            self.deliver();
        }
    }

    fn send_outputs(&mut self, from: usize) {
        for output in self.vms[from].take_outputs() {
            let MembershipOutput::Send(to, message) = output else {
                continue;
            };
            self.sent_messages += 1;
            let to = to
                .as_str()
                .trim_start_matches("vm-")
                .parse()
                .expect("a number");
            let due = self.now + Duration::from_millis(self.rng.u64(1..10));
            self.packets.push(Packet {
                due,
                from,
                to,
                message,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(|packet| packet.due <= now);
        self.packets = waiting;
        for packet in due {
            let lost = self.dead.contains(&packet.to)
                || self.dead.contains(&packet.from)
                || self.blocked_links.contains(&(packet.from, packet.to));
            if !lost {
                let from = configured_vm(packet.from).vm;
                self.vms[packet.to].receive(now, &from, packet.message);
                self.send_outputs(packet.to);
            }
        }
    }

    /// Whether every running VM reports this health of `vm`.
    fn all_report(&self, vm: usize, health: Health) -> bool {
        let id = configured_vm(vm).vm;
        (0..self.vms.len())
            .filter(|own| *own != vm && !self.dead.contains(own))
            .all(|own| {
                self.vms[own]
                    .get(&id)
                    .is_some_and(|member| member.health == health)
            })
    }
}

#[test]
fn all_vms_find_each_other_and_a_dead_one_is_seen_by_all() {
    let mut network = SimulatedNetwork::new(7);
    network.run(Duration::from_secs(4));
    assert!((0..7).all(|vm| network.all_report(vm, Health::Alive)));
    network.dead.insert(3);
    network.run(Duration::from_secs(5));
    assert!(network.all_report(3, Health::Dead));
    assert!(
        [0, 1, 2, 4, 5, 6]
            .iter()
            .all(|vm| network.all_report(*vm, Health::Alive))
    );
    network.dead.remove(&3);
    network.run(Duration::from_secs(6));
    assert!(
        (0..7).all(|vm| network.all_report(vm, Health::Alive)),
        "all VMs see VM 3 alive again"
    );
}

#[test]
fn a_broken_link_between_two_vms_makes_neither_dead() {
    let mut network = SimulatedNetwork::new(7);
    network.run(Duration::from_secs(4));
    network.blocked_links = BTreeSet::from([(0, 1), (1, 0)]);
    network.run(Duration::from_secs(20));
    assert!(network.all_report(0, Health::Alive) && network.all_report(1, Health::Alive));
}

#[test]
fn a_vm_whose_messages_reach_nobody_is_declared_dead() {
    let mut network = SimulatedNetwork::new(7);
    network.run(Duration::from_secs(4));
    // VM 2 receives messages from all, but its own messages reach nobody.
    network.blocked_links = (0..7).filter(|vm| *vm != 2).map(|vm| (2, vm)).collect();
    network.run(Duration::from_secs(6));
    assert!(network.all_report(2, Health::Dead));
}

#[test]
fn a_leaving_vm_takes_no_more_work_at_once() {
    let mut network = SimulatedNetwork::new(7);
    network.run(Duration::from_secs(4));
    network.vms[4].leave();
    network.send_outputs(4);
    network.run(Duration::from_millis(100));
    assert!(network.all_report(4, Health::Leaving));
    assert!(
        !network.vms[0]
            .serving_in(&configured_vm(4).zone)
            .contains(&&configured_vm(4).vm)
    );
}

#[test]
fn a_newer_manifest_number_reaches_all_vms_without_a_leader() {
    let mut network = SimulatedNetwork::new(7);
    network.run(Duration::from_secs(4));
    network.vms[0].set_manifest(ManifestNumber(9));
    network.run(Duration::from_secs(3));
    let seen = network.vms[1..].iter().filter(|vm| {
        vm.get(&configured_vm(0).vm)
            .is_some_and(|member| member.manifest == ManifestNumber(9))
    });
    assert_eq!(seen.count(), 6);
}

/// Returns the messages per VM and second, once all VMs know each other.
fn messages_per_second(count: usize) -> usize {
    let mut network = SimulatedNetwork::new(count);
    network.run(Duration::from_secs(10));
    network.sent_messages = 0;
    network.run(Duration::from_secs(5));
    network.sent_messages / count / 5
}

#[test]
fn the_messages_of_a_vm_do_not_grow_with_the_number_of_vms() {
    // Two probes per period and two acks to probes of others make four; the bound allows five.
    let periods = Duration::from_secs(1)
        .div_duration_f64(PROBE_PERIOD)
        .round();
    let bound = 5.0 * periods;
    for count in [7, 40, 120] {
        let messages = messages_per_second(count);
        assert!(
            f64::from(u32::try_from(messages).expect("few")) <= bound,
            "{count}: {messages}"
        );
    }
}
