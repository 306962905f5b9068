//! Learns how much load each backend server takes well.
//!
//! A server has a pace, the time seen over the time predicted, and a limit on concurrent requests.
//! An entry VM has a sample of one server twice a minute, so the estimates of all VMs are merged:
//! each VM is one observer, and the pace of a server is the weighted median of its observers, with
//! the nominal pace among them. Weights fall with age. A VM sends only its own estimates, and those
//! of its estimates that differ from the nominal pace share a bounded weight.
//!
//! Times in `f64` are in milliseconds.

mod baseline;
pub mod learned;
mod votes;

use std::collections::BTreeMap;
use std::time::Duration;

use self::baseline::{Baseline, Group, median};
use self::learned::{Capacity, LearnedTable};
use self::votes::{LIFETIME, Votes};
use crate::directory::{Directory, Incarnation, ServerStage};
use crate::engine_model::as_float;
use crate::names::{ServerId, ServiceName, VmId, ZoneName};
use crate::rendezvous::stable_hash;
use crate::time::{Moment, duration_millis};

pub use self::votes::Estimate;

/// Time that does not count as slowness of a server, in milliseconds.
///
/// It covers the network, and waits of a few milliseconds at both ends.
const SLACK_MS: f64 = 30.0;
/// Shortest time that a time seen is compared with, in milliseconds.
///
/// Below it, the scheduling of this VM's own process is a multiple of it.
const MIN_EXPECTED_MS: f64 = 25.0;
/// Dead band: a smaller pace counts as nominal.
///
/// A prompt arrives at any moment of a pass, so that one of twenty first events of even servers
/// takes 1.3 times as long as the median. A server that is faster than others needs no pace: it is
/// the others that are slow.
const MIN_SLOW_PACE: f64 = 1.6;
/// Pace from which a request without an answer counts as late.
const OVERDUE_PACE: f64 = 2.0;
/// Nominal time from which a prompt is no sample, in milliseconds.
///
/// Prompts that arrive later and go first at the engines delay a longer one by more than predicted.
const MAX_NOMINAL_MS: f64 = 800.0;
/// Change of an estimate from which it is sent.
const MIN_CHANGE: f64 = 0.15;
/// Shortest time between two messages.
const SEND_INTERVAL: Duration = Duration::from_millis(500);
/// Weight that the estimates of one observer have together where they differ from the nominal pace.
///
/// A VM with 1 to 2 requests a second has not seen more slow servers than that within seconds.
const OBSERVER_WEIGHT: f64 = 4.0;
/// Factor on the number of requests at which a server was late, for its limit.
const LIMIT_DECREASE: f64 = 0.7;
/// Time in which a limit grows by all slots of a server, in milliseconds.
const LIMIT_GROWTH_MS: f64 = 8_000.0;
/// Age from which the VM's own estimate is replaced by a less certain one.
const FIRM_TIME: Duration = Duration::from_secs(1);

/// Time of a request at one or several servers of a service.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Service of the servers.
    pub service: &'a ServiceName,
    /// Zone of the first server.
    pub zone: &'a ZoneName,
    /// Servers that worked on the request, the one that answered first; not empty.
    pub servers: &'a [Incarnation],
    /// Requests at the first server when this one was sent to it.
    pub busy: u32,
    /// Time from the choice of the servers to the first event, or to the whole answer.
    pub took: Duration,
}

/// Estimate of a server that is sent to other VMs, or comes from one.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Lifetime of the server.
    pub server: Incarnation,
    /// What the VM that sends it found.
    pub estimate: Estimate,
}

/// Why a learned capacity changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeReason {
    /// Answers came later than predicted, while other servers of the service were in time.
    LateAnswers,
    /// Answers came in time, or sooner than predicted.
    TimelyAnswers,
    /// The estimates have expired.
    Expired,
    /// Only the limit grew.
    LimitGrew,
}

impl ChangeReason {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LateAnswers => "late_answers",
            Self::TimelyAnswers => "timely_answers",
            Self::Expired => "expired",
            Self::LimitGrew => "limit_grew",
        }
    }
}

/// Change of a learned capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityChange {
    /// Server that it concerns.
    pub server: ServerId,
    /// New capacity; `None` if it is nominal again.
    pub capacity: Option<Capacity>,
    /// Number of observers with an estimate.
    pub observers: usize,
    /// Why it changed.
    pub reason: ChangeReason,
}

/// What is known of one lifetime of a server.
#[derive(Debug, Default)]
struct ServerState {
    votes: Votes,
    /// What this VM last sent.
    sent: Option<Estimate>,
    /// Limit in use; `None` if these are all slots.
    limit: Option<f64>,
}

/// Estimates of all servers, and the capacities that follow from them.
#[derive(Debug)]
pub struct CapacityTable {
    vm: VmId,
    baseline: Baseline,
    servers: BTreeMap<Incarnation, ServerState>,
    learned: LearnedTable,
    /// Time after which estimates expire at this VM.
    ///
    /// It differs between VMs, so that a few of them probe a server before the others.
    lifetime: Duration,
    refreshed_at: Moment,
    sent_at: Option<Moment>,
}

impl CapacityTable {
    /// Creates a table without estimates for entry VM `vm`.
    #[must_use]
    pub fn new(vm: VmId) -> Self {
        let hash = stable_hash(&[vm.as_str().as_bytes()]) % 1000;
        let spread = 0.8 + as_float(hash) / 1000.0 * 0.4;
        Self {
            lifetime: LIFETIME.mul_f64(spread),
            vm,
            baseline: Baseline::default(),
            servers: BTreeMap::new(),
            learned: LearnedTable::default(),
            refreshed_at: Moment::default(),
            sent_at: None,
        }
    }

    /// Adds the time to first event of a prompt, which takes `nominal` if all paces are 1.
    pub fn record_prompt(&mut self, now: Moment, sample: &Sample<'_>, nominal: Duration) {
        let nominal = as_float(duration_millis(nominal));
        if (1.0..MAX_NOMINAL_MS).contains(&nominal) {
            let group = (sample.service.clone(), false);
            self.record(now, sample, &group, nominal);
        }
    }

    /// Adds the answer time of a plain call, compared with the usual one of its service.
    pub fn record_call(&mut self, now: Moment, sample: &Sample<'_>) {
        let group = (sample.service.clone(), true);
        self.record(now, sample, &group, 1.0);
    }

    /// Adds a sample, unless the usual ratio of its group is not known yet.
    ///
    /// What the prediction leaves out, such as the pass that an arrival waits for, is in the usual
    /// ratio and so does not count.
    fn record(&mut self, now: Moment, sample: &Sample<'_>, group: &Group, nominal: f64) {
        let Some(first) = sample.servers.first() else {
            return;
        };
        let took = as_float(duration_millis(sample.took));
        let usual = self.baseline.usual(group, &first.server);
        self.baseline
            .add_ratio(group, &first.server, took / nominal);
        let Some(usual) = usual else {
            return;
        };
        let expected = (nominal * usual).max(MIN_EXPECTED_MS);
        let delay = self.baseline.add_delay(sample.zone, took - expected);
        let pace = settle((took - delay - SLACK_MS) / expected);
        self.estimate(now, sample, pace);
    }

    /// Adds a request without an answer so far if it is late already; returns whether it is.
    ///
    /// `nominal` is as in [`Self::record_prompt`], and `None` for a plain call. The answer is still
    /// to be recorded once it arrives.
    pub fn record_overdue(
        &mut self,
        now: Moment,
        sample: &Sample<'_>,
        nominal: Option<Duration>,
    ) -> bool {
        let group = (sample.service.clone(), nominal.is_none());
        let nominal = nominal.map_or(1.0, |nominal| as_float(duration_millis(nominal)));
        let usual = sample.servers.first().and_then(|first| {
            let is_sample = nominal < MAX_NOMINAL_MS;
            self.baseline
                .usual(&group, &first.server)
                .filter(|_| is_sample)
        });
        let Some(usual) = usual else {
            return false;
        };
        let took = as_float(duration_millis(sample.took));
        let delay = self.baseline.delay(sample.zone);
        let pace = (took - delay - SLACK_MS) / (nominal * usual).max(MIN_EXPECTED_MS);
        if pace >= OVERDUE_PACE {
            self.estimate(now, sample, pace);
        }
        pace >= OVERDUE_PACE
    }

    /// Adds an estimate of the servers of a sample.
    fn estimate(&mut self, now: Moment, sample: &Sample<'_>, pace: f64) {
        let Some(first) = sample.servers.first() else {
            return;
        };
        let late = pace > 1.0;
        let slow: Vec<_> = sample
            .servers
            .iter()
            .filter(|server| self.learned.pace(&server.server) > 1.0)
            .collect();
        // A prompt in time shows that none of its engines is slow. One that is late is explained by
        // those that are known to be slow, or else by any of them.
        let blamed: Vec<_> = if late && !slow.is_empty() {
            slow
        } else {
            sample.servers.iter().collect()
        };
        let weight = if late {
            1.0 / as_float(blamed.len() as u64)
        } else {
            1.0
        };
        for server in blamed {
            let estimate = Estimate {
                pace,
                weight,
                busy: if server == first { sample.busy } else { 0 },
                at: now,
            };
            self.add_own(now, server, estimate);
        }
    }

    /// Adds an estimate of this VM to its earlier one.
    fn add_own(&mut self, now: Moment, server: &Incarnation, mut estimate: Estimate) {
        let state = self.servers.entry(server.clone()).or_default();
        let votes = &mut state.votes.by_observer;
        if let Some(earlier) = votes.get(&self.vm) {
            let agrees = (earlier.pace > 1.0) == (estimate.pace > 1.0);
            if agrees {
                estimate.weight = (estimate.weight + earlier.weight_left(now)).min(1.0);
            } else if estimate.weight < 0.5 && now.since(earlier.at) < FIRM_TIME {
                return;
            }
        }
        votes.insert(self.vm.clone(), estimate);
    }

    /// Adds estimates of another VM; newer ones replace older ones.
    pub fn receive(&mut self, now: Moment, from: &VmId, reports: Vec<Report>) {
        for Report { server, estimate } in reports {
            let Some(estimate) = estimate.bounded() else {
                continue;
            };
            if now.since(estimate.at) >= self.lifetime || *from == self.vm {
                continue;
            }
            let votes = &mut self.servers.entry(server).or_default().votes;
            let earlier = votes.by_observer.get(from);
            if earlier.is_none_or(|earlier| earlier.at <= estimate.at) {
                votes.by_observer.insert(from.clone(), estimate);
            }
        }
    }

    /// Returns the capacities in use.
    #[must_use]
    pub const fn learned(&self) -> &LearnedTable {
        &self.learned
    }

    /// Returns the age of the newest estimate of a server.
    #[must_use]
    pub fn age(&self, now: Moment, server: &ServerId) -> Option<Duration> {
        let states = self.servers.iter().filter(|(i, _)| i.server == *server);
        let newest = states.filter_map(|(_, state)| state.votes.newest()).max();
        newest.map(|newest| now.since(newest))
    }

    /// Computes the capacities from all estimates, and returns what changed.
    ///
    /// Estimates of other lifetimes than the present ones are dropped once they expire.
    pub fn refresh(&mut self, now: Moment, directory: &Directory) -> Vec<CapacityChange> {
        let elapsed = as_float(duration_millis(now.since(self.refreshed_at)));
        self.refreshed_at = now;
        for state in self.servers.values_mut() {
            state.votes.expire(now, self.lifetime);
        }
        let is_present = |server: &Incarnation| {
            let record = directory.get(&server.server);
            record.is_some_and(|record| record.born == server.born)
        };
        self.servers.retain(|server, state| {
            !state.votes.by_observer.is_empty() || (state.limit.is_some() && is_present(server))
        });
        let influence = self.influences(now);
        let scale = |vm: &VmId| influence.get(vm).copied().unwrap_or(1.0);
        let mut paces: BTreeMap<&ServiceName, BTreeMap<Incarnation, f64>> = BTreeMap::new();
        for (incarnation, state) in &self.servers {
            let record = directory.get(&incarnation.server);
            if let Some(record) = record.filter(|record| record.born == incarnation.born) {
                let pace = state.votes.pace(now, scale);
                let service = paces.entry(&record.service).or_default();
                service.insert(incarnation.clone(), pace);
            }
        }
        let mut learned = LearnedTable::default();
        for (service, paces) in paces {
            let ready = directory.records().filter(|(record, _)| {
                record.service == *service && record.stage == ServerStage::Ready
            });
            // The whole service late at once is load, and no slow server.
            let all = ready.map(|(r, _)| paces.get(&r.incarnation()).copied().unwrap_or(1.0));
            let load = median(all).max(1.0);
            for (incarnation, pace) in paces {
                let slots = directory.get(&incarnation.server).map_or(1, |r| r.slots);
                let Some(state) = self.servers.get_mut(&incarnation) else {
                    continue;
                };
                let pace = settle(pace / load);
                let earlier = self.learned.pace(&incarnation.server);
                let pace = if differs(pace, earlier) {
                    pace
                } else {
                    earlier
                };
                let limit = state.update_limit(pace, slots, elapsed);
                if pace.to_bits() != 1.0_f64.to_bits() || limit.is_some() {
                    learned.insert(incarnation.server, Capacity { pace, limit });
                }
            }
        }
        let earlier = std::mem::replace(&mut self.learned, learned);
        self.changes_since(&earlier)
    }

    /// Returns the factors on the weights of observers whose estimates differ too often.
    fn influences(&self, now: Moment) -> BTreeMap<VmId, f64> {
        let mut deviating: BTreeMap<VmId, f64> = BTreeMap::new();
        for state in self.servers.values() {
            for (vm, vote) in &state.votes.by_observer {
                if settle(vote.pace) > 1.0 {
                    *deviating.entry(vm.clone()).or_default() += vote.weight_left(now);
                }
            }
        }
        let factors = deviating.into_iter();
        factors
            .map(|(vm, weight)| (vm, (OBSERVER_WEIGHT / weight).min(1.0)))
            .collect()
    }

    fn changes_since(&self, earlier: &LearnedTable) -> Vec<CapacityChange> {
        let mut changes = Vec::new();
        let gone = earlier
            .iter()
            .filter(|(id, _)| self.learned.get(id).is_none());
        for server in self.learned.iter().chain(gone).map(|(id, _)| id) {
            let (old, new) = (earlier.get(server), self.learned.get(server));
            if old == new {
                continue;
            }
            let states = self.servers.iter().filter(|(i, _)| i.server == *server);
            let observers = states.map(|(_, s)| s.votes.by_observer.len()).sum();
            let (before, after) = (earlier.pace(server), self.learned.pace(server));
            let reason = if after > before {
                ChangeReason::LateAnswers
            } else if after >= before {
                ChangeReason::LimitGrew
            } else if observers > 0 {
                ChangeReason::TimelyAnswers
            } else {
                ChangeReason::Expired
            };
            changes.push(CapacityChange {
                server: server.clone(),
                capacity: new.copied(),
                observers,
                reason,
            });
        }
        changes
    }

    /// Returns this VM's estimates that others need, at most every `SEND_INTERVAL`.
    ///
    /// An estimate is sent if it differs from what the others hold of this VM, by its age, or from
    /// the merged pace: a VM with a sample in time contradicts one that reports a slow server. A
    /// sample from before the first late one contradicts nothing.
    pub fn take_outgoing(&mut self, now: Moment) -> Vec<Report> {
        let is_early = |sent_at: Moment| now.since(sent_at) < SEND_INTERVAL;
        if self.sent_at.is_some_and(is_early) {
            return Vec::new();
        }
        let mut reports = Vec::new();
        for (server, state) in &mut self.servers {
            let Some(own) = state.votes.by_observer.get(&self.vm).copied() else {
                continue;
            };
            if state.sent.is_some_and(|sent| sent.at == own.at) {
                continue;
            }
            let held = state.sent.map_or(1.0, |sent| sent.pace_left(now));
            let merged = self.learned.pace(&server.server);
            let first_late = state.votes.first_late(MIN_SLOW_PACE);
            let contradicts =
                differs(own.pace, merged) && first_late.is_none_or(|first| first <= own.at);
            if differs(own.pace, held) || contradicts {
                state.sent = Some(own);
                let (server, estimate) = (server.clone(), own);
                reports.push(Report { server, estimate });
            }
        }
        if !reports.is_empty() {
            self.sent_at = Some(now);
        }
        reports
    }

    /// Returns this VM's estimates that differ from the nominal pace, for a VM that connected.
    #[must_use]
    pub fn snapshot(&self, now: Moment) -> Vec<Report> {
        let own = self.servers.iter().filter_map(|(server, state)| {
            let estimate = *state.votes.by_observer.get(&self.vm)?;
            let is_known = state.sent.is_some() || differs(estimate.pace, 1.0);
            (is_known && now.since(estimate.at) < self.lifetime).then(|| Report {
                server: server.clone(),
                estimate,
            })
        });
        own.collect()
    }
}

impl ServerState {
    /// Lowers the limit of a slow server, and raises that of another one with time.
    fn update_limit(&mut self, pace: f64, slots: u32, elapsed: f64) -> Option<u32> {
        let all = f64::from(slots.max(1));
        if pace > 1.0 {
            let busy = self.votes.late_busy(MIN_SLOW_PACE).unwrap_or(all);
            let target = (busy * LIMIT_DECREASE).max(all / pace).max(1.0);
            self.limit = Some(self.limit.unwrap_or(all).min(target));
        } else if let Some(limit) = self.limit {
            let grown = limit + all * elapsed / LIMIT_GROWTH_MS;
            self.limit = (grown < all).then_some(grown);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a limit is from 1 to the slots of a server"
        )]
        self.limit.map(|limit| limit as u32)
    }
}

/// Returns 1 for a pace within the dead band.
fn settle(pace: f64) -> f64 {
    if pace < MIN_SLOW_PACE { 1.0 } else { pace }
}

fn differs(one: f64, other: f64) -> bool {
    (one - other).abs() > other * MIN_CHANGE
}
