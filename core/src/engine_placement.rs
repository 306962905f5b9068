//! Places a prompt on the engines where it costs all callers least.
//!
//! Short and long prompts share engines. Prefill of a long prompt lengthens the pauses of the
//! answers decoded beside it, and delays the short prompts queued behind it. Each candidate is
//! therefore rated by the value that the prompt itself, the answers decoded there and the prompts
//! waiting there are likely to lose. Prefill of a long prompt may be split over several engines.
//!
//! Costs are in units of value: a request with the shortest prompt is worth 1 to its caller, see
//! [`prompt_value`]. Times in `f64` are in milliseconds.

pub mod decision;
pub mod length_shares;
pub mod loads;
mod packing;
mod split;

use std::iter::Sum;
use std::time::Duration;

use fastrand::Rng;

use self::loads::{EngineLoad, LoadTable, PromptPart};
use crate::directory::ServerRecord;
use crate::engine_model::{EngineProfile, as_float};
use crate::names::{ServerId, ZoneName};
use crate::time::{Moment, duration_millis};

/// Shortest prompt to split, in tokens; shorter ones are prefilled within a few passes.
const MIN_SPLIT_TOKENS: u64 = 12_000;
/// Numbers of helpers to try; engines accept at most 16.
const HELPER_COUNTS: [usize; 9] = [1, 2, 3, 4, 5, 7, 9, 12, 15];
/// Prompt length that doubles a request's value: callers lose more with a longer job.
const VALUE_DOUBLING_TOKENS: f64 = 9_500.0;
/// Fraction of its value that a late answer keeps.
const LATE_VALUE_FRACTION: f64 = 0.25;
/// Cost per millisecond of predicted time to first token, which breaks ties.
const COST_PER_MS: f64 = 0.000_2;
/// Cost of crossing availability zones: traffic and latency.
const ZONE_CROSSING_COST: f64 = 0.004;
/// Cost of each helper: another engine that can fail.
const HELPER_COST: f64 = 0.01;
/// Divisor for the KV cache that stays free for answers longer than expected: 1/25.
const KV_RESERVE_DIVISOR: u64 = 25;
/// Extra tokens that a helper reserves, since engines allocate KV cache in blocks.
const BLOCK_SLACK_TOKENS: u64 = 64;
/// Maximum random number of answers added to a server's load for short prompts.
///
/// Entry VMs learn of each other's placements about ten milliseconds late. Without randomness they
/// would all pick the same engine as the best one at the same moment.
const MAX_RANDOM_ANSWERS: f64 = 2.0;
/// Shortest pause after which callers disconnect, according to the platform.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Slots per engine assumed to be taken by placements not yet reported.
const UNSEEN_SLOTS: usize = 1;
/// Expected wait per queued request ahead when all slots are taken, in milliseconds.
const SLOT_WAIT_MS: f64 = 250.0;

/// A prompt to be placed on engines.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u64,
    /// Time since the entry VM received the request.
    pub waited: Duration,
    /// Objective for the time to first token, counted from when the request was received.
    pub ttft_objective: Duration,
    /// Objective for the longest pause between two events of the answer.
    pub pause_objective: Duration,
    /// Time left until the caller gives up.
    pub time_left: Duration,
    /// Factor on the value of the prompt, by its rank; 1 without other ranks.
    pub weight: f64,
    /// Whether prompts of its length were placed far less often than others when it came.
    pub is_underserved: bool,
    /// Seed of the random choice between engines that are nearly as good.
    pub random_seed: u64,
}

impl PlacementRequest {
    /// Returns the value of the request by the length and the rank of its prompt.
    #[must_use]
    pub fn value(&self) -> f64 {
        prompt_value(self.prompt_tokens) * self.weight
    }
}

/// A server that is eligible for a prompt.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a ServerRecord,
    /// Additional cost of a server that recently failed or was slow.
    pub penalty: f64,
    /// Whether it may prefill a part of another engine's prompt.
    pub may_help: bool,
}

/// The engines chosen for a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Engine that prefills its part and decodes the answer.
    pub lead: ServerId,
    /// Engines that each prefill one further part.
    pub helpers: Vec<ServerId>,
    /// KV cache tokens reserved per helper; 0 if the lead holds the whole prompt.
    pub helper_tokens: u64,
    /// Predicted time from now to the first token.
    pub predicted_ttft: Duration,
    /// The same time if all engines had their nominal pace, against which their pace is learned.
    pub nominal_ttft: Duration,
    /// Value that other requests are likely to lose by this placement.
    pub external_cost: ExternalCost,
}

/// Value that other requests are likely to lose, in units of value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExternalCost {
    /// Lost by answers whose pauses grow.
    pub pauses: f64,
    /// Lost by prompts that are prefilled later.
    pub delays: f64,
}

impl ExternalCost {
    /// Returns what all other requests lose together.
    #[must_use]
    pub fn total(self) -> f64 {
        self.pauses + self.delays
    }
}

impl Sum for ExternalCost {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), |sum, cost| Self {
            pauses: sum.pauses + cost.pauses,
            delays: sum.delays + cost.delays,
        })
    }
}

/// Returns the value of a request to its caller, by prompt length; at least 1.
#[must_use]
pub fn prompt_value(prompt: u64) -> f64 {
    1.0 + as_float(prompt) / VALUE_DOUBLING_TOKENS
}

/// Estimates the probability that a time misses its bound, given its prediction.
///
/// It rises linearly from 0 at 55% of the bound to 1 at 105%.
#[must_use]
fn miss_probability(time: f64, bound: f64) -> f64 {
    if bound <= 0.0 {
        return 1.0;
    }
    ((time / bound - 0.55) / 0.5).clamp(0.0, 1.0)
}

fn millis(time: Duration) -> f64 {
    as_float(duration_millis(time))
}

/// Predicted cost and times of one candidate.
#[derive(Clone, Copy, Debug)]
struct Evaluation<'a> {
    /// Index into the candidates.
    candidate: usize,
    server: &'a ServerRecord,
    /// Value that other requests on the engine are likely to lose.
    external_cost: ExternalCost,
    /// Predicted time until the part is prefilled, in milliseconds.
    ready: f64,
    /// Predicted time of a decode pass afterwards, in milliseconds.
    pass: f64,
    /// `ready` if the server had its nominal pace and no learned limit.
    nominal: f64,
    /// `pass` if the server had its nominal pace.
    nominal_pass: f64,
}

/// Places prompts, given the load of all engines at one moment.
#[derive(Debug)]
pub struct Placer<'a> {
    /// Capacity and speed of the service's engines.
    pub profile: &'a EngineProfile,
    /// Current load of the engines.
    pub loads: &'a LoadTable,
    /// Availability zone of this entry VM.
    pub zone: &'a ZoneName,
    /// Whether short prompts are packed onto few servers; only safe if their load is known.
    pub packs_shorts: bool,
    /// Current time.
    pub now: Moment,
}

impl Placer<'_> {
    /// Returns the placement with the lowest cost.
    ///
    /// Returns `None` if the prompt exceeds the KV cache of each engine, and no split has room now.
    #[must_use]
    pub fn place(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement> {
        let alone = self.best_single(request, candidates);
        let mut best = alone;
        if request.prompt_tokens >= MIN_SPLIT_TOKENS {
            for count in HELPER_COUNTS {
                let split = self.best_split(request, candidates, count);
                best = cheaper(best, split);
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// Returns whether `engines` idle engines together have KV cache for a prompt.
    #[must_use]
    pub fn could_hold(&self, request: &PlacementRequest, engines: usize) -> bool {
        let splits = HELPER_COUNTS.iter().map(|helpers| helpers + 1);
        let parts = splits.filter(|parts| *parts <= engines).max();
        let part = request.prompt_tokens.div_ceil(parts.unwrap_or(1) as u64);
        part + BLOCK_SLACK_TOKENS + request.answer_tokens <= self.usable_tokens()
    }

    /// Returns the cheapest placement on a single engine, with its cost.
    ///
    /// An engine rejects a prompt that exceeds its KV cache even if it is idle.
    fn best_single(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate<'_>],
    ) -> Option<(f64, Placement)> {
        if request.prompt_tokens + request.answer_tokens > self.profile.kv_capacity {
            return None;
        }
        let rated = self.evaluate_all(request, candidates, 1);
        let base_cost = |e: &Evaluation<'_>| {
            let ttft = e.ready + e.pass;
            let own = own_cost(request, ttft) + candidates[e.candidate].penalty;
            e.external_cost.total() + own + self.lead_cost(request, e.server)
        };
        let open = self
            .is_short(request.prompt_tokens)
            .then(|| self.open_servers(candidates));
        let mut rng = Rng::with_seed(request.random_seed);
        let mut packing_cost = |e: &Evaluation<'_>| {
            let unreported = rng.f64() * MAX_RANDOM_ANSWERS;
            let cost = |open| self.short_prompt_cost(e.server, open, unreported);
            open.as_ref().map_or(0.0, cost)
        };
        let costs = rated.iter().map(|e| (base_cost(e) + packing_cost(e), e));
        let (cost, chosen) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let placement = Placement {
            lead: chosen.server.id.clone(),
            helpers: Vec::new(),
            helper_tokens: 0,
            predicted_ttft: from_millis(chosen.ready + chosen.pass),
            nominal_ttft: from_millis(chosen.nominal + chosen.nominal_pass),
            external_cost: chosen.external_cost,
        };
        Some((cost, placement))
    }

    fn evaluate_all<'c>(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate<'c>],
        parts: usize,
    ) -> Vec<Evaluation<'c>> {
        let indexed = candidates.iter().enumerate();
        indexed
            .map(|(index, candidate)| self.evaluate(request, index, candidate.server, parts))
            .collect()
    }

    fn evaluate<'c>(
        &self,
        request: &PlacementRequest,
        candidate: usize,
        server: &'c ServerRecord,
        parts: usize,
    ) -> Evaluation<'c> {
        let empty = EngineLoad::default();
        let load = self.loads.load(&server.id).unwrap_or(&empty);
        let pace = self.loads.learned().pace(&server.id);
        let prefill = self.profile.part_prefill_time(request.prompt_tokens, parts) * pace;
        let tokens = request.prompt_tokens / parts as u64;
        let in_pass = self.profile.prefill_in_pass(tokens, prefill);
        let pass = self
            .profile
            .pass_time(load.decode_count() + 1, load.decode_context())
            * pace;
        let backlog = load.prefill_backlog(self.now);
        let taken = load.lead_count() + UNSEEN_SLOTS;
        let slot_wait = |slots: u32| {
            let queued = (taken + 1).saturating_sub(slots as usize);
            as_float(queued as u64) * SLOT_WAIT_MS
        };
        let usable = self.loads.usable_slots(self.profile, &server.id);
        let work = pass / 2.0 + backlog + prefill;
        let ready = work + slot_wait(usable) * pace;
        let nominal = work / pace + slot_wait(self.profile.slots);
        let nominal_pass = pass / pace;
        let ahead = if parts > 1 { prefill } else { in_pass };
        let external_cost = self.external_cost(load, in_pass, ahead, pass);
        Evaluation {
            candidate,
            server,
            external_cost,
            ready,
            pass,
            nominal,
            nominal_pass,
        }
    }

    /// Returns the value other requests lose if a prefill of `in_pass` joins their passes.
    ///
    /// Waiting prompts are delayed by `ahead`: helpers prefill before the engine's own prompts.
    fn external_cost(
        &self,
        load: &EngineLoad,
        in_pass: f64,
        ahead: f64,
        pass: f64,
    ) -> ExternalCost {
        let backlog = load.prefill_backlog(self.now);
        let before = pass + load.prefill_in_pass(self.now);
        let after = before + in_pass;
        load.parts()
            .map(|part| {
                let value = prompt_value(part.prompt_tokens) * part.weight;
                if part.prefilling {
                    ExternalCost {
                        delays: self.ttft_loss(part, backlog + pass, ahead) * value,
                        pauses: 0.0,
                    }
                } else {
                    ExternalCost {
                        delays: 0.0,
                        pauses: pause_loss(part, before, after) * value,
                    }
                }
            })
            .sum()
    }

    /// Returns the fraction of its value that a waiting prompt loses to another prefill.
    fn ttft_loss(&self, part: &PromptPart, ready: f64, ahead: f64) -> f64 {
        let weight = if part.leads { 1.0 } else { part.delay_weight };
        let waited = as_float(duration_millis(self.now.since(part.received_at)));
        let bound = millis(part.ttft_objective);
        let later = miss_probability(waited + ready + ahead, bound)
            - miss_probability(waited + ready, bound);
        later * (1.0 - LATE_VALUE_FRACTION) * weight
    }

    /// Returns the additional cost of the engine as the lead.
    ///
    /// It exceeds the value of the request if the KV cache has no room for it.
    fn lead_cost(&self, request: &PlacementRequest, server: &ServerRecord) -> f64 {
        let overflow = if request.prompt_tokens + request.answer_tokens > self.free_tokens(server) {
            request.value() + 1.0
        } else {
            0.0
        };
        overflow + self.zone_crossing_cost(server)
    }

    /// Returns whether an engine takes another part; it helps at most as many prompts as it has slots.
    fn can_help(&self, server: &ServerRecord) -> bool {
        let helped = self
            .loads
            .load(&server.id)
            .map_or(0, EngineLoad::help_count);
        let most = (self.profile.slots as usize).saturating_sub(UNSEEN_SLOTS);
        helped < most.max(1)
    }

    /// Returns the KV cache of an engine that can still be reserved, in tokens.
    fn free_tokens(&self, server: &ServerRecord) -> u64 {
        let used = self
            .loads
            .load(&server.id)
            .map_or(0, EngineLoad::reserved_tokens);
        self.usable_tokens().saturating_sub(used)
    }

    /// Returns the KV cache of an idle engine that may be reserved, in tokens.
    const fn usable_tokens(&self) -> u64 {
        self.profile.kv_capacity - self.profile.kv_capacity / KV_RESERVE_DIVISOR
    }

    fn zone_crossing_cost(&self, server: &ServerRecord) -> f64 {
        if server.zone == *self.zone {
            0.0
        } else {
            ZONE_CROSSING_COST
        }
    }
}

/// Returns the value that the prompt itself loses if its first token takes `ttft`.
fn own_cost(request: &PlacementRequest, ttft: f64) -> f64 {
    let time = millis(request.waited) + ttft;
    let value = request.value();
    let late = miss_probability(time, millis(request.ttft_objective)) * (1.0 - LATE_VALUE_FRACTION);
    let lost = miss_probability(ttft, millis(request.time_left)) * LATE_VALUE_FRACTION;
    value * (late + lost) + ttft * COST_PER_MS
}

/// Returns the fraction of its value that an answer loses if its next pause grows.
///
/// If the pause exceeds the caller's patience, the caller disconnects and the rest is lost too.
fn pause_loss(part: &PromptPart, before: f64, after: f64) -> f64 {
    let later = |bound: Duration| {
        let bound = millis(bound);
        miss_probability(after, bound) - miss_probability(before, bound)
    };
    let patience = (part.ttft_objective * 4)
        .max(part.pause_objective * 8)
        .max(MIN_CALLER_PATIENCE);
    later(part.pause_objective) * (1.0 - LATE_VALUE_FRACTION)
        + later(patience) * LATE_VALUE_FRACTION
}

fn cheaper(
    one: Option<(f64, Placement)>,
    other: Option<(f64, Placement)>,
) -> Option<(f64, Placement)> {
    match (one, other) {
        (Some(one), Some(other)) => Some(if other.0 < one.0 { other } else { one }),
        (one, other) => one.or(other),
    }
}

/// Longest time that is predicted, in milliseconds; what takes longer is never served.
const MAX_PREDICTED_MS: f64 = 1e9;

fn from_millis(millis: f64) -> Duration {
    // Infinite rates make a time that is no number.
    if millis.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(millis.clamp(0.0, MAX_PREDICTED_MS) / 1000.0)
}
