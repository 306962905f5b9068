//! Simulated entry VMs that send plain calls to servers, some of them cold.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::cold::plan::{ColdBounds, ColdRule};
use merlinrudder_core::cold::reports::ColdReport;
use merlinrudder_core::cold::{ColdTable, Warmth};
use merlinrudder_core::directory::{ServerRecord, ServerStage};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::rate_limit::RateLimits;
use merlinrudder_core::time::Moment;

/// When the VMs of a simulation have known each other for long, in milliseconds.
pub const START_MS: u64 = 10_000;
/// Rule of the service: 17 requests a second for 3 s.
pub const RULE: ColdRule = ColdRule {
    time: Duration::from_secs(3),
    per_second: 17.0,
};
/// Most requests that may reach a cold server in any one second.
pub const BOUND: usize = 30;
/// Length of a step, in milliseconds.
const STEP_MS: u64 = 10;
/// Largest delay of a request, in milliseconds.
const MAX_DELAY_MS: u64 = 150;
/// Duration of a call, in milliseconds.
const CALL_MS: u64 = 300;

pub fn service() -> ServiceName {
    ServiceName::from("app")
}

pub fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

pub fn vm_id(number: usize) -> VmId {
    VmId::from(format!("entry-{number}"))
}

/// Returns a server of one of three zones.
pub fn server(number: u16) -> ServerRecord {
    ServerRecord {
        id: ServerId::from(format!("i-{number}")),
        born: 100,
        sequence: 1,
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
        zone: ZoneName::from(format!("z{}", number % 3)),
        slots: 12,
        stage: ServerStage::Ready,
    }
}

pub fn report(record: &ServerRecord, sequence: u64, left_ms: u64) -> ColdReport {
    ColdReport {
        server: record.id.clone(),
        born: record.born,
        sequence,
        left: Duration::from_millis(left_ms),
    }
}

/// Returns a VM that is told which servers are cold, and knows none of the others yet.
pub fn fleet(vm: usize) -> Fleet {
    let rates = RateLimits::new(Moment::default(), vm_id(vm), 1);
    let mut fleet = Fleet::new(ZoneName::from(format!("z{}", vm % 3)), rates);
    fleet.cold = ColdTable::new(vm_id(vm), ColdBounds::default());
    fleet.cold.set_rules([(service(), RULE)].into_iter());
    fleet.cold.expect_reports();
    fleet
}

/// Returns the other VMs of a deployment.
pub fn others(vm: usize, count: usize) -> Vec<VmId> {
    (0..count).filter(|n| *n != vm).map(vm_id).collect()
}

/// Sends a plain call, if the VM may; returns the server.
pub fn send(fleet: &mut Fleet, now: u64) -> Option<ServerId> {
    let chosen = fleet.choose_server(at(now), &service(), &[]).ok()?;
    fleet.cold.count_sent(at(now), &chosen);
    Some(chosen)
}

/// Returns how many of `times` fall into the fullest window of one second.
pub fn fullest_second(times: &[u64]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let count = |start: &u64| {
        let in_window = times.iter().filter(|t| (*start..start + 1000).contains(t));
        in_window.count()
    };
    times.iter().map(count).max().unwrap_or_default()
}

/// What a VM hears, at a time in milliseconds.
#[derive(Clone)]
pub enum News {
    Record(ServerRecord),
    Report(ColdReport),
}

/// VMs with their servers, and the calls that reached these.
pub struct ColdSim {
    pub vms: Vec<Fleet>,
    /// Calls a second that each VM has.
    pub demand: f64,
    /// Times in milliseconds at which calls reached each server.
    pub arrivals: BTreeMap<ServerId, Vec<u64>>,
    pub refused: usize,
    pub now: u64,
    /// Ends of calls, by time.
    ends: Vec<(u64, usize, ServerId)>,
    /// News on their way, by time.
    news: Vec<(u64, usize, News)>,
    rng: Rng,
}

impl ColdSim {
    /// Starts VMs that have known the others of their views for long.
    pub fn new(views: Vec<Vec<VmId>>, demand: f64, seed: u64) -> Self {
        let vms = views.into_iter().enumerate().map(|(vm, others)| {
            let mut fleet = fleet(vm);
            fleet.cold.set_vms(at(0), Some(others));
            fleet
        });
        Self {
            vms: vms.collect(),
            demand,
            arrivals: BTreeMap::new(),
            refused: 0,
            now: START_MS,
            ends: Vec::new(),
            news: Vec::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Tells all VMs of a server within `delay_ms`; its report comes separately, maybe later.
    pub fn add_server(&mut self, record: &ServerRecord, left_ms: u64, delay_ms: u64) {
        for vm in 0..self.vms.len() {
            let heard = self.now + self.rng.u64(0..=delay_ms);
            self.news.push((heard, vm, News::Record(record.clone())));
            let told = self.now + self.rng.u64(0..=delay_ms);
            let report = report(record, record.sequence, left_ms);
            self.news.push((told, vm, News::Report(report)));
        }
    }

    /// Tells one VM at once.
    pub fn tell(&mut self, vm: usize, news: News) {
        self.news.push((self.now, vm, news));
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
            self.now += STEP_MS;
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.news)
            .into_iter()
            .partition(|(time, ..)| *time <= now);
        self.news = later;
        for (_, vm, news) in due {
            match news {
                News::Record(record) => drop(self.vms[vm].merge(at(now), record)),
                News::Report(report) => {
                    self.vms[vm].cold.record_report(at(now), &report);
                }
            }
        }
        let (ended, running) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|(time, ..)| *time <= now);
        self.ends = running;
        for (_, vm, server) in ended {
            self.vms[vm].call_ended(&server);
        }
        #[expect(clippy::cast_precision_loss, reason = "a step is short")]
        let expected = self.demand * STEP_MS as f64 / 1000.0;
        for vm in 0..self.vms.len() {
            self.vms[vm].cold.update_ranks();
            let mut left = expected + self.rng.f64();
            while left >= 1.0 {
                left -= 1.0;
                self.call(vm);
            }
        }
    }

    fn call(&mut self, vm: usize) {
        let now = self.now;
        let Some(server) = send(&mut self.vms[vm], now) else {
            self.refused += 1;
            return;
        };
        self.vms[vm].call_began(&server);
        let delay = self.rng.u64(0..MAX_DELAY_MS);
        self.ends.push((now + delay + CALL_MS, vm, server.clone()));
        self.arrivals.entry(server).or_default().push(now + delay);
    }

    /// Returns the times at which calls reached a server in a span.
    pub fn arrived(&self, server: &ServerId, from: u64, to: u64) -> Vec<u64> {
        let times = self.arrivals.get(server).into_iter().flatten().copied();
        times.filter(|time| (from..to).contains(time)).collect()
    }

    /// Whether a VM counts a server as cold.
    pub fn is_cold(&self, vm: usize, record: &ServerRecord) -> bool {
        matches!(
            self.vms[vm].cold.warmth(at(self.now), record),
            Warmth::Cold(_)
        )
    }
}
