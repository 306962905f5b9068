//! The event loop of a replay, with arrivals, announcements, crashes, retries and deadlines.
//!
//! A request is identified by its index in the trace, an engine by its number, from 0.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::dispatch::Dispatcher;
use merlinrudder_core::dispatch::message::{AttemptEnd, AttemptSpec, DispatchOutput, Finish};
use merlinrudder_core::estimate::Estimator;
use merlinrudder_core::manifest::{Policy as DispatchPolicy, ServiceRule};
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::outcome::RefusalReason;
use merlinrudder_core::registry::CacheView;
use merlinrudder_core::retry::{RetryBudget, RetryContext};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, ContentDigest, RequestId, Tokens};
use merlinrudder_fakes::engine::model::EngineConfig;

use super::baseline::{Baseline, BaselineState, EngineSnapshot};
use super::result::{ReplayResult, RequestOutcome, Sample};
use super::sample_manifest::{customer_name, manifest, service_rule};
use super::simulated_engine::{SimulatedEngine, engine_number, server_id};
use super::trace::{POISON_GROUP, Trace, block_hashes};

/// Interval of the dispatcher's ticks and of the check for passed deadlines.
const TICK_MS: u64 = 25;
/// Interval of an engine's announcements.
const ANNOUNCE_MS: u64 = 500;
/// Interval at which out-of-sync views of prefix caches are replaced by snapshots.
const RESYNC_MS: u64 = 5_000;
/// Time from an engine's crash to its restart.
const RESTART_MS: u64 = 20_000;
/// Time from an attempt's failure until the entry VM retries it.
pub(super) const FAILURE_DETECTION_MS: u64 = 50;
/// Time after the last arrival at which the replay ends, even with unfinished requests.
const DRAIN_MS: u64 = 900_000;
/// Customers in the manifest, numbered from 0 as in generated traces.
const CUSTOMERS: u32 = 10;
/// Prompt bytes per token, from which the estimator predicts the prompt length.
pub(super) const BYTES_PER_TOKEN: u64 = 4;

/// Placement policy that a replay runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementPolicy {
    /// The production dispatcher, with a scheduling policy of the manifest.
    Dispatcher(DispatchPolicy),
    /// A simple rule to compare the dispatcher with.
    Baseline(Baseline),
}

/// Parameters of a replay besides its trace.
#[derive(Clone, Copy, Debug)]
pub struct ReplayOptions {
    /// Placement policy that chooses the engines.
    pub policy: PlacementPolicy,
    /// Number of engines.
    pub engines: usize,
    /// Parameters of every engine's cost model.
    pub config: EngineConfig,
    /// Seed for the choice of the announcements that lose a cache event.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    /// The request with this index arrives.
    Arrive(usize),
    /// A step ends, on this engine number in this incarnation.
    StepEnd(usize, u64),
    /// The engine with this number announces itself.
    Announce(usize),
    /// The dispatcher ticks, and requests past their deadline end.
    Tick,
    /// Out-of-sync cache views are replaced.
    ResyncCaches,
    /// The engine with this number crashes.
    Crash(usize),
    /// The engine with this number restarts after a crash.
    Restart(usize),
    /// The request with this index is submitted again after a failed attempt.
    Retry(usize),
}

/// Progress of one request, from before its arrival to its end.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// Number of the current attempt; 0 before arrival.
    pub(super) attempt: u32,
    /// Last attempt that generated a token.
    pub(super) started_attempt: u32,
    /// Output tokens generated so far, over all attempts.
    pub(super) generated_tokens: u64,
    /// Engines that hold memory for the attempt; the first one runs it.
    pub(super) servers: Vec<usize>,
    /// Engines that crashed during earlier attempts.
    pub(super) avoid: Vec<ServerId>,
    /// Whether the request has ended, in whatever way.
    pub(super) done: bool,
    pub(super) outcome: RequestOutcome,
}

/// State of a replay in progress.
pub(super) struct Replay<'a> {
    pub(super) trace: &'a Trace,
    pub(super) options: ReplayOptions,
    /// Scheduled events: time in milliseconds, position among all scheduled events, event.
    pub(super) events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events scheduled so far; orders events of the same time.
    pub(super) event_count: u64,
    /// Simulated time since the start of the replay.
    pub(super) now_ms: u64,
    pub(super) engines: Vec<SimulatedEngine>,
    pub(super) dispatcher: Dispatcher,
    pub(super) baseline_state: BaselineState,
    /// Requests and memory in tokens that a baseline has placed, by engine.
    pub(super) baseline_load: Vec<(u32, u64)>,
    pub(super) estimator: Estimator,
    pub(super) retry_budget: RetryBudget,
    /// Progress of each request, by its index in the trace.
    pub(super) progress: Vec<Progress>,
    /// Index of each started request, by the request id at the engines.
    pub(super) request_indexes: BTreeMap<String, usize>,
    /// Rule of the only service.
    pub(super) rule: Arc<ServiceRule>,
    /// Number of starts of poison requests.
    pub(super) poisoned: usize,
    pub(super) rng: Rng,
}

/// Replays a trace; returns the results and a sample per request.
///
/// Poison requests have no sample.
#[must_use]
pub fn replay(trace: &Trace, options: ReplayOptions) -> (ReplayResult, Vec<Sample>) {
    let mut replay = Replay::new(trace, options);
    let end = trace.arrivals.last().map_or(0, |arrival| arrival.at_ms) + DRAIN_MS;
    while let Some(Reverse((at, _, event))) = replay.events.pop() {
        if at > end || replay.progress.iter().all(|progress| progress.done) {
            break;
        }
        replay.now_ms = at;
        replay.handle_event(event);
    }
    replay.result()
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, options: ReplayOptions) -> Self {
        let rule = Arc::new(service_rule());
        let dispatch_policy = match options.policy {
            PlacementPolicy::Dispatcher(dispatch_policy) => dispatch_policy,
            PlacementPolicy::Baseline(_) => DispatchPolicy::FIRST_TOKEN,
        };
        let mut dispatcher = Dispatcher::new(Moment::from_millis(0));
        dispatcher.set_manifest(manifest(&rule, dispatch_policy, CUSTOMERS));
        let mut replay = Self {
            trace,
            options,
            events: BinaryHeap::new(),
            event_count: 0,
            now_ms: 0,
            engines: (0..options.engines)
                .map(|n| SimulatedEngine::new(n, options.config))
                .collect(),
            dispatcher,
            baseline_state: BaselineState::default(),
            baseline_load: vec![(0, 0); options.engines],
            estimator: Estimator::default(),
            retry_budget: RetryBudget::default(),
            progress: vec![Progress::default(); trace.arrivals.len()],
            request_indexes: BTreeMap::new(),
            rule,
            poisoned: 0,
            rng: Rng::with_seed(options.seed),
        };
        for number in 0..options.engines {
            replay.handle_event(Event::Announce(number));
        }
        for (index, arrival) in trace.arrivals.iter().enumerate() {
            replay.schedule(arrival.at_ms, Event::Arrive(index));
        }
        for (at, engine) in &trace.losses {
            replay.schedule(*at, Event::Crash(*engine));
        }
        replay.schedule(TICK_MS, Event::Tick);
        replay.schedule(RESYNC_MS, Event::ResyncCaches);
        replay
    }

    /// Schedules an event at a simulated time.
    pub(super) fn schedule(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_ms, self.event_count, event)));
    }

    /// Returns the simulated time in the dispatcher's type.
    pub(super) fn moment(&self) -> Moment {
        Moment::from_millis(self.now_ms)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => {
                self.retry_budget.earn(self.rule.retry_percent);
                self.progress[index].attempt = 1;
                self.submit_attempt(index);
            }
            Event::Retry(index) => self.submit_attempt(index),
            Event::StepEnd(number, incarnation) => self.end_step(number, incarnation),
            Event::Announce(number) => self.announce(number),
            Event::Tick => {
                self.dispatcher.tick(self.moment());
                self.expire_requests();
                self.schedule(self.now_ms + TICK_MS, Event::Tick);
            }
            Event::ResyncCaches => self.resync_caches(),
            Event::Crash(number) => self.crash_engine(number),
            Event::Restart(number) => {
                self.engines[number].restart();
                self.announce(number);
            }
        }
        self.apply_decisions();
        self.place_with_baseline();
    }

    fn announce(&mut self, number: usize) {
        if self.engines[number].dead {
            return;
        }
        let one_in = self.trace.gap_one_in;
        let lose_event = one_in > 0 && self.rng.u32(..one_in) == 0;
        let announced =
            self.engines[number].announce(self.now_ms, self.trace.report_lag_ms, lose_event);
        self.dispatcher.announce(self.moment(), announced);
        self.schedule(self.now_ms + ANNOUNCE_MS, Event::Announce(number));
    }

    /// Replaces the out-of-sync views of prefix caches by snapshots.
    fn resync_caches(&mut self) {
        let out_of_sync: Vec<_> = self
            .dispatcher
            .registry()
            .all()
            .filter(|server| server.cache.is_out_of_sync())
            .map(|server| (server.announced.key(), server.announced.incarnation))
            .collect();
        for (key, incarnation) in out_of_sync {
            let model = &self.engines[engine_number(&key.id)].model;
            let view = CacheView::from_snapshot(model.next_event(), model.cached_blocks());
            self.dispatcher.reset_cache_view(&key, incarnation, view);
        }
        self.schedule(self.now_ms + RESYNC_MS, Event::ResyncCaches);
    }

    /// Submits the current attempt of a request to the dispatcher or the baseline.
    fn submit_attempt(&mut self, index: usize) {
        if let PlacementPolicy::Baseline(_) = self.options.policy {
            self.baseline_state.queue.push_back(index);
            return;
        }
        let spec = self.attempt_spec(index);
        self.dispatcher.submit(self.moment(), spec);
    }

    fn attempt_spec(&self, index: usize) -> AttemptSpec {
        let arrival = &self.trace.arrivals[index];
        let customer = customer_name(arrival.customer);
        let bytes = usize::try_from(arrival.prompt_tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
        let limit = Tokens(arrival.max_tokens);
        let work = self
            .estimator
            .estimate(&customer, &self.rule.name, bytes, limit);
        // All poison requests have the same content, which the dispatcher can quarantine.
        let content = if arrival.poison {
            u64::from(POISON_GROUP)
        } else {
            index as u64 + (1 << 32)
        };
        AttemptSpec {
            request: RequestId(index as u128),
            attempt: AttemptId(self.progress[index].attempt),
            entry: VmId::from("vm"),
            service: self.rule.name.clone(),
            customer,
            work,
            prefix: Arc::from(block_hashes(arrival, index)),
            digest: ContentDigest::of(&content.to_le_bytes()),
            time_left: self.deadline(index).since(self.moment()),
            avoid: self.progress[index].avoid.clone(),
        }
    }

    /// Returns the deadline, which depends on arrival and prompt length.
    pub(super) fn deadline(&self, index: usize) -> Moment {
        let arrival = &self.trace.arrivals[index];
        let time = self.rule.deadline_for(Tokens(arrival.prompt_tokens));
        Moment::from_millis(arrival.at_ms) + time
    }

    /// Acts on the decisions that the dispatcher made during the last event.
    fn apply_decisions(&mut self) {
        for output in self.dispatcher.take_outputs() {
            match output {
                DispatchOutput::Grant(grant) => self.start_granted(&grant),
                DispatchOutput::Refuse {
                    request, refusal, ..
                } => {
                    let index = usize::try_from(request.0).unwrap_or_default();
                    // A refused retry is a failure, not a refusal, except in quarantine.
                    let retried = self.progress[index].attempt > 1;
                    self.end_request(
                        index,
                        !retried || refusal.reason == RefusalReason::Quarantined,
                    );
                }
                DispatchOutput::Cancel { .. } | DispatchOutput::Quarantine(_) => {}
            }
        }
    }

    /// Marks a request as ended; `refused` tells whether it counts as refused.
    pub(super) fn end_request(&mut self, index: usize, refused: bool) {
        self.progress[index].done = true;
        self.progress[index].outcome.refused = refused;
    }

    /// Reports the end of the current attempt to the dispatcher, as entry VMs do.
    pub(super) fn report_end(&mut self, index: usize, end: AttemptEnd) {
        let attempt = AttemptId(self.progress[index].attempt);
        let finish = Finish {
            request: RequestId(index as u128),
            attempt,
            end,
        };
        self.dispatcher.finish(self.moment(), &finish);
    }

    /// Ends a failed attempt and schedules a retry after `delay_ms` if it is allowed.
    ///
    /// The request ends if its deadline is too close or the retry budget is spent.
    pub(super) fn fail_attempt(&mut self, index: usize, end: AttemptEnd, delay_ms: u64) {
        let run = match end {
            AttemptEnd::Refused => merlinrudder_core::outcome::RunState::NotRun,
            _ => merlinrudder_core::outcome::RunState::MayHaveRun,
        };
        self.report_end(index, end);
        let (now, deadline) = (self.moment(), self.deadline(index));
        let retry_context = RetryContext {
            idempotent: true,
            run,
            now,
            deadline,
        };
        if !retry_context.allowed() || !self.retry_budget.try_spend() {
            self.end_request(index, false);
            return;
        }
        self.progress[index].attempt += 1;
        self.progress[index].outcome.retries += 1;
        self.schedule(self.now_ms + delay_ms, Event::Retry(index));
    }

    /// Crashes an engine, fails every attempt that holds memory there, and schedules the restart.
    fn crash_engine(&mut self, number: usize) {
        if self.engines[number].dead {
            return;
        }
        self.engines[number].crash();
        self.schedule(self.now_ms + RESTART_MS, Event::Restart(number));
        let affected: Vec<_> = (0..self.progress.len())
            .filter(|index| !self.progress[*index].done)
            .filter(|index| self.progress[*index].servers.contains(&number))
            .collect();
        for index in affected {
            self.progress[index].avoid.push(server_id(number));
            self.release_engines(index);
            self.fail_attempt(
                index,
                AttemptEnd::ServerDied(server_id(number)),
                FAILURE_DETECTION_MS,
            );
        }
    }

    /// Ends requests past their deadline, as entry VMs do.
    fn expire_requests(&mut self) {
        let now = self.moment();
        let arrived = self
            .trace
            .arrivals
            .partition_point(|arrival| arrival.at_ms <= self.now_ms);
        for index in 0..arrived {
            if self.progress[index].done || now <= self.deadline(index) {
                continue;
            }
            if !self.progress[index].servers.is_empty() {
                self.report_end(index, AttemptEnd::Cancelled);
                self.release_engines(index);
            }
            self.baseline_state
                .queue
                .retain(|waiting| *waiting != index);
            self.end_request(index, false);
        }
    }

    /// Places queued requests by the baseline until the first one has to wait.
    fn place_with_baseline(&mut self) {
        let PlacementPolicy::Baseline(baseline) = self.options.policy else {
            return;
        };
        while let Some(index) = self.baseline_state.queue.front().copied() {
            let need = self.memory_need(index);
            let snapshots = self.engine_snapshots();
            let Some(group) = self.baseline_state.choose(baseline, need, &snapshots) else {
                return;
            };
            self.baseline_state.queue.pop_front();
            let servers = split_memory(need, &group, &snapshots);
            if self.start_attempt(index, &servers) {
                for (position, (number, _)) in servers.iter().enumerate() {
                    self.baseline_load[*number].0 += u32::from(position == 0);
                    self.baseline_load[*number].1 += need / servers.len() as u64;
                }
            } else {
                self.fail_attempt(index, AttemptEnd::Refused, FAILURE_DETECTION_MS);
            }
        }
    }

    /// Returns the current state of all engines; the dispatcher sees only announcements.
    fn engine_snapshots(&self) -> Vec<EngineSnapshot> {
        let snapshot = |engine: &SimulatedEngine| EngineSnapshot {
            alive: !engine.dead,
            requests: engine.model.running() + engine.model.waiting(),
            free_memory: self
                .options
                .config
                .memory
                .saturating_sub(engine.model.memory_used()),
            slots: self.options.config.slots,
        };
        self.engines.iter().map(snapshot).collect()
    }

    fn result(self) -> (ReplayResult, Vec<Sample>) {
        let samples: Vec<_> = self
            .trace
            .arrivals
            .iter()
            .zip(&self.progress)
            .filter(|(arrival, _)| !arrival.poison)
            .map(|(arrival, progress)| Sample {
                prompt_tokens: arrival.prompt_tokens,
                output_tokens: arrival.output_tokens,
                customer: arrival.customer,
                outcome: progress.outcome,
            })
            .collect();
        let last_arrival = self
            .trace
            .arrivals
            .last()
            .map_or(1, |arrival| arrival.at_ms)
            .max(1);
        let seconds = Duration::from_millis(last_arrival).as_secs_f64();
        let mut result = ReplayResult::new(&samples, seconds);
        result.poisoned = self.poisoned;
        result.memory_left = self
            .engines
            .iter()
            .map(|engine| engine.model.memory_used())
            .sum();
        result.unfinished = self
            .progress
            .iter()
            .filter(|progress| !progress.done)
            .count();
        (result, samples)
    }
}

/// Splits `need` tokens of memory over the engines of a baseline's group, in order.
///
/// Each engine gives all its free memory until the need is met. Returns engine numbers and tokens.
fn split_memory(need: u64, group: &[usize], snapshots: &[EngineSnapshot]) -> Vec<(usize, u64)> {
    let mut left = need;
    let mut servers = Vec::new();
    for number in group {
        let tokens = left.min(snapshots[*number].free_memory);
        left -= tokens;
        servers.push((*number, tokens));
    }
    servers
}
