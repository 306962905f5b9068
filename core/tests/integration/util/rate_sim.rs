//! A simulated network of entry VMs that keep the limit of one backend server.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::rate_limit::RateLimits;
use merlinrudder_core::rate_limit::limits::{Observation, Rate};
use merlinrudder_core::rate_limit::message::{Outgoing, RateMessage, Recipient};
use merlinrudder_core::time::Moment;

/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;
/// Interval at which VMs renew their loans, in milliseconds.
const TICK_MS: u64 = 100;
/// Usual delay of a message, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 1..8;
/// Delay of one message in `SLOW_ONE_IN`, in milliseconds.
const SLOW_DELAY_MS: std::ops::Range<u64> = 50..900;
const SLOW_ONE_IN: u64 = 50;
/// Time after which a VM notices that a link has come or gone, in milliseconds.
const NOTICE_MS: std::ops::Range<u64> = 10..1_200;

struct Message {
    due: u64,
    from: usize,
    to: usize,
    content: RateMessage,
}

/// Entry VMs, the links between them, and the requests that reached the server.
pub struct RateSim {
    pub vms: Vec<RateLimits>,
    /// Requests a second that each VM has for the server.
    pub demand: Vec<f64>,
    /// Group of each VM; only VMs of one group reach each other.
    pub groups: Vec<usize>,
    /// Pairs of VMs without a link, the lower number first.
    pub broken: BTreeSet<(usize, usize)>,
    /// Whether the server's answers name the limit; `None` if it names none.
    pub limit: Option<f64>,
    /// Times in milliseconds at which requests reached the server.
    pub arrivals: Vec<u64>,
    /// Messages that were sent.
    pub messages: usize,
    now: u64,
    /// When each VM notices that its links have changed.
    notice_at: Vec<u64>,
    in_flight: Vec<Message>,
    rng: Rng,
}

pub fn server() -> ServerId {
    ServerId::from("engine")
}

fn vm_id(number: usize) -> VmId {
    VmId::from(format!("vm-{number}"))
}

impl RateSim {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let vms = (0..count).map(|number| start_vm(number, 0, &mut rng));
        Self {
            vms: vms.collect(),
            demand: vec![1.0; count],
            groups: vec![0; count],
            broken: BTreeSet::new(),
            limit: None,
            arrivals: Vec::new(),
            messages: 0,
            now: 0,
            notice_at: vec![0; count],
            in_flight: Vec::new(),
            rng,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    fn are_linked(&self, a: usize, b: usize) -> bool {
        self.groups[a] == self.groups[b] && !self.broken.contains(&(a.min(b), a.max(b)))
    }

    /// Lets each VM notice changed links after a while of its own.
    pub fn links_changed(&mut self) {
        for at in &mut self.notice_at {
            *at = self.now + self.rng.u64(NOTICE_MS);
        }
    }

    /// Replaces the process of a VM; it knows no limit.
    pub fn restart(&mut self, vm: usize) {
        self.vms[vm] = start_vm(vm, self.now, &mut self.rng);
        self.links_changed();
    }

    /// Runs the simulation for a while.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + u64::try_from(time.as_millis()).expect("a short time");
        while self.now < end {
            self.now += STEP_MS;
            self.deliver();
            for vm in 0..self.vms.len() {
                self.step(vm);
            }
        }
    }

    fn step(&mut self, vm: usize) {
        let now = self.now();
        if self.now >= self.notice_at[vm] {
            self.notice_at[vm] = u64::MAX;
            self.notice_links(vm);
        }
        if self.now % TICK_MS < STEP_MS {
            self.vms[vm].tick(now);
        }
        #[expect(clippy::cast_precision_loss, reason = "a few milliseconds")]
        let chance = self.demand[vm] * STEP_MS as f64 / 1000.0;
        if self.rng.f64() < chance {
            self.vms[vm].request(now, &server());
            if self.vms[vm].admits(now, &server()) {
                self.vms[vm].spend(now, &server());
                self.arrive(vm);
            }
        }
        self.send_from(vm);
    }

    /// Sends a request to the server, which answers at once.
    fn arrive(&mut self, vm: usize) {
        self.arrivals.push(self.now);
        let now = self.now();
        let observation = Observation {
            incarnation: Incarnation {
                server: server(),
                born: 1,
            },
            rate: self.limit.and_then(Rate::new),
            requested_at: now,
            heard_at: now,
        };
        self.vms[vm].observe(now, observation);
    }

    fn notice_links(&mut self, vm: usize) {
        let others = (0..self.vms.len()).filter(|other| *other != vm);
        let linked: Vec<_> = others.filter(|other| self.are_linked(vm, *other)).collect();
        let ids = linked.iter().map(|other| vm_id(*other));
        let count = self.vms.len();
        self.vms[vm].set_vms(ids, Some(count));
        for other in linked {
            self.vms[vm].link_up(&vm_id(other));
        }
    }

    fn send_from(&mut self, from: usize) {
        for Outgoing { to, message } in self.vms[from].take_outgoing() {
            let receivers: Vec<_> = match to {
                Recipient::All => (0..self.vms.len()).filter(|to| *to != from).collect(),
                Recipient::Vm(vm) => (0..self.vms.len()).filter(|to| vm_id(*to) == vm).collect(),
            };
            for to in receivers {
                let slow = self.rng.u64(..SLOW_ONE_IN) == 0;
                let delay = self.rng.u64(if slow { SLOW_DELAY_MS } else { DELAY_MS });
                self.messages += 1;
                self.in_flight.push(Message {
                    due: self.now + delay,
                    from,
                    to,
                    content: message.clone(),
                });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |m| m.due <= now).collect();
        for message in due {
            if self.are_linked(message.from, message.to) {
                let from = vm_id(message.from);
                let now = self.now();
                self.vms[message.to].receive(now, &from, message.content);
            }
        }
    }

    /// Returns the most requests that reached the server in one window of four seconds.
    pub fn most_arrivals(&self, from: Moment) -> usize {
        let times = self.arrivals.iter().filter(|at| **at >= from.as_millis());
        let times: Vec<_> = times.copied().collect();
        let in_window = |start: &u64| {
            let end = start + 4_000;
            times.iter().filter(|at| (*start..end).contains(at)).count()
        };
        times.iter().map(in_window).max().unwrap_or_default()
    }
}

fn start_vm(number: usize, now: u64, rng: &mut Rng) -> RateLimits {
    RateLimits::new(Moment::from_millis(now), vm_id(number), rng.u64(..))
}
