//! Simulated fleet under bursts: callers, entry VMs that place prompts, and engines.
//!
//! Each entry VM has a view of the loads that is `NEWS_DELAY_MS` old.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::directory::{Incarnation, ServerRecord, ServerStage};
use merlinrudder_core::engine_model::{EngineProfile, as_float};
use merlinrudder_core::engine_placement::decision::PlacementDecision;
use merlinrudder_core::engine_placement::loads::{EngineLoad, PlacedPrompt, PlacementKey};
use merlinrudder_core::engine_placement::{Placement, PlacementRequest};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::{ServerId, VmId, ZoneName};
use merlinrudder_core::rank::{ServiceRanks, Standing};
use merlinrudder_core::time::Moment;

use super::engine_sim::{JobId, Part, SimEngine};
use super::learning_sim::{Awaited, EntryVms, LearningSim, Policy};
use crate::fleets::{rates, service};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Age of the news that entry VMs have of each other's placements.
const NEWS_DELAY_MS: u64 = 10;
/// Mean time after which an entry VM decides again on a prompt that waits.
const POLL_MS: f64 = 25.0;
/// Time after which a caller comes back that was refused.
const RETURN_MS: f64 = 500.0;
/// Time that a connection to a dead engine takes to fail.
const DEAD_CONNECT_MS: u64 = 150;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Mean length of a prompt, in tokens.
    pub mean: f64,
    /// Standard deviation of the length's logarithm.
    pub spread: f64,
    /// Longest prompt, in tokens.
    pub max: f64,
    /// Events of an answer.
    pub events: u32,
    pub objective_ms: u64,
    pub pause_ms: u64,
    pub deadline_ms: u64,
    /// Value of an answer of mean length in time.
    pub value: f64,
    /// Rank of the route.
    pub rank: u8,
}

impl Kind {
    /// Returns the value of an answer to a prompt.
    fn value_of(&self, prompt: u64) -> f64 {
        self.value * (0.3 + 0.7 * as_float(prompt) / self.mean).min(4.0)
    }

    /// Time without an event after which the caller leaves.
    fn patience_ms(&self) -> u64 {
        (self.objective_ms * 4).max(self.pause_ms * 8).max(2000)
    }
}

/// What a caller got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    InTime,
    Late,
    Refused,
    /// The deadline passed, or the caller left.
    Lost,
}

impl Outcome {
    pub fn is_served(self) -> bool {
        matches!(self, Self::InTime | Self::Late)
    }
}

/// Trouble of some engines for a while.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub first_engine: usize,
    pub engines: usize,
    pub from_ms: u64,
    pub to_ms: u64,
    /// Factor on the time of their passes; 0 if they are dead.
    pub pace: f64,
}

/// Load of the simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub engines: usize,
    pub profile: EngineProfile,
    pub kinds: Vec<Kind>,
    /// Phases one after the other: length in milliseconds, and the rate of each kind a second.
    pub phases: Vec<(u64, Vec<f64>)>,
    pub troubles: Vec<Trouble>,
    pub entry_vms: EntryVms,
    /// Number of engines, from the first one on, that slow down above a number of answers, with that
    /// number and the factor on the time of their passes.
    pub knee: Option<(usize, usize, f64)>,
    /// Ranks of the kinds.
    pub ranks: ServiceRanks,
}

impl Load {
    /// Returns how requests of a kind stand against the others.
    fn standing(&self, kind: &Kind) -> Standing {
        self.ranks.standing(kind.rank)
    }
}

/// A request with its outcome.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub kind: usize,
    pub prompt: u64,
    pub came_at: u64,
    pub outcome: Outcome,
    /// Value that its caller got.
    pub gained: f64,
    pub value: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Waits at an entry VM, which decides again at this time.
    Waiting(f64),
    /// Was refused; the caller comes back at this time.
    Away(f64),
    Placed,
    Over(Outcome),
}

#[derive(Debug)]
struct Job {
    kind: usize,
    prompt: u64,
    /// Entry VM that the caller sends to.
    vm: usize,
    came_at: u64,
    /// When the entry VM received the present attempt of the caller.
    received_at: u64,
    refusals: u32,
    state: State,
    seed: u64,
    engines: Vec<usize>,
    parts_left: usize,
    lead_context: u64,
    events: u32,
    first_at: Option<u64>,
    last_at: u64,
    longest_pause: u64,
    /// Number of the present placement; placements are numbered from 1.
    placement: u64,
}

enum News {
    Placed(PlacedPrompt),
    FirstEvent,
    Ended,
}

/// The simulation.
pub struct BurstSim {
    load: Load,
    /// Draws arrivals, so that they do not depend on decisions.
    arrival_rng: Rng,
    rng: Rng,
    fleets: Vec<Fleet>,
    engines: Vec<SimEngine>,
    dead: Vec<bool>,
    jobs: Vec<Job>,
    open: Vec<JobId>,
    news: VecDeque<(u64, PlacementKey, News)>,
    placements: u64,
    arrivals: u64,
    pub learning: LearningSim,
}

impl BurstSim {
    pub fn new(load: Load, seed: u64) -> Self {
        let zones = ZONES.iter().cycle().take(load.entry_vms.count);
        let mut fleets: Vec<_> = zones.map(|zone| build_fleet(zone, &load)).collect();
        let mut engines: Vec<_> = (0..load.engines).map(|_| SimEngine::default()).collect();
        if let Some((count, answers, factor)) = load.knee {
            for engine in &mut engines[..count] {
                engine.knee = Some((answers, factor));
            }
        }
        Self {
            arrival_rng: Rng::with_seed(seed),
            rng: Rng::with_seed(seed),
            learning: LearningSim::new(load.entry_vms, seed, &mut fleets),
            fleets,
            engines,
            dead: vec![false; load.engines],
            jobs: Vec::new(),
            open: Vec::new(),
            news: VecDeque::new(),
            placements: 0,
            arrivals: 0,
            load,
        }
    }

    /// Plays all phases, and returns what each request got.
    pub fn run(self) -> Vec<Record> {
        self.play().0
    }

    /// Plays all phases, and returns what each request got and what was learned.
    pub fn play(mut self) -> (Vec<Record>, LearningSim) {
        let phases = self.load.phases.clone();
        let mut now = 0;
        for (length, rates) in phases {
            for _ in 0..length {
                now += 1;
                self.arrive(now, &rates);
                self.step(now);
            }
        }
        while !self.open.is_empty() {
            now += 1;
            self.step(now);
        }
        let records = self.jobs.iter().map(|job| self.record(job)).collect();
        (records, self.learning)
    }

    fn record(&self, job: &Job) -> Record {
        let kind = &self.load.kinds[job.kind];
        let value = kind.value_of(job.prompt);
        let State::Over(outcome) = job.state else {
            unreachable!("the simulation runs until all requests are over");
        };
        let gained = match outcome {
            Outcome::InTime => value,
            Outcome::Late => value / 4.0,
            Outcome::Refused | Outcome::Lost => 0.0,
        };
        Record {
            kind: job.kind,
            prompt: job.prompt,
            came_at: job.came_at,
            outcome,
            gained,
            value,
        }
    }

    fn arrive(&mut self, now: u64, rates: &[f64]) {
        for (index, rate) in rates.iter().enumerate() {
            let mut expected = rate / 1000.0;
            while expected > 0.0 {
                if self.arrival_rng.f64() < expected {
                    self.add_job(now, index);
                }
                expected -= 1.0;
            }
        }
    }

    fn add_job(&mut self, now: u64, index: usize) {
        let kind = self.load.kinds[index];
        let normal = self.normal();
        let shift = kind.spread * kind.spread / 2.0;
        let drawn = kind.mean * (normal * kind.spread - shift).exp();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive length below `max`"
        )]
        let prompt = drawn.clamp(100.0, kind.max) as u64;
        self.open.push(self.jobs.len());
        self.jobs.push(Job {
            kind: index,
            prompt,
            vm: self.arrival_rng.usize(..self.load.entry_vms.count),
            came_at: now,
            received_at: now,
            refusals: 0,
            state: State::Waiting(0.0),
            seed: self.arrival_rng.u64(..),
            engines: Vec::new(),
            parts_left: 0,
            lead_context: 0,
            events: 0,
            first_at: None,
            last_at: now,
            longest_pause: 0,
            placement: 0,
        });
    }

    fn normal(&mut self) -> f64 {
        let rng = &mut self.arrival_rng;
        let (radius, angle) = (rng.f64().max(1e-12), rng.f64());
        (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
    }

    fn step(&mut self, now: u64) {
        self.apply_troubles(now);
        self.apply_news(now);
        self.learning.step(now, &mut self.fleets);
        for engine in 0..self.engines.len() {
            if !self.dead[engine] {
                self.advance_engine(now, engine);
            }
        }
        for job in self.open.clone() {
            self.advance_job(now, job);
        }
        let jobs = &self.jobs;
        self.open
            .retain(|job| !matches!(jobs[*job].state, State::Over(_)));
    }

    fn apply_troubles(&mut self, now: u64) {
        for trouble in self.load.troubles.clone() {
            let range = trouble.first_engine..trouble.first_engine + trouble.engines;
            for engine in range {
                if now == trouble.to_ms {
                    self.engines[engine].pace = 1.0;
                    self.dead[engine] = false;
                } else if now == trouble.from_ms && trouble.pace > 0.0 {
                    self.engines[engine].pace = trouble.pace;
                } else if now == trouble.from_ms {
                    self.kill(now, engine);
                }
            }
        }
    }

    fn kill(&mut self, now: u64, engine: usize) {
        self.dead[engine] = true;
        for job in self.engines[engine].jobs() {
            self.fail_attempt(now, job, engine, ServerOutcome::Failed);
        }
        self.engines[engine] = SimEngine::default();
    }

    /// Ends an attempt at some engine; the job is placed again.
    fn fail_attempt(&mut self, now: u64, job: JobId, engine: usize, outcome: ServerOutcome) {
        self.withdraw(now, job);
        let wait = match outcome {
            ServerOutcome::Unreachable => DEAD_CONNECT_MS,
            _ => 10,
        };
        self.jobs[job].state = State::Waiting(as_float(now + wait));
        for fleet in &mut self.fleets {
            fleet.record_outcome(Moment::from_millis(now), &server_id(engine), outcome);
        }
    }

    fn apply_news(&mut self, now: u64) {
        let moment = Moment::from_millis(now);
        while self
            .news
            .front()
            .is_some_and(|(at, _, _)| at + NEWS_DELAY_MS <= now)
        {
            let Some((_, key, news)) = self.news.pop_front() else {
                return;
            };
            for fleet in &mut self.fleets {
                match &news {
                    News::Placed(placed) => {
                        fleet.add_placement(moment, &key, &self.load.profile, placed);
                    }
                    News::FirstEvent => fleet.loads.mark_prefilled(&key),
                    News::Ended => fleet.loads.remove(moment, &key),
                }
            }
        }
    }

    fn advance_engine(&mut self, now: u64, engine: usize) {
        let profile = self.load.profile;
        let result = self.engines[engine].advance(as_float(now), &profile);
        for job in result.prefilled {
            self.jobs[job].parts_left -= 1;
            if self.jobs[job].parts_left == 0 {
                let (lead, context) = (self.jobs[job].engines[0], self.jobs[job].lead_context);
                self.engines[lead].write(job, context);
            }
        }
        for job in result.events {
            self.record_event(now, job);
        }
    }

    fn record_event(&mut self, now: u64, number: JobId) {
        if self.jobs[number].first_at.is_none() {
            self.learning.first_event(now, number, &mut self.fleets);
        }
        let job = &mut self.jobs[number];
        let kind = &self.load.kinds[job.kind];
        job.events += 1;
        if job.first_at.is_none() {
            job.first_at = Some(now);
            let key = placement_key(job.placement);
            self.news.push_back((now, key, News::FirstEvent));
        } else {
            job.longest_pause = job.longest_pause.max(now - job.last_at);
        }
        job.last_at = now;
        if job.events < kind.events {
            return;
        }
        let first = job.first_at.map_or(u64::MAX, |first| first - job.came_at);
        let in_time = first <= kind.objective_ms && job.longest_pause <= kind.pause_ms;
        let outcome = if in_time {
            Outcome::InTime
        } else {
            Outcome::Late
        };
        self.end(now, number, outcome);
    }

    fn end(&mut self, now: u64, job: JobId, outcome: Outcome) {
        self.withdraw(now, job);
        self.jobs[job].state = State::Over(outcome);
    }

    /// Takes a job off its engines.
    fn withdraw(&mut self, now: u64, job: JobId) {
        self.learning.forget(job);
        for engine in std::mem::take(&mut self.jobs[job].engines) {
            self.engines[engine].drop_job(job);
        }
        let placement = std::mem::take(&mut self.jobs[job].placement);
        if placement > 0 {
            self.news
                .push_back((now, placement_key(placement), News::Ended));
        }
    }

    fn advance_job(&mut self, now: u64, number: JobId) {
        let job = &self.jobs[number];
        let kind = self.load.kinds[job.kind];
        let silent = now - job.last_at;
        let is_over = now - job.came_at > kind.deadline_ms || silent > kind.patience_ms();
        match job.state {
            State::Over(_) => {}
            _ if is_over => self.end(now, number, Outcome::Lost),
            State::Waiting(at) if at <= as_float(now) => self.decide(now, number),
            State::Away(at) if at <= as_float(now) => {
                let job = &mut self.jobs[number];
                job.received_at = now;
                job.state = State::Waiting(0.0);
                self.decide(now, number);
            }
            State::Waiting(_) | State::Away(_) | State::Placed => {}
        }
    }

    fn decide(&mut self, now: u64, number: JobId) {
        let job = &self.jobs[number];
        let kind = self.load.kinds[job.kind];
        let answer_tokens = as_float(u64::from(kind.events)) * self.load.profile.pass_steps;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive number of tokens"
        )]
        let request = PlacementRequest {
            prompt_tokens: job.prompt,
            answer_tokens: answer_tokens as u64,
            waited: Duration::from_millis(now - job.received_at),
            ttft_objective: Duration::from_millis(kind.objective_ms),
            pause_objective: Duration::from_millis(kind.pause_ms),
            weight: self.load.standing(&kind).weight,
            time_left: Duration::from_millis(kind.deadline_ms - (now - job.came_at)),
            random_seed: job.seed,
        };
        let moment = Moment::from_millis(now);
        let fleet = &self.fleets[job.vm];
        let profile = self.load.profile;
        let chosen = fleet.choose_engines(moment, &service(), &profile, &request, &[]);
        let (mut placement, decision) = chosen.expect("an engine");
        if self.load.entry_vms.policy != Policy::Predicted {
            placement.lead = self.naive_lead(number);
            placement.helpers.clear();
            placement.helper_tokens = 0;
            self.place(now, number, &request, &placement);
            return;
        }
        match decision {
            PlacementDecision::Place => self.place(now, number, &request, &placement),
            PlacementDecision::Wait => {
                let wait = POLL_MS * (0.5 + self.rng.f64());
                self.jobs[number].state = State::Waiting(as_float(now) + wait);
            }
            PlacementDecision::Refuse => self.refuse(now, number),
        }
    }

    /// Chooses an engine without predictions.
    fn naive_lead(&mut self, number: JobId) -> ServerId {
        let loads = &self.fleets[self.jobs[number].vm].loads;
        let count = |engine: &usize| {
            let load = loads.load(&server_id(*engine));
            load.map_or(0, EngineLoad::lead_count)
        };
        let first = self.rng.usize(..self.engines.len());
        let order = (first..self.engines.len()).chain(0..first);
        let engine = match self.load.entry_vms.policy {
            Policy::LeastLoaded => order.min_by_key(count),
            Policy::FixedWeights | Policy::Predicted => Some(first),
        };
        server_id(engine.unwrap_or(first))
    }

    /// Refuses a job; its caller comes back once.
    fn refuse(&mut self, now: u64, number: JobId) {
        let wait = RETURN_MS * (1.0 + self.rng.f64() / 2.0);
        let job = &mut self.jobs[number];
        job.refusals += 1;
        job.state = if job.refusals > 1 {
            State::Over(Outcome::Refused)
        } else {
            State::Away(as_float(now) + wait)
        };
    }

    fn place(
        &mut self,
        now: u64,
        number: JobId,
        request: &PlacementRequest,
        placement: &Placement,
    ) {
        self.placements += 1;
        let helpers = placement.helpers.iter().map(engine_index);
        let engines: Vec<_> = std::iter::once(engine_index(&placement.lead))
            .chain(helpers)
            .collect();
        if let Some(dead) = engines.iter().copied().find(|engine| self.dead[*engine]) {
            self.fail_attempt(now, number, dead, ServerOutcome::Unreachable);
            return;
        }
        let profile = self.load.profile;
        let parts = engines.len() as u64;
        let prefill = profile.part_prefill_time(request.prompt_tokens, engines.len());
        let part_tokens = as_float(request.prompt_tokens) / as_float(parts);
        let on_helpers = placement.helper_tokens * (parts - 1);
        let lead_context = request.prompt_tokens.saturating_sub(on_helpers);
        let standing = self.load.standing(&self.load.kinds[self.jobs[number].kind]);
        let priority = standing.engine_priority(&profile, request.prompt_tokens);
        for (index, engine) in engines.iter().enumerate() {
            self.arrivals += 1;
            let leads = index == 0;
            self.engines[*engine].add(Part {
                job: number,
                leads,
                priority,
                kv_tokens: if leads {
                    lead_context
                } else {
                    placement.helper_tokens
                },
                answer_tokens: if leads { request.answer_tokens } else { 0 },
                tokens_left: part_tokens,
                token_ms: prefill / part_tokens,
                arrival: self.arrivals,
            });
        }
        let placed = PlacedPrompt {
            lead: placement.lead.clone(),
            helpers: placement.helpers.clone(),
            helper_tokens: placement.helper_tokens,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
            received_at: Moment::from_millis(self.jobs[number].received_at),
            ttft_objective: request.ttft_objective,
            pause_objective: request.pause_objective,
            weight: request.weight,
        };
        self.await_first(now, number, placement, &engines);
        let key = placement_key(self.placements);
        self.news.push_back((now, key, News::Placed(placed)));
        let job = &mut self.jobs[number];
        job.placement = self.placements;
        job.parts_left = engines.len();
        job.engines = engines;
        job.lead_context = lead_context;
        job.state = State::Placed;
    }
}

impl BurstSim {
    /// Notes what a sample of a placed job is compared with.
    fn await_first(&mut self, now: u64, number: JobId, placement: &Placement, engines: &[usize]) {
        let vm = self.jobs[number].vm;
        let load = self.fleets[vm].loads.load(&placement.lead);
        let busy = load.map_or(0, EngineLoad::lead_count);
        let servers = engines.iter().map(|engine| Incarnation {
            server: server_id(*engine),
            born: 1,
        });
        let awaited = Awaited {
            vm,
            servers: servers.collect(),
            zone: ZoneName::from(ZONES[engines[0] % ZONES.len()]),
            busy: u32::try_from(busy).unwrap_or(u32::MAX),
            placed_at: now,
            nominal: Some(placement.nominal_ttft),
            is_overdue: false,
        };
        self.learning.await_first(number, awaited);
    }
}

fn build_fleet(zone: &str, load: &Load) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from(zone), rates());
    for (engine, port) in (0..load.engines).zip(1000..) {
        let record = ServerRecord {
            id: server_id(engine),
            born: 1,
            sequence: 1,
            service: service(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: ZoneName::from(ZONES[engine % ZONES.len()]),
            slots: load.profile.slots,
            stage: ServerStage::Ready,
        };
        fleet.merge(Moment::default(), record);
    }
    fleet
}

fn server_id(engine: usize) -> ServerId {
    ServerId::from(format!("{engine:03}"))
}

fn engine_index(server: &ServerId) -> usize {
    server.as_str().parse().expect("the number of an engine")
}

fn placement_key(number: u64) -> PlacementKey {
    PlacementKey {
        entry: VmId::from("entry"),
        number,
    }
}
