//! VMs that probe a few others each: deaths, one-way cuts, refuted suspicions, a bounded cost.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::membership::message::{Health, MembershipMessage};
use merlinrudder_core::membership::{ConfiguredVm, Membership, MembershipOutput, PROBE_PERIOD};
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::time::Moment;

const STEP: Duration = Duration::from_millis(25);
const ZONES: usize = 5;

struct Packet {
    due: Moment,
    from: usize,
    to: usize,
    message: MembershipMessage,
}

/// Some VMs on a network without loss but for what is cut.
struct Net {
    vms: Vec<Membership>,
    now: Moment,
    packets: Vec<Packet>,
    dead: BTreeSet<usize>,
    /// Pairs of which the first cannot reach the second.
    cut: BTreeSet<(usize, usize)>,
    rng: Rng,
    sent: usize,
}

fn listed(number: usize) -> ConfiguredVm {
    ConfiguredVm {
        vm: VmId::from(format!("vm-{number}")),
        zone: ZoneName::from(format!("zone-{}", number % ZONES)),
        disk: number < 5,
    }
}

impl Net {
    fn new(count: usize) -> Self {
        let now = Moment::from_millis(1_000_000);
        let vms = (0..count).map(|own| {
            let peers: Vec<_> = (0..count).filter(|peer| *peer != own).map(listed).collect();
            Membership::new(now, listed(own), &peers, 1000 + own as u64)
        });
        Self {
            vms: vms.collect(),
            now,
            packets: Vec::new(),
            dead: BTreeSet::new(),
            cut: BTreeSet::new(),
            rng: Rng::with_seed(9),
            sent: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for number in 0..self.vms.len() {
                if !self.dead.contains(&number) {
                    self.vms[number].tick(self.now);
                    self.flush(number);
                }
            }
            self.deliver();
        }
    }

    fn flush(&mut self, from: usize) {
        for output in self.vms[from].take_outputs() {
            let MembershipOutput::Send(to, message) = output else {
                continue;
            };
            self.sent += 1;
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
                || self.cut.contains(&(packet.from, packet.to));
            if !lost {
                let from = listed(packet.from).vm;
                self.vms[packet.to].receive(now, &from, packet.message);
                self.flush(packet.to);
            }
        }
    }

    /// Whether every living VM sees `vm` like this.
    fn all_see(&self, vm: usize, health: Health) -> bool {
        let id = listed(vm).vm;
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
    let mut net = Net::new(7);
    net.run(Duration::from_secs(4));
    assert!((0..7).all(|vm| net.all_see(vm, Health::Alive)));
    net.dead.insert(3);
    net.run(Duration::from_secs(5));
    assert!(net.all_see(3, Health::Dead));
    assert!(
        [0, 1, 2, 4, 5, 6]
            .iter()
            .all(|vm| net.all_see(*vm, Health::Alive))
    );
    net.dead.remove(&3);
    net.run(Duration::from_secs(6));
    assert!(
        (0..7).all(|vm| net.all_see(vm, Health::Alive)),
        "it is alive again for all"
    );
}

#[test]
fn a_cut_between_two_vms_is_not_taken_for_a_death() {
    let mut net = Net::new(7);
    net.run(Duration::from_secs(4));
    net.cut = BTreeSet::from([(0, 1), (1, 0)]);
    net.run(Duration::from_secs(20));
    assert!(net.all_see(0, Health::Alive) && net.all_see(1, Health::Alive));
}

#[test]
fn a_vm_that_hears_nothing_back_is_not_seen_as_alive_for_ever() {
    let mut net = Net::new(7);
    net.run(Duration::from_secs(4));
    // It hears all, and nobody hears it.
    net.cut = (0..7).filter(|vm| *vm != 2).map(|vm| (2, vm)).collect();
    net.run(Duration::from_secs(6));
    assert!(net.all_see(2, Health::Dead));
}

#[test]
fn a_leaving_vm_takes_no_more_work_at_once() {
    let mut net = Net::new(7);
    net.run(Duration::from_secs(4));
    net.vms[4].leave();
    net.flush(4);
    net.run(Duration::from_millis(100));
    assert!(net.all_see(4, Health::Leaving));
    assert!(
        !net.vms[0]
            .serving_in(&listed(4).zone)
            .contains(&&listed(4).vm)
    );
}

#[test]
fn a_newer_manifest_is_heard_of_without_a_leader_telling() {
    let mut net = Net::new(7);
    net.run(Duration::from_secs(4));
    net.vms[0].set_manifest(ManifestNumber(9));
    net.run(Duration::from_secs(3));
    let seen = net.vms[1..].iter().filter(|vm| {
        vm.get(&listed(0).vm)
            .is_some_and(|member| member.manifest == ManifestNumber(9))
    });
    assert_eq!(seen.count(), 6);
}

/// Messages that one VM sends in a second, once all know each other.
fn messages_a_second(count: usize) -> usize {
    let mut net = Net::new(count);
    net.run(Duration::from_secs(10));
    net.sent = 0;
    net.run(Duration::from_secs(5));
    net.sent / count / 5
}

#[test]
fn the_cost_of_a_vm_does_not_grow_with_their_number() {
    // Two probes a period, two answers to probes of others.
    let periods = Duration::from_secs(1)
        .div_duration_f64(PROBE_PERIOD)
        .round();
    let bound = 5.0 * periods;
    for count in [7, 40, 120] {
        let messages = messages_a_second(count);
        assert!(
            f64::from(u32::try_from(messages).expect("few")) <= bound,
            "{count}: {messages}"
        );
    }
}
