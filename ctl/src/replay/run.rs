//! One replay: events in order of time, against the dispatcher or a baseline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::dispatch::Dispatcher;
use merlinrudder_core::dispatch::message::{Ask, AttemptEnd, DispatchOutput, Finish, Grant};
use merlinrudder_core::estimate::{Estimator, WorkEstimate};
use merlinrudder_core::manifest::{
    CustomerRule, Manifest, ManifestNumber, Policy as Weighing, ServiceKind, ServiceRule,
};
use merlinrudder_core::names::{CustomerName, ServerId, ServiceName, VmId};
use merlinrudder_core::outcome::RefusalReason;
use merlinrudder_core::registry::CacheView;
use merlinrudder_core::retry::{RetryBudget, RetryQuestion};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, ContentDigest, RequestId, Tokens};
use merlinrudder_fakes::engine::model::{EngineConfig, Sequence, SequenceKey};

use super::baseline::{Baseline, BaselineState, SeenEngine};
use super::fleet::{Engine, server_id, server_number};
use super::result::{Ended, ReplayResult, Sample};
use super::trace::{Arrival, POISON_KIND, Trace, blocks};

/// Time between two ticks of the dispatcher.
const TICK_MS: u64 = 25;
/// Time between two announcements of an engine.
const ANNOUNCE_MS: u64 = 500;
/// Time between two readings of distrusted caches.
const REREAD_MS: u64 = 5_000;
/// Time that a dead engine stays away.
const RESTART_MS: u64 = 20_000;
/// Time from a death until an entry has noticed it.
const NOTICE_MS: u64 = 50;
/// Time after the last arrival until the replay ends.
const TAIL_MS: u64 = 900_000;
/// Bytes of a prompt's token.
const TOKEN_BYTES: u64 = 4;

/// Who places.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The real dispatcher.
    Dispatcher(Weighing),
    /// A baseline.
    Baseline(Baseline),
}

/// What a replay is run with.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Who places.
    pub policy: Policy,
    /// Engines.
    pub engines: usize,
    /// Their cost model.
    pub config: EngineConfig,
    /// Seed of what the replay draws itself.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
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
struct Progress {
    attempt: u32,
    /// Last attempt whose first token came.
    started: u32,
    tokens: u64,
    servers: Vec<usize>,
    avoid: Vec<ServerId>,
    done: bool,
    ended: Ended,
}

struct Replay<'a> {
    trace: &'a Trace,
    options: Options,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    now: u64,
    engines: Vec<Engine>,
    dispatcher: Dispatcher,
    baseline: BaselineState,
    promised: Vec<(u32, u64)>,
    estimator: Estimator,
    budget: RetryBudget,
    progress: Vec<Progress>,
    by_key: BTreeMap<String, usize>,
    rule: Arc<ServiceRule>,
    poisoned: usize,
    rng: Rng,
}

/// Replays a trace; returns the sums and a sample for each request.
#[must_use]
pub fn replay(trace: &Trace, options: Options) -> (ReplayResult, Vec<Sample>) {
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
    fn new(trace: &'a Trace, options: Options) -> Self {
        let rule = Arc::new(service_rule());
        let weighing = match options.policy {
            Policy::Dispatcher(weighing) => weighing,
            Policy::Baseline(_) => Weighing::FIRST_TOKEN,
        };
        let mut dispatcher = Dispatcher::open(Moment::from_millis(0));
        dispatcher.set_manifest(manifest(&rule, weighing));
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

    fn schedule(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn moment(&self) -> Moment {
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
            .filter(|server| server.cache.is_distrusted())
            .map(|server| (server.announced.key(), server.announced.incarnation))
            .collect();
        for (key, incarnation) in distrusted {
            let model = &self.engines[server_number(&key.id)].model;
            let view = CacheView::read(model.next_event(), model.cached_blocks());
            self.dispatcher.cache_read(&key, incarnation, view);
        }
        self.schedule(self.now + REREAD_MS, Event::Reread);
    }

    fn ask(&mut self, index: usize) {
        if let Policy::Baseline(_) = self.options.policy {
            self.baseline.queue.push_back(index);
            return;
        }
        let ask = self.make_ask(index);
        self.dispatcher.ask(self.moment(), ask);
    }

    fn make_ask(&self, index: usize) -> Ask {
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
        Ask {
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

    fn deadline(&self, index: usize) -> Moment {
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
                DispatchOutput::Cancel { .. } | DispatchOutput::Convict(_) => {}
            }
        }
    }

    fn run(&mut self, grant: &Grant) {
        let index = usize::try_from(grant.request.0).unwrap_or_default();
        let servers: Vec<_> = grant
            .servers
            .iter()
            .map(|server| (server_number(&server.id), server.memory.0))
            .collect();
        if self.start(index, &servers) {
            return;
        }
        self.fail(index, AttemptEnd::Refused, NOTICE_MS);
    }

    /// Starts a request on engines; the first runs it, the others hold memory.
    fn start(&mut self, index: usize, servers: &[(usize, u64)]) -> bool {
        let arrival = &self.trace.arrivals[index];
        let progress = &mut self.progress[index];
        let key = SequenceKey {
            request: index.to_string(),
            attempt: progress.attempt,
        };
        if servers.iter().any(|(number, _)| self.engines[*number].dead) {
            return false;
        }
        progress.servers = servers.iter().map(|(number, _)| *number).collect();
        for (number, tokens) in &servers[1..] {
            let lease = Duration::from_hours(1);
            let held = self.engines[*number]
                .model
                .reserve(key.clone(), *tokens, lease);
            if held.is_err() {
                self.release(index);
                return false;
            }
        }
        let sequence = Sequence {
            key: key.clone(),
            context: arrival.prompt_tokens + self.progress[index].tokens,
            blocks: blocks(arrival, index),
            next: self.progress[index].tokens,
            total: arrival.output_tokens,
            priority: self.priority(arrival),
            memory: servers[0].1,
        };
        let first = servers[0].0;
        if self.engines[first].model.admit(sequence).is_err() {
            self.release(index);
            return false;
        }
        self.by_key.insert(key.request, index);
        if arrival.poison {
            self.poisoned += 1;
            self.schedule(self.now + 1, Event::Die(first));
        }
        self.begin_step(first);
        true
    }

    /// Entries give engines a priority by length; a baseline knows none.
    fn priority(&self, arrival: &Arrival) -> u8 {
        if matches!(self.options.policy, Policy::Baseline(_)) {
            return 0;
        }
        let prompt = Tokens(arrival.prompt_tokens);
        WorkEstimate {
            prompt,
            ..WorkEstimate::default()
        }
        .priority()
    }

    fn begin_step(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.step.is_some() || engine.dead || engine.model.is_idle() {
            return;
        }
        let step = engine.model.step();
        let millis = u64::try_from(step.time.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        engine.step = Some(step);
        let incarnation = engine.incarnation;
        self.schedule(self.now + millis, Event::StepEnd(number, incarnation));
    }

    fn end_step(&mut self, number: usize, incarnation: u64) {
        let engine = &mut self.engines[number];
        if engine.incarnation != incarnation {
            return;
        }
        let Some(step) = engine.step.take() else {
            return;
        };
        for (key, token) in step.tokens {
            if let Some(index) = self.by_key.get(&key.request).copied() {
                self.token(index, key.attempt, token);
            }
        }
        for key in step.finished {
            if let Some(index) = self.by_key.get(&key.request).copied() {
                self.finish(index);
            }
        }
        self.begin_step(number);
    }

    fn token(&mut self, index: usize, attempt: u32, token: u64) {
        let at = self.trace.arrivals[index].at_ms;
        let now = self.now;
        let progress = &mut self.progress[index];
        if progress.attempt != attempt || progress.done {
            return;
        }
        progress.tokens = token + 1;
        progress.ended.first_ms.get_or_insert(now - at);
        if progress.started != attempt {
            progress.started = attempt;
            let request = RequestId(index as u128);
            self.dispatcher
                .started(self.moment(), request, AttemptId(attempt));
        }
    }

    fn finish(&mut self, index: usize) {
        let arrival = &self.trace.arrivals[index];
        let in_time = self.moment() <= self.deadline(index);
        let total = self.now - arrival.at_ms;
        let customer = customer_name(arrival.customer);
        let bytes = usize::try_from(arrival.prompt_tokens * TOKEN_BYTES).unwrap_or(usize::MAX);
        let (prompt, output) = (Tokens(arrival.prompt_tokens), Tokens(arrival.output_tokens));
        self.estimator
            .observe(&customer, &self.rule.name, bytes, prompt, output);
        self.progress[index].ended.whole_ms = in_time.then_some(total);
        self.tell(index, AttemptEnd::Complete);
        self.release(index);
        self.end(index, false);
    }

    fn end(&mut self, index: usize, refused: bool) {
        self.progress[index].done = true;
        self.progress[index].ended.refused = refused;
    }

    fn tell(&mut self, index: usize, end: AttemptEnd) {
        let attempt = AttemptId(self.progress[index].attempt);
        let finish = Finish {
            request: RequestId(index as u128),
            attempt,
            end,
        };
        self.dispatcher.finish(self.moment(), &finish);
    }

    /// Frees all that a request holds.
    fn release(&mut self, index: usize) {
        let attempt = self.progress[index].attempt;
        let request = index.to_string();
        let servers = std::mem::take(&mut self.progress[index].servers);
        let need = self.need(index);
        for (place, number) in servers.iter().enumerate() {
            let engine = &mut self.engines[*number];
            engine.model.cancel(&request, attempt);
            engine.model.release(&request, attempt);
            if let Policy::Baseline(_) = self.options.policy {
                let (running, tokens) = &mut self.promised[*number];
                *running = running.saturating_sub(u32::from(place == 0));
                let share = need / servers.len() as u64;
                *tokens = tokens.saturating_sub(share);
            }
        }
    }

    fn need(&self, index: usize) -> u64 {
        let arrival = &self.trace.arrivals[index];
        arrival.prompt_tokens + arrival.max_tokens
    }

    /// Ends an attempt and asks again where the rules of retries allow it.
    fn fail(&mut self, index: usize, end: AttemptEnd, wait_ms: u64) {
        let run = match end {
            AttemptEnd::Refused => merlinrudder_core::outcome::RunState::NotRun,
            _ => merlinrudder_core::outcome::RunState::MayHaveRun,
        };
        self.tell(index, end);
        let (now, deadline) = (self.moment(), self.deadline(index));
        let question = RetryQuestion {
            idempotent: true,
            run,
            now,
            deadline,
        };
        if !question.allowed() || !self.budget.spend() {
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
        let Policy::Baseline(rule) = self.options.policy else {
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
        result.open = self
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

fn customer_name(number: u32) -> CustomerName {
    CustomerName::from(format!("customer-{number}"))
}

fn service_rule() -> ServiceRule {
    ServiceRule {
        name: ServiceName::from("model"),
        kind: ServiceKind::Model,
        zones: Vec::new(),
        models: Vec::new(),
        deadline: Duration::from_mins(1),
        thousand_deadline: Duration::from_millis(600),
        max_output: Tokens(4096),
        retry_percent: 10,
        queue_limit: 2_000,
        checks_fencing: true,
        routes: Vec::new(),
    }
}

fn manifest(rule: &Arc<ServiceRule>, policy: Weighing) -> Arc<Manifest> {
    let customers = (0..10).map(|number| {
        let rule = CustomerRule {
            name: customer_name(number),
            token: ContentDigest([0; 32]),
            weight: if number < 2 { 4 } else { 1 },
            max_running: 2_000,
            services: Vec::new(),
        };
        (rule.name.clone(), Arc::new(rule))
    });
    Arc::new(Manifest {
        number: ManifestNumber(1),
        digest: ContentDigest([0; 32]),
        services: BTreeMap::from([(rule.name.clone(), Arc::clone(rule))]),
        customers: customers.collect(),
        policy,
    })
}
