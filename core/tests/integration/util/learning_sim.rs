//! Entry VMs of a simulated fleet that learn the capacity of engines from each other.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::capacity::{CapacityTable, Report, Sample};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::time::Moment;

use super::engine_sim::JobId;
use crate::fleets::service;

/// Interval at which an entry VM computes capacities and sends estimates.
const TICK_MS: u64 = 100;
/// Time that a message takes.
const MESSAGE_MS: u64 = 10;
/// Time that a lost packet costs.
const RETRANSMISSION_MS: u64 = 200;

/// How entry VMs choose engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// By predicted loss of value, as entry VMs do.
    Predicted,
    /// At random, with equal weights.
    FixedWeights,
    /// The engine with the fewest requests.
    LeastLoaded,
}

/// The entry VMs of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct EntryVms {
    pub count: usize,
    pub policy: Policy,
    pub learns: bool,
    /// VMs whose samples are random numbers.
    pub liars: usize,
    /// VMs that lose a packet of every tenth request.
    pub lossy: usize,
    /// Time that answers from the last zone take in addition.
    pub far_ms: u64,
    /// Times between which VM 0 neither sends nor receives estimates.
    pub cut: (u64, u64),
}

impl Default for EntryVms {
    fn default() -> Self {
        Self {
            count: 3,
            policy: Policy::Predicted,
            learns: false,
            liars: 0,
            lossy: 0,
            far_ms: 0,
            cut: (0, 0),
        }
    }
}

/// A request whose first event is awaited.
#[derive(Debug)]
pub struct Awaited {
    pub vm: usize,
    pub servers: Vec<Incarnation>,
    pub zone: ZoneName,
    pub busy: u32,
    pub placed_at: u64,
    /// Predicted time to first event; `None` for a plain call.
    pub nominal: Option<Duration>,
    /// Whether it was recorded as overdue.
    pub is_overdue: bool,
}

/// State of learning at all entry VMs.
#[derive(Debug)]
pub struct LearningSim {
    vms: EntryVms,
    rng: Rng,
    awaited: BTreeMap<JobId, Awaited>,
    messages: VecDeque<(u64, usize, Vec<Report>)>,
    /// Messages and estimates sent.
    pub sent: (usize, usize),
    /// Longest list of servers with a learned pace at VM 1, by second.
    pub slow: BTreeMap<u64, usize>,
}

impl LearningSim {
    pub fn new(vms: EntryVms, seed: u64, fleets: &mut [Fleet]) -> Self {
        for (number, fleet) in fleets.iter_mut().enumerate() {
            fleet.capacities = vms.learns.then(|| CapacityTable::new(vm_id(number)));
        }
        Self {
            vms,
            rng: Rng::with_seed(seed),
            awaited: BTreeMap::new(),
            messages: VecDeque::new(),
            sent: (0, 0),
            slow: BTreeMap::new(),
        }
    }

    pub fn await_first(&mut self, job: JobId, awaited: Awaited) {
        self.awaited.insert(job, awaited);
    }

    pub fn forget(&mut self, job: JobId) {
        self.awaited.remove(&job);
    }

    /// Records the first event of a request as a sample of its VM.
    pub fn first_event(&mut self, now: u64, job: JobId, fleets: &mut [Fleet]) {
        let Some(awaited) = self.awaited.remove(&job) else {
            return;
        };
        let Some(capacities) = &mut fleets[awaited.vm].capacities else {
            return;
        };
        let mut took = Duration::from_millis(now - awaited.placed_at);
        if awaited.zone.as_str() == "c" {
            took += Duration::from_millis(self.vms.far_ms);
        }
        if awaited.vm < self.vms.lossy && self.rng.u8(..10) == 0 {
            took += Duration::from_millis(RETRANSMISSION_MS);
        }
        if awaited.vm < self.vms.liars {
            took = took.mul_f64(self.rng.f64() * 10.0);
        }
        let sample = Sample {
            service: &service(),
            zone: &awaited.zone,
            servers: &awaited.servers,
            busy: awaited.busy,
            took,
        };
        let now = Moment::from_millis(now);
        match awaited.nominal {
            Some(nominal) => capacities.record_prompt(now, &sample, nominal),
            None => capacities.record_call(now, &sample),
        }
    }

    /// Delivers messages, and lets each VM compute and send once in `TICK_MS`.
    pub fn step(&mut self, now: u64, fleets: &mut [Fleet]) {
        if !self.vms.learns {
            return;
        }
        let moment = Moment::from_millis(now);
        while self.messages.front().is_some_and(|(due, _, _)| *due <= now) {
            let Some((_, from, reports)) = self.messages.pop_front() else {
                return;
            };
            for (number, fleet) in fleets.iter_mut().enumerate() {
                let is_cut = number == 0 && self.is_cut(now);
                if let Some(capacities) = fleet.capacities.as_mut().filter(|_| !is_cut) {
                    capacities.receive(moment, &vm_id(from), reports.clone());
                }
            }
        }
        if now.is_multiple_of(TICK_MS) {
            self.record_overdue(now, fleets);
        }
        for (number, fleet) in fleets.iter_mut().enumerate() {
            if !(now + number as u64 * 7).is_multiple_of(TICK_MS) {
                continue;
            }
            fleet.refresh_capacities(moment);
            if number == 1 {
                let slow = fleet.loads.learned().iter().filter(|(_, c)| c.pace > 1.0);
                let most = self.slow.entry(now / 1000).or_default();
                *most = slow.count().max(*most);
            }
            let Some(capacities) = &mut fleet.capacities else {
                continue;
            };
            let reports = capacities.take_outgoing(moment);
            let is_cut = number == 0 && self.is_cut(now);
            if !reports.is_empty() && !is_cut {
                self.sent.0 += 1;
                self.sent.1 += reports.len();
                self.messages.push_back((now + MESSAGE_MS, number, reports));
            }
        }
    }

    fn record_overdue(&mut self, now: u64, fleets: &mut [Fleet]) {
        for awaited in self.awaited.values_mut().filter(|a| !a.is_overdue) {
            let Some(capacities) = &mut fleets[awaited.vm].capacities else {
                continue;
            };
            let sample = Sample {
                service: &service(),
                zone: &awaited.zone,
                servers: &awaited.servers,
                busy: awaited.busy,
                took: Duration::from_millis(now - awaited.placed_at),
            };
            let moment = Moment::from_millis(now);
            awaited.is_overdue = capacities.record_overdue(moment, &sample, awaited.nominal);
        }
    }

    fn is_cut(&self, now: u64) -> bool {
        (self.vms.cut.0..self.vms.cut.1).contains(&now)
    }
}

fn vm_id(number: usize) -> VmId {
    VmId::from(format!("entry-{number:03}"))
}
