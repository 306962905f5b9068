//! Cold servers: which servers are cold until when, and whether this VM may send to one now.
//!
//! A server is cold for some seconds after its start, and may become cold again. Its service then
//! names a rate above which it crashes. The entry VMs keep to that rate without exchanging messages:
//! for each server, only the VMs that rank first by rendezvous hash send to it while it is cold, each
//! with a spacing between its requests. docs/design/011 has the proof of the bound.

pub mod plan;
pub mod reports;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use self::plan::{ColdBounds, ColdRule, Plan};
use self::reports::{ColdChange, ColdReport, ColdReports};
use crate::directory::ServerRecord;
use crate::names::{ServerId, ServiceName, VmId};
use crate::rendezvous::stable_hash;
use crate::time::{Moment, duration_millis};

/// Time after the cold time in which the spacing of requests halves twice.
const RAMP_TIME: Duration = Duration::from_secs(1);
/// Time for which the number of VMs must not have grown by a tenth before it is relied on.
///
/// The VMs of a deployment that starts find each other within 1.5 s. It also exceeds every spacing
/// between requests of a VM whose rule allows one a second or more, so a restarted VM repeats no request early.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Growth of the number of VMs, in percent, up to which it stays settled.
///
/// The plan has room for numbers that are this far off.
const GROWTH_PERCENT: usize = 10;
/// Longest time for which the servers of a reopened zone count as cold without a report.
const REOPENED_TIME: Duration = Duration::from_secs(3);
/// Time after the reopening of a zone before which a heartbeat counts as sent earlier.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Period of the fallback turns, in which a VM that was never told the number of VMs uses cold servers.
const FALLBACK_PERIOD: Duration = Duration::from_secs(30);
/// Length of such a turn.
const FALLBACK_TURN: Duration = Duration::from_secs(1);
/// Number of turns up to which they are looked for in order.
const MAX_TURNS: usize = 64;

/// How warm a server is for this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Warmth {
    /// Takes requests without a spacing.
    Warm,
    /// Its cold time ended at this moment, less than `RAMP_TIME` ago.
    Ramping(Moment),
    /// Counts as cold until this moment.
    Cold(Moment),
}

/// What callers can expect of a service whose servers are all cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdOutlook {
    /// Time until a request may be sent.
    pub wait: Duration,
    /// Requests that this VM may send to the servers in a second; positive.
    pub rate: f64,
}

/// Reopening of the zone of a server.
#[derive(Clone, Copy, Debug)]
struct Reopening {
    at: Moment,
    /// Sequence number of the newest heartbeat known then.
    sequence: u64,
}

/// What this VM knows of one server's current lifetime.
#[derive(Clone, Debug)]
struct KnownServer {
    born: u64,
    /// When a record of this lifetime was first true.
    first_heard: Moment,
    /// When this VM last sent it a request; kept over lifetimes.
    sent_at: Option<Moment>,
    /// Set while the server counts as cold since its zone was reopened.
    reopening: Option<Reopening>,
    /// Other VMs that rank before this one; `None` if not computed for the current VMs.
    rank: Option<usize>,
}

/// Coldness of the servers as one entry VM sees it.
#[derive(Debug)]
pub struct ColdTable {
    vm: VmId,
    bounds: ColdBounds,
    /// Rules of the services that have cold servers.
    rules: BTreeMap<ServiceName, ColdRule>,
    reports: ColdReports,
    servers: BTreeMap<ServerId, KnownServer>,
    /// All entry VMs but this one; `None` until that is known.
    others: Option<Vec<VmId>>,
    /// Number of VMs when it last grew by more than `GROWTH_PERCENT`, or shrank.
    settled_count: usize,
    grown_at: Moment,
    /// Whether a linked control VM reports which servers are cold.
    expects_reports: bool,
    /// Servers left out of choices since `take_left_out`.
    left_out: Cell<u64>,
}

impl ColdTable {
    /// Creates a table for an entry VM; the part is off until services have rules.
    #[must_use]
    pub fn new(vm: VmId, bounds: ColdBounds) -> Self {
        Self {
            vm,
            bounds,
            rules: BTreeMap::new(),
            reports: ColdReports::default(),
            servers: BTreeMap::new(),
            others: None,
            settled_count: 0,
            grown_at: Moment::default(),
            expects_reports: false,
            left_out: Cell::new(0),
        }
    }

    /// Replaces the rules of the services.
    pub fn set_rules(&mut self, rules: impl Iterator<Item = (ServiceName, ColdRule)>) {
        self.rules = rules.collect();
    }

    /// Whether any service has a rule.
    #[must_use]
    pub fn has_rules(&self) -> bool {
        !self.rules.is_empty()
    }

    /// Records that a linked control VM reports which servers are cold.
    ///
    /// From then on, a server without a report counts as cold for the cold time of its service.
    pub const fn expect_reports(&mut self) {
        self.expects_reports = true;
    }

    /// Updates the other entry VMs; `None` while they are not known.
    pub fn set_vms(&mut self, now: Moment, others: Option<Vec<VmId>>) {
        if others == self.others {
            return;
        }
        let count = others.as_ref().map_or(0, |others| others.len() + 1);
        if count * 100 > self.settled_count * (100 + GROWTH_PERCENT) {
            self.grown_at = now;
            self.settled_count = count;
        }
        self.settled_count = self.settled_count.min(count);
        self.others = others;
        for server in self.servers.values_mut() {
            server.rank = None;
        }
    }

    /// Records a report on a server; returns what it changes.
    ///
    /// It does not end the time since a reopening, as it may repeat an earlier heartbeat.
    pub fn record_report(&mut self, now: Moment, report: &ColdReport) -> ColdChange {
        self.reports.record(now, report)
    }

    /// Records a heartbeat that a VM heard at `heard_at` which reports cold servers.
    ///
    /// If it was sent after the reopening of the server's zone, reports alone tell from now on whether
    /// the server is cold.
    pub fn record_heartbeat(&mut self, heard_at: Moment, record: &ServerRecord) {
        let is_later = |reopening: Reopening| {
            record.sequence > reopening.sequence && heard_at >= reopening.at + REPORT_DELAY
        };
        let server = self.servers.get_mut(&record.id);
        if let Some(server) = server.filter(|known| known.born == record.born)
            && server.reopening.is_some_and(is_later)
        {
            server.reopening = None;
        }
    }

    /// Records a lifetime of a server that was running at `heard_at`.
    pub fn record_lifetime(&mut self, heard_at: Moment, id: &ServerId, born: u64) {
        let known = self.servers.get(id);
        if known.is_some_and(|known| known.born == born) {
            return;
        }
        let sent_at = known.and_then(|known| known.sent_at);
        let server = KnownServer {
            born,
            first_heard: heard_at,
            sent_at,
            reopening: None,
            rank: None,
        };
        self.servers.insert(id.clone(), server);
    }

    /// Lets servers of a reopened zone count as cold until a later heartbeat says otherwise.
    pub fn reopen<'a>(&mut self, now: Moment, records: impl Iterator<Item = &'a ServerRecord>) {
        for record in records {
            if let Some(server) = self.servers.get_mut(&record.id) {
                let sequence = record.sequence;
                server.reopening = Some(Reopening { at: now, sequence });
            }
        }
    }

    /// Counts a request that this VM sends to a server.
    pub fn count_sent(&mut self, now: Moment, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.sent_at = Some(now);
        }
    }

    /// Forgets the servers that are not `known`, and expired reports.
    pub fn forget_gone(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.servers.retain(|id, _| is_known(id));
        self.reports.retain(is_known);
    }

    /// Computes the ranks of this VM that are missing, which makes later choices cheap.
    pub fn update_ranks(&mut self) {
        let Some(others) = &self.others else {
            return;
        };
        for (id, server) in &mut self.servers {
            if server.rank.is_none() {
                server.rank = Some(rank(&self.vm, others, id));
            }
        }
    }

    /// Returns the number of servers left out of choices since the last call.
    pub fn take_left_out(&self) -> u64 {
        self.left_out.take()
    }

    /// Returns how warm a server is.
    #[must_use]
    pub fn warmth(&self, now: Moment, record: &ServerRecord) -> Warmth {
        let Some(rule) = self.rules.get(&record.service) else {
            return Warmth::Warm;
        };
        let server = self.servers.get(&record.id);
        let reported = self.reports.cold_until(&record.id, record.born);
        let own_until = match (reported, server) {
            (Some(until), _) => until,
            (None, Some(server)) if self.expects_reports => Some(server.first_heard + rule.time),
            (None, _) => None,
        };
        let reopening = server.and_then(|server| server.reopening);
        let until = own_until.max(reopening.map(|reopening| reopening.at + REOPENED_TIME));
        match until {
            Some(until) if now < until => Warmth::Cold(until),
            Some(until) if now < until + RAMP_TIME => Warmth::Ramping(until),
            _ => Warmth::Warm,
        }
    }

    /// Returns the servers that this VM may send to now.
    ///
    /// If there is none, servers whose cold time is over are used without a spacing. If there is still
    /// none and the number of VMs was never told, cold ones are used in rare turns.
    pub fn admitted<T>(
        &self,
        now: Moment,
        servers: Vec<T>,
        record: impl Fn(&T) -> &ServerRecord,
    ) -> Vec<T> {
        if !self.has_rules() {
            return servers;
        }
        let count = servers.len();
        let (mut admitted, left): (Vec<_>, Vec<_>) = servers
            .into_iter()
            .partition(|server| self.admits(now, record(server)));
        if admitted.is_empty() {
            let is_last_resort = |server: &T| match self.warmth(now, record(server)) {
                Warmth::Cold(_) => self.is_fallback_turn(now, &record(server).id),
                Warmth::Warm | Warmth::Ramping(_) => true,
            };
            let warm = |server: &T| !matches!(self.warmth(now, record(server)), Warmth::Cold(_));
            let any_warm = left.iter().any(warm);
            let last = left.into_iter().filter(|server| {
                if any_warm {
                    warm(server)
                } else {
                    is_last_resort(server)
                }
            });
            admitted = last.collect();
        }
        let left_out = (count - admitted.len()) as u64;
        self.left_out.set(self.left_out.get() + left_out);
        admitted
    }

    /// Returns what callers can expect of servers that this VM may not send to now.
    ///
    /// `ahead` requests take turns before the next one.
    pub fn outlook<'a>(
        &self,
        now: Moment,
        servers: impl Iterator<Item = &'a ServerRecord>,
        ahead: usize,
    ) -> ColdOutlook {
        let mut turns = BinaryHeap::new();
        let mut end = None;
        let mut rate = 0.0;
        for record in servers {
            let Warmth::Cold(until) = self.warmth(now, record) else {
                continue;
            };
            end = Some(end.map_or(until, |end: Moment| end.min(until)));
            if let Some((next, spacing)) = self.next_turn(now, record, until) {
                turns.push(Reverse((next, spacing)));
                rate += 1.0 / spacing.as_secs_f64();
            }
        }
        for _ in 0..ahead.min(MAX_TURNS) {
            if let Some(Reverse((next, spacing))) = turns.pop() {
                turns.push(Reverse((next + spacing, spacing)));
            }
        }
        let turn = turns.peek().map(|Reverse((next, _))| *next);
        // At the end of its cold time, a server takes requests of all VMs.
        let next = turn.into_iter().chain(end).min().unwrap_or(now);
        let cold_left = end.unwrap_or(now).since(now).as_secs_f64().max(0.1);
        ColdOutlook {
            wait: next.since(now),
            rate: f64::max(rate, 1.0 / cold_left),
        }
    }

    /// Whether this VM may send to a server now.
    fn admits(&self, now: Moment, record: &ServerRecord) -> bool {
        match self.warmth(now, record) {
            Warmth::Warm => true,
            Warmth::Ramping(since) => {
                let halvings = if now.since(since) * 2 < RAMP_TIME {
                    2
                } else {
                    4
                };
                let plan = self.plan(now, record);
                plan.is_some_and(|plan| self.is_due(now, &record.id, plan.spacing / halvings))
            }
            Warmth::Cold(_) => {
                let plan = self.plan(now, record);
                plan.is_some_and(|plan| self.is_due(now, &record.id, plan.spacing))
            }
        }
    }

    /// Returns when this VM may next send to a cold server, and the spacing of its requests.
    ///
    /// `None` if that is not before the end of the cold time.
    fn next_turn(
        &self,
        now: Moment,
        record: &ServerRecord,
        until: Moment,
    ) -> Option<(Moment, Duration)> {
        let spacing = self.plan(now, record)?.spacing;
        let sent_at = self.servers.get(&record.id)?.sent_at;
        let next = sent_at.map_or(now, |sent_at| (sent_at + spacing).max(now));
        (next < until).then_some((next, spacing))
    }

    /// Returns how this VM sends to a server while it is cold; `None` if it does not.
    fn plan(&self, now: Moment, record: &ServerRecord) -> Option<Plan> {
        let others = self.others.as_ref()?;
        if now.since(self.grown_at) < SETTLE_TIME {
            return None;
        }
        let rule = self.rules.get(&record.service)?;
        let plan = Plan::new(rule, &self.bounds, others.len() + 1)?;
        let known = self.servers.get(&record.id)?.rank;
        let own = known.unwrap_or_else(|| rank(&self.vm, others, &record.id));
        (own < plan.senders).then_some(plan)
    }

    fn is_due(&self, now: Moment, id: &ServerId, spacing: Duration) -> bool {
        let sent_at = self.servers.get(id).and_then(|server| server.sent_at);
        sent_at.is_none_or(|sent_at| now >= sent_at + spacing)
    }

    /// Whether a VM that was never told the number of VMs may send to a cold server.
    ///
    /// The turns of the VMs are spread by hash.
    fn is_fallback_turn(&self, now: Moment, id: &ServerId) -> bool {
        let period = duration_millis(FALLBACK_PERIOD);
        let offset = stable_hash(&[id.as_str().as_bytes(), self.vm.as_str().as_bytes()]) % period;
        let in_turn = (now.as_millis() + offset) % period < duration_millis(FALLBACK_TURN);
        self.others.is_none() && in_turn && self.is_due(now, id, FALLBACK_PERIOD / 2)
    }
}

/// Returns how many of the other VMs rank before this one for a server.
fn rank(own: &VmId, others: &[VmId], server: &ServerId) -> usize {
    let score = |vm: &VmId| {
        let hash = stable_hash(&[server.as_str().as_bytes(), vm.as_str().as_bytes()]);
        (hash, vm.clone())
    };
    let own = score(own);
    others.iter().filter(|vm| score(vm) > own).count()
}
