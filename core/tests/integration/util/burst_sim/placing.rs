//! Decisions of the entry VMs, and placement of requests on engines.

use std::time::Duration;

use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::engine_model::as_float;
use merlinrudder_core::engine_placement::decision::{PlacementDecision, is_weighed};
use merlinrudder_core::engine_placement::loads::{EngineLoad, PlacedPrompt};
use merlinrudder_core::engine_placement::{Placement, PlacementRequest};
use merlinrudder_core::fleet::NoChoice;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::{ServerId, ZoneName};
use merlinrudder_core::time::Moment;

use super::fleet::{engine_index, placement_key, server_id};
use super::{BurstSim, News, Outcome, State, ZONES};
use crate::fleets::service;
use crate::util::engine_sim::{JobId, Part};
use crate::util::learning_sim::{Awaited, Policy};

/// Mean time after which an entry VM decides again on a prompt that waits.
const POLL_MS: f64 = 25.0;
/// Time after which a caller comes back that was refused.
const RETURN_MS: f64 = 500.0;

impl BurstSim {
    pub(super) fn decide(&mut self, now: u64, number: JobId) {
        self.announce(now, number);
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
            is_underserved: job.is_underserved,
            random_seed: job.seed,
        };
        let moment = Moment::from_millis(now);
        let fleet = &self.fleets[job.vm];
        let profile = self.load.profile;
        let chosen = fleet.choose_engines(moment, &service(), &profile, &request, &[]);
        let (mut placement, decision) = match chosen {
            Ok(chosen) => chosen,
            Err(NoChoice::AwaitRoom) => return self.wait(now, number),
            Err(NoChoice::NoRoom) => return self.refuse(now, number),
            Err(reason) => unreachable!("{reason:?}"),
        };
        if self.load.entry_vms.policy != Policy::Predicted {
            placement.lead = self.naive_lead(number);
            placement.helpers.clear();
            placement.helper_tokens = 0;
            self.place(now, number, &request, &placement);
            return;
        }
        match decision {
            PlacementDecision::Place => self.place(now, number, &request, &placement),
            PlacementDecision::Wait(_) => self.wait(now, number),
            PlacementDecision::Refuse(_) => self.refuse(now, number),
        }
    }

    /// Tells the other entry VMs of a long prompt at its first decision.
    fn announce(&mut self, now: u64, number: JobId) {
        let job = &mut self.jobs[number];
        let is_first = !std::mem::replace(&mut job.is_announced, true);
        if !is_first || !is_weighed(&self.load.profile, job.prompt) {
            return;
        }
        let moment = Moment::from_millis(now);
        let class = self.load.kinds[job.kind].class();
        let shares = &mut self.fleets[job.vm].shares;
        let share = shares.share(moment, &class, job.prompt);
        job.is_underserved = share.is_some_and(|share| share.is_short());
        self.news
            .push_back((now, placement_key(0), News::Received(class, job.prompt)));
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

    /// Lets a job wait until its entry VM decides again.
    fn wait(&mut self, now: u64, number: JobId) {
        let wait = POLL_MS * (0.5 + self.rng.f64());
        self.jobs[number].state = State::Waiting(as_float(now) + wait);
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
        let is_full = |engine: &usize| self.engines[*engine].helps() >= profile.slots as usize;
        if let Some(full) = engines[1..].iter().copied().find(is_full) {
            self.fail_attempt(now, number, full, ServerOutcome::Full);
            return;
        }
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
