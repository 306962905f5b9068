//! Simulated fleet under bursts: callers, entry VMs that place prompts, and engines.
//!
//! Each entry VM has a view of the loads that is `NEWS_DELAY_MS` old.

mod arrivals;
mod engines;
mod fleet;
mod load;
mod placing;

use std::collections::VecDeque;

use fastrand::Rng;
use merlinrudder_core::engine_model::as_float;
use merlinrudder_core::engine_placement::length_shares::PromptClass;
use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::time::Moment;

use self::fleet::{build_fleet, placement_key};
pub use self::load::{Kind, Load, Outcome, Record, SHORT_KIND, Trouble};
use super::engine_sim::{JobId, SimEngine};
use super::learning_sim::LearningSim;
use crate::fleets::service;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Age of the news that entry VMs have of each other's placements.
const NEWS_DELAY_MS: u64 = 10;

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
    /// Whether the other entry VMs were told of it.
    is_announced: bool,
    /// Whether its length was placed far less often than others when it came.
    is_underserved: bool,
}

enum News {
    Received(PromptClass, u64),
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
                    News::Received(class, tokens) => {
                        fleet.shares.record_received(moment, class, *tokens);
                    }
                    News::Placed(placed) => {
                        let class = PromptClass::new(&service(), placed.ttft_objective);
                        fleet.shares.record_placed(&class, placed.prompt_tokens);
                        fleet.add_placement(moment, &key, &self.load.profile, placed);
                    }
                    News::FirstEvent => fleet.loads.mark_prefilled(&key),
                    News::Ended => fleet.loads.remove(moment, &key),
                }
            }
        }
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
}
