//! Simulated application servers without a model, and the entry VMs that send plain calls to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fastrand::Rng;
use merlinrudder_core::directory::{ServerRecord, ServerStage};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, ZoneName};
use merlinrudder_core::time::Moment;

use super::learning_sim::{Awaited, EntryVms, LearningSim, Policy};
use crate::fleets::{rates, service};

const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: u32 = 6;

/// Load of the simulation; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct CallLoad {
    pub servers: usize,
    pub vms: EntryVms,
    /// Calls a second.
    pub rate: f64,
    /// Mean time of a call at a server that is not slow.
    pub mean_ms: f64,
    /// Servers, from the first one on, that are slow for a while.
    pub slow: usize,
    pub slow_from: u64,
    pub slow_to: u64,
    pub slow_factor: f64,
    pub length: u64,
}

/// A call: when it came, and how long it took.
pub type Call = (u64, u64);

struct CallSim {
    load: CallLoad,
    rng: Rng,
    fleets: Vec<Fleet>,
    learning: LearningSim,
    /// Ends of the calls at each server.
    ends: Vec<Vec<u64>>,
    /// Calls by their end: number, VM, server and start.
    running: BTreeMap<(u64, usize), (usize, usize, u64)>,
}

/// Plays a load; returns all calls and what was learned.
pub fn play(load: CallLoad, seed: u64) -> (Vec<Call>, LearningSim) {
    let zones = ZONES.iter().cycle().take(load.vms.count);
    let mut fleets: Vec<_> = zones.map(|zone| build_fleet(zone, load.servers)).collect();
    let mut sim = CallSim {
        learning: LearningSim::new(load.vms, seed, &mut fleets),
        load,
        rng: Rng::with_seed(seed),
        fleets,
        ends: vec![Vec::new(); load.servers],
        running: BTreeMap::new(),
    };
    let mut calls = Vec::new();
    for now in 1..=load.length {
        sim.finish(now, &mut calls);
        sim.learning.step(now, &mut sim.fleets);
        if sim.rng.f64() < load.rate / 1000.0 {
            sim.send(now);
        }
    }
    (calls, sim.learning)
}

impl CallSim {
    fn finish(&mut self, now: u64, calls: &mut Vec<Call>) {
        while let Some(entry) = self.running.first_entry()
            && entry.key().0 <= now
        {
            let ((_, number), (vm, server, sent_at)) = entry.remove_entry();
            self.ends[server].retain(|end| *end > now);
            let busy = u32::try_from(self.ends[server].len()).expect("a small count");
            let fleet = &mut self.fleets[vm];
            fleet.call_ended(&server_id(server));
            fleet.record_load(Moment::from_millis(now), &server_id(server), busy);
            self.learning.first_event(now, number, &mut self.fleets);
            calls.push((sent_at, now - sent_at));
        }
    }

    fn send(&mut self, now: u64) {
        let vm = self.rng.usize(..self.fleets.len());
        let server = self.choose(now, vm);
        let id = server_id(server);
        let fleet = &mut self.fleets[vm];
        let record = fleet.directory.get(&id).expect("a known server").clone();
        let busy = fleet.busy(Moment::from_millis(now), &record);
        fleet.call_began(&id);
        let is_slow =
            server < self.load.slow && (self.load.slow_from..self.load.slow_to).contains(&now);
        let factor = if is_slow { self.load.slow_factor } else { 1.0 };
        // Mostly near the mean, with a tail up to three times as long.
        let drawn = 0.5 + self.rng.f64() + 1.5 * self.rng.f64().powi(8);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive time"
        )]
        let took = (self.load.mean_ms * drawn * factor) as u64;
        let ends = &mut self.ends[server];
        ends.sort_unstable();
        let free = ends.len().checked_sub(SLOTS as usize).map(|at| ends[at]);
        let end = free.unwrap_or(now) + took.max(1);
        ends.push(end);
        let number = usize::try_from(self.rng.u32(..)).expect("64 bits");
        self.running.insert((end, number), (vm, server, now));
        let awaited = Awaited {
            vm,
            servers: vec![record.incarnation()],
            zone: record.zone,
            busy,
            placed_at: now,
            nominal: None,
            is_overdue: false,
        };
        self.learning.await_first(number, awaited);
    }

    fn choose(&mut self, now: u64, vm: usize) -> usize {
        let fleet = &self.fleets[vm];
        match self.load.vms.policy {
            Policy::Predicted => {
                let chosen = fleet.choose_server(Moment::from_millis(now), &service(), &[]);
                let chosen = chosen.expect("a server");
                chosen.as_str().parse().expect("the number of a server")
            }
            Policy::FixedWeights => self.rng.usize(..self.load.servers),
            Policy::LeastLoaded => {
                let first = self.rng.usize(..self.load.servers);
                let order = (first..self.load.servers).chain(0..first);
                let busy = |server: &usize| self.ends[*server].len();
                order.min_by_key(busy).unwrap_or(first)
            }
        }
    }
}

fn build_fleet(zone: &str, servers: usize) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from(zone), rates());
    for (number, port) in (0..servers).zip(1000..) {
        let record = ServerRecord {
            id: server_id(number),
            born: 1,
            sequence: 1,
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: ZoneName::from(ZONES[number % ZONES.len()]),
            slots: SLOTS,
            stage: ServerStage::Ready,
        };
        fleet.merge(Moment::default(), record);
    }
    fleet
}

fn server_id(number: usize) -> ServerId {
    ServerId::from(format!("{number:03}"))
}
