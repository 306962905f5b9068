//! One replay: events in order of time, against the dispatcher or a baseline.

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

use super::baseline::{Baseline, BaselineState, SeenEngine};
use super::fleet::{Engine, server_id, server_number};
use super::result::{Ended, ReplayResult, Sample};
use super::sample_manifest::{customer_name, manifest, service_rule};
use super::trace::{POISON_KIND, Trace, blocks};

/// Time between two ticks of the dispatcher.
const TICK_MS: u64 = 25;
/// Time between two announcements of an engine.
const ANNOUNCE_MS: u64 = 500;
/// Time between two readings of distrusted caches.
const REREAD_MS: u64 = 5_000;
/// Time that a dead engine stays away.
const RESTART_MS: u64 = 20_000;
/// Time from a death until an entry has noticed it.
pub(super) const NOTICE_MS: u64 = 50;
/// Time after the last arrival until the replay ends.
const TAIL_MS: u64 = 900_000;
/// Customers of a trace.
const CUSTOMERS: u32 = 10;
/// Bytes of a prompt's token.
pub(super) const TOKEN_BYTES: u64 = 4;

/// Who places.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementPolicy {
    /// The real dispatcher.
    Dispatcher(DispatchPolicy),
    /// A baseline.
    Baseline(Baseline),
}

/// What a replay is run with.
#[derive(Clone, Copy, Debug)]
pub struct ReplayOptions {
    /// Who places.
    pub policy: PlacementPolicy,
    /// Engines.
    pub engines: usize,
    /// Their cost model.
    pub config: EngineConfig,
    /// Seed of what the replay draws itself.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    Arrive(usize),
    StepEnd(usize, u64),
    Announce(usize),
    Tick,
    Reread,
    Die(usize),
    Restart(usize),
    /// A request asks again after a failed attempt.
    Retry(usize),
}

/// A request in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    pub(super) attempt: u32,
    /// Last attempt whose first token came.
    pub(super) started: u32,
    pub(super) tokens: u64,
    pub(super) servers: Vec<usize>,
    pub(super) avoid: Vec<ServerId>,
    pub(super) done: bool,
    pub(super) ended: Ended,
}

pub(super) struct Replay<'a> {
    pub(super) trace: &'a Trace,
    pub(super) options: ReplayOptions,
    pub(super) events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(super) order: u64,
    pub(super) now: u64,
    pub(super) engines: Vec<Engine>,
    pub(super) dispatcher: Dispatcher,
    pub(super) baseline: BaselineState,
    pub(super) promised: Vec<(u32, u64)>,
    pub(super) estimator: Estimator,
    pub(super) budget: RetryBudget,
    pub(super) progress: Vec<Progress>,
    pub(super) by_key: BTreeMap<String, usize>,
    pub(super) rule: Arc<ServiceRule>,
    pub(super) poisoned: usize,
    pub(super) rng: Rng,
}

/// Replays a trace; returns the sums and a sample for each request.
#[must_use]
pub fn replay(trace: &Trace, options: ReplayOptions) -> (ReplayResult, Vec<Sample>) {
    let mut replay = Replay::new(trace, options);
    let end = trace.arrivals.last().map_or(0, |arrival| arrival.at_ms) + TAIL_MS;
    while let Some(Reverse((at, _, event))) = replay.events.pop() {
        if at > end || replay.progress.iter().all(|progress| progress.done) {
            break;
        }
        replay.now = at;
        replay.happen(event);
    }
    replay.result()
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, options: ReplayOptions) -> Self {
        let rule = Arc::new(service_rule());
        let policy = match options.policy {
            PlacementPolicy::Dispatcher(policy) => policy,
            PlacementPolicy::Baseline(_) => DispatchPolicy::FIRST_TOKEN,
        };
        let mut dispatcher = Dispatcher::new(Moment::from_millis(0));
        dispatcher.set_manifest(manifest(&rule, policy, CUSTOMERS));
        let mut replay = Self {
            trace,
            options,
            events: BinaryHeap::new(),
            order: 0,
            now: 0,
            engines: (0..options.engines)
                .map(|n| Engine::new(n, options.config))
                .collect(),
            dispatcher,
            baseline: BaselineState::default(),
            promised: vec![(0, 0); options.engines],
            estimator: Estimator::default(),
            budget: RetryBudget::default(),
            progress: vec![Progress::default(); trace.arrivals.len()],
            by_key: BTreeMap::new(),
            rule,
            poisoned: 0,
            rng: Rng::with_seed(options.seed),
        };
        for number in 0..options.engines {
            replay.happen(Event::Announce(number));
        }
        for (index, arrival) in trace.arrivals.iter().enumerate() {
            replay.schedule(arrival.at_ms, Event::Arrive(index));
        }
        for (at, engine) in &trace.losses {
            replay.schedule(*at, Event::Die(*engine));
        }
        replay.schedule(TICK_MS, Event::Tick);
        replay.schedule(REREAD_MS, Event::Reread);
        replay
    }

    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    pub(super) fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => {
                self.budget.earn(self.rule.retry_percent);
                self.progress[index].attempt = 1;
                self.ask(index);
            }
            Event::Retry(index) => self.ask(index),
            Event::StepEnd(number, incarnation) => self.end_step(number, incarnation),
            Event::Announce(number) => self.announce(number),
            Event::Tick => {
                self.dispatcher.tick(self.moment());
                self.refuse_late();
                self.schedule(self.now + TICK_MS, Event::Tick);
            }
            Event::Reread => self.reread(),
            Event::Die(number) => self.die(number),
            Event::Restart(number) => {
                self.engines[number].start_again();
                self.announce(number);
            }
        }
        self.flush();
        self.place_baseline();
    }

    fn announce(&mut self, number: usize) {
        if self.engines[number].dead {
            return;
        }
        let one_in = self.trace.gap_one_in;
        let lose = one_in > 0 && self.rng.u32(..one_in) == 0;
        let announced = self.engines[number].announce(self.now, self.trace.report_lag_ms, lose);
        self.dispatcher.announce(self.moment(), announced);
        self.schedule(self.now + ANNOUNCE_MS, Event::Announce(number));
    }

    fn reread(&mut self) {
        let distrusted: Vec<_> = self
            .dispatcher
            .registry()
            .all()
            .filter(|server| server.cache.is_out_of_sync())
            .map(|server| (server.announced.key(), server.announced.incarnation))
            .collect();
        for (key, incarnation) in distrusted {
            let model = &self.engines[server_number(&key.id)].model;
            let view = CacheView::from_snapshot(model.next_event(), model.cached_blocks());
            self.dispatcher.reset_cache_view(&key, incarnation, view);
        }
        self.schedule(self.now + REREAD_MS, Event::Reread);
    }

    fn ask(&mut self, index: usize) {
        if let PlacementPolicy::Baseline(_) = self.options.policy {
            self.baseline.queue.push_back(index);
            return;
        }
        let ask = self.make_ask(index);
        self.dispatcher.submit(self.moment(), ask);
    }

    fn make_ask(&self, index: usize) -> AttemptSpec {
        let arrival = &self.trace.arrivals[index];
        let customer = customer_name(arrival.customer);
        let bytes = usize::try_from(arrival.prompt_tokens * TOKEN_BYTES).unwrap_or(usize::MAX);
        let limit = Tokens(arrival.max_tokens);
        let work = self
            .estimator
            .estimate(&customer, &self.rule.name, bytes, limit);
        let content = if arrival.poison {
            u64::from(POISON_KIND)
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
            prefix: Arc::from(blocks(arrival, index)),
            digest: ContentDigest::of(&content.to_le_bytes()),
            time_left: self.deadline(index).since(self.moment()),
            avoid: self.progress[index].avoid.clone(),
        }
    }

    pub(super) fn deadline(&self, index: usize) -> Moment {
        let arrival = &self.trace.arrivals[index];
        let time = self.rule.deadline_for(Tokens(arrival.prompt_tokens));
        Moment::from_millis(arrival.at_ms) + time
    }

    fn flush(&mut self) {
        for output in self.dispatcher.take_outputs() {
            match output {
                DispatchOutput::Grant(grant) => self.run(&grant),
                DispatchOutput::Refuse {
                    request, refusal, ..
                } => {
                    let index = usize::try_from(request.0).unwrap_or_default();
                    let touched = self.progress[index].attempt > 1;
                    self.end(
                        index,
                        !touched || refusal.reason == RefusalReason::Quarantined,
                    );
                }
                DispatchOutput::Cancel { .. } | DispatchOutput::Quarantine(_) => {}
            }
        }
    }

    pub(super) fn end(&mut self, index: usize, refused: bool) {
        self.progress[index].done = true;
        self.progress[index].ended.refused = refused;
    }

    pub(super) fn tell(&mut self, index: usize, end: AttemptEnd) {
        let attempt = AttemptId(self.progress[index].attempt);
        let finish = Finish {
            request: RequestId(index as u128),
            attempt,
            end,
        };
        self.dispatcher.finish(self.moment(), &finish);
    }

    /// Ends an attempt and asks again where the rules of retries allow it.
    pub(super) fn fail(&mut self, index: usize, end: AttemptEnd, wait_ms: u64) {
        let run = match end {
            AttemptEnd::Refused => merlinrudder_core::outcome::RunState::NotRun,
            _ => merlinrudder_core::outcome::RunState::MayHaveRun,
        };
        self.tell(index, end);
        let (now, deadline) = (self.moment(), self.deadline(index));
        let question = RetryContext {
            idempotent: true,
            run,
            now,
            deadline,
        };
        if !question.allowed() || !self.budget.try_spend() {
            self.end(index, false);
            return;
        }
        self.progress[index].attempt += 1;
        self.progress[index].ended.retries += 1;
        self.schedule(self.now + wait_ms, Event::Retry(index));
    }

    fn die(&mut self, number: usize) {
        if self.engines[number].dead {
            return;
        }
        self.engines[number].die();
        self.schedule(self.now + RESTART_MS, Event::Restart(number));
        let hit: Vec<_> = (0..self.progress.len())
            .filter(|index| !self.progress[*index].done)
            .filter(|index| self.progress[*index].servers.contains(&number))
            .collect();
        for index in hit {
            self.progress[index].avoid.push(server_id(number));
            self.release(index);
            self.fail(index, AttemptEnd::ServerDied(server_id(number)), NOTICE_MS);
        }
    }

    /// Ends what is past its deadline, as entries do.
    fn refuse_late(&mut self) {
        let now = self.moment();
        let started = self
            .trace
            .arrivals
            .partition_point(|arrival| arrival.at_ms <= self.now);
        for index in 0..started {
            if self.progress[index].done || now <= self.deadline(index) {
                continue;
            }
            if !self.progress[index].servers.is_empty() {
                self.tell(index, AttemptEnd::Cancelled);
                self.release(index);
            }
            self.baseline.queue.retain(|waiting| *waiting != index);
            self.end(index, false);
        }
    }

    fn place_baseline(&mut self) {
        let PlacementPolicy::Baseline(rule) = self.options.policy else {
            return;
        };
        while let Some(index) = self.baseline.queue.front().copied() {
            let need = self.need(index);
            let seen = self.seen();
            let Some(group) = self.baseline.choose(rule, need, &seen) else {
                return;
            };
            self.baseline.queue.pop_front();
            let servers = split(need, &group, &seen);
            if self.start(index, &servers) {
                for (place, (number, _)) in servers.iter().enumerate() {
                    self.promised[*number].0 += u32::from(place == 0);
                    self.promised[*number].1 += need / servers.len() as u64;
                }
            } else {
                self.fail(index, AttemptEnd::Refused, NOTICE_MS);
            }
        }
    }

    fn seen(&self) -> Vec<SeenEngine> {
        let seen = |engine: &Engine| SeenEngine {
            alive: !engine.dead,
            running: engine.model.running() + engine.model.waiting(),
            free: self
                .options
                .config
                .memory
                .saturating_sub(engine.model.memory_used()),
            slots: self.options.config.slots,
        };
        self.engines.iter().map(seen).collect()
    }

    fn result(self) -> (ReplayResult, Vec<Sample>) {
        let samples: Vec<_> = self
            .trace
            .arrivals
            .iter()
            .zip(&self.progress)
            .filter(|(arrival, _)| !arrival.poison)
            .map(|(arrival, progress)| Sample {
                prompt: arrival.prompt_tokens,
                output: arrival.output_tokens,
                customer: arrival.customer,
                ended: progress.ended,
            })
            .collect();
        let last = self
            .trace
            .arrivals
            .last()
            .map_or(1, |arrival| arrival.at_ms)
            .max(1);
        let seconds = Duration::from_millis(last).as_secs_f64();
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

/// Splits memory over a baseline's group: the first gives what it has, the others the rest.
fn split(need: u64, group: &[usize], seen: &[SeenEngine]) -> Vec<(usize, u64)> {
    let mut left = need;
    let mut servers = Vec::new();
    for number in group {
        let tokens = left.min(seen[*number].free);
        left -= tokens;
        servers.push((*number, tokens));
    }
    servers
}
