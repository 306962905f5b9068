//! Chooses the engines of a prompt by what the choice costs all callers.
//!
//! It answers loads in which prompts of very unlike lengths share engines: a long read beside short
//! answers stretches their pauses, and a short prompt behind a long read waits for it. Each candidate
//! is priced by the value that the prompt itself, the answers being written there and the prompts
//! waiting there are likely to lose; long prompts may be read in parts by several engines.

pub mod decision;
pub mod loads;

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use self::loads::{EngineLoad, EngineLoads, Share};
use crate::directory::ServerRecord;
use crate::engine_model::{EngineProfile, as_float};
use crate::names::{ServerId, ZoneName};
use crate::time::{Moment, duration_millis};

/// Shortest prompt, in tokens, that is read in parts; a shorter one is read within a few passes.
const MIN_SPLIT_TOKENS: u64 = 12_000;
/// Numbers of helping engines that are tried; the engines take 16 at most.
const HELPER_COUNTS: [usize; 9] = [1, 2, 3, 4, 5, 7, 9, 12, 15];
/// Prompt tokens that double a request's value: callers lose more with a longer job.
const VALUE_TOKENS: f64 = 9_500.0;
/// Value that a late answer keeps, as a part of the whole.
const LATE_PART: f64 = 0.25;
/// Value lost for each millisecond of predicted time to first token, to break ties.
const MILLI_COST: f64 = 0.000_2;
/// Value lost by a crossing between availability zones: bytes and delay.
const CROSS_COST: f64 = 0.004;
/// Value lost for each helper: another engine that can fail.
const HELPER_COST: f64 = 0.01;
/// One part in so many of the memory is not promised, for answers longer than expected.
const MEMORY_SPARE: u64 = 25;
/// Tokens set aside beyond an even part of the prompt, since engines count memory in blocks.
const HELD_SPARE: u64 = 64;
/// Longest time to read a prompt that counts as short, in milliseconds.
const SHORT_READ: f64 = 60.0;
/// Part of their slots that the engines open to short prompts fill before another one is opened.
const OPEN_PART: f64 = 0.75;
/// Value lost by a short prompt on an engine that is not open to them.
const SPREAD_COST: f64 = 0.25;
/// Value lost by a short prompt where all slots are taken; it grows with the square of their part.
///
/// Less than `SPREAD_COST`, so that open servers fill before another one is touched.
const FILL_COST: f64 = 0.2;
/// Answers by which a draw may make a server look fuller to a short prompt.
///
/// Entry VMs hear of each other's placements some ten milliseconds late. Without a draw all of them
/// take the same engine for the best one at the same moment.
const DRAWN_ANSWERS: f64 = 2.0;
/// Shortest pause after which callers leave, as the platform tells of them.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Slots of an engine that are taken to be filled by placements not heard of yet.
const UNHEARD_SLOTS: usize = 1;
/// Time that a request waits for each one before it where all slots are taken, in milliseconds.
const SLOT_WAIT: f64 = 250.0;

/// A prompt that needs an engine.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens of the answer, as far as expected.
    pub answer_tokens: u64,
    /// Time that has passed since the caller asked.
    pub waited: Duration,
    /// Time in which the first event is on time.
    pub ttft_objective: Duration,
    /// Longest pause between two events that is on time.
    pub pause_objective: Duration,
    /// Time left until the caller gives up.
    pub time_left: Duration,
    /// A random number of its own, which decides between engines that are nearly as good.
    pub random_seed: u64,
}

/// A server that may be chosen.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a ServerRecord,
    /// Further value lost there, for a server that failed or was slow of late.
    pub penalty: f64,
}

/// The engines chosen for a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Engine that reads its part and writes the answer.
    pub lead: ServerId,
    /// Engines that read further parts.
    pub helpers: Vec<ServerId>,
    /// Tokens of memory that each helper sets aside for its part; 0 where the lead holds all.
    pub helper_tokens: u64,
    /// Predicted time to the first event.
    pub predicted_ttft: Duration,
    /// Value that other requests are likely to lose by it.
    pub external_cost: f64,
}

/// Returns the value of a request with this prompt to its caller; 1 for the shortest.
#[must_use]
pub fn prompt_value(prompt: u64) -> f64 {
    1.0 + as_float(prompt) / VALUE_TOKENS
}

/// Returns how likely a time misses its bound, from sure to be in time (0) to sure to be late (1).
#[must_use]
fn lateness(time: f64, bound: f64) -> f64 {
    if bound <= 0.0 {
        return 1.0;
    }
    ((time / bound - 0.55) / 0.5).clamp(0.0, 1.0)
}

fn millis(time: Duration) -> f64 {
    as_float(duration_millis(time))
}

/// What a choice of one engine costs.
#[derive(Clone, Copy, Debug)]
struct Priced<'a> {
    candidate: usize,
    server: &'a ServerRecord,
    /// Value that others lose there.
    external_cost: f64,
    /// Predicted time until the part is read there, in milliseconds.
    ready: f64,
    /// Time of one token pass there afterwards, in milliseconds.
    pass: f64,
}

/// Chooses engines for prompts.
#[derive(Debug)]
pub struct Placer<'a> {
    /// How the service's engines work.
    pub profile: &'a EngineProfile,
    /// What runs where.
    pub loads: &'a EngineLoads,
    /// Own availability zone.
    pub zone: &'a ZoneName,
    /// Now.
    pub now: Moment,
}

impl Placer<'_> {
    /// Chooses the engines that cost least; `None` where no candidate is left.
    #[must_use]
    pub fn place(&self, ask: &PlacementRequest, candidates: &[Candidate<'_>]) -> Option<Placement> {
        let alone = self.best_alone(ask, candidates);
        let mut best = alone;
        if ask.prompt_tokens >= MIN_SPLIT_TOKENS {
            for count in HELPER_COUNTS {
                let split = self.best_split(ask, candidates, count);
                best = cheaper(best, split);
            }
        }
        best.map(|(_, placement)| placement)
    }

    fn best_alone(
        &self,
        ask: &PlacementRequest,
        candidates: &[Candidate<'_>],
    ) -> Option<(f64, Placement)> {
        let priced = self.price_all(ask, candidates, 1);
        let total = |p: &Priced<'_>| {
            let first = p.ready + p.pass;
            let own = own_cost(ask, first) + candidates[p.candidate].penalty;
            p.external_cost + own + self.lead_cost(ask, p.server)
        };
        let open = self
            .is_short(ask.prompt_tokens)
            .then(|| self.open_servers(candidates));
        let mut draws = Rng::with_seed(ask.random_seed);
        let mut among_shorts = |p: &Priced<'_>| {
            let unheard = draws.f64() * DRAWN_ANSWERS;
            let cost = |open| self.short_cost(p.server, open, unheard);
            open.as_ref().map_or(0.0, cost)
        };
        let costs = priced.iter().map(|p| (total(p) + among_shorts(p), p));
        let (cost, chosen) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let placement = Placement {
            lead: chosen.server.id.clone(),
            helpers: Vec::new(),
            helper_tokens: 0,
            predicted_ttft: from_millis(chosen.ready + chosen.pass),
            external_cost: chosen.external_cost,
        };
        Some((cost, placement))
    }

    /// Prices a split over the lead and `count` helpers, each the cheapest for its part.
    fn best_split(
        &self,
        ask: &PlacementRequest,
        candidates: &[Candidate<'_>],
        count: usize,
    ) -> Option<(f64, Placement)> {
        if candidates.len() <= count {
            return None;
        }
        let parts = count as u64 + 1;
        let mut priced = self.price_all(ask, candidates, count + 1);
        let whole = ask.prompt_tokens + ask.answer_tokens;
        let roomiest = priced.iter().map(|p| self.room(p.server)).max()?;
        let helper_tokens = if roomiest >= whole {
            0
        } else {
            ask.prompt_tokens.div_ceil(parts) + HELD_SPARE
        };
        if helper_tokens > 0 {
            priced.retain(|p| self.room(p.server) >= helper_tokens + ask.answer_tokens);
        }
        if priced.len() <= count {
            return None;
        }
        let part_cost = |p: &Priced<'_>| {
            let late = own_cost(ask, p.ready + p.pass);
            p.external_cost + late + candidates[p.candidate].penalty + self.cross_cost(p.server)
        };
        priced.sort_by(|a, b| part_cost(a).total_cmp(&part_cost(b)));
        priced.truncate(count + 1);
        let lead_cost = |p: &Priced<'_>| {
            if helper_tokens > 0 {
                self.cross_cost(p.server)
            } else {
                self.lead_cost(ask, p.server)
            }
        };
        let lead = (0..priced.len())
            .min_by(|a, b| lead_cost(&priced[*a]).total_cmp(&lead_cost(&priced[*b])))?;
        let lead = priced.swap_remove(lead);
        let helpers = &priced;
        let slowest = helpers.iter().fold(lead.ready, |slow, p| slow.max(p.ready));
        let first = slowest + lead.pass;
        let external_cost: f64 =
            helpers.iter().map(|p| p.external_cost).sum::<f64>() + lead.external_cost;
        let penalty: f64 = helpers
            .iter()
            .chain([&lead])
            .map(|p| candidates[p.candidate].penalty + self.cross_cost(p.server))
            .sum();
        let fragile = as_float(count as u64) * HELPER_COST;
        let own = own_cost(ask, first) + lead_cost(&lead);
        let placement = Placement {
            lead: lead.server.id.clone(),
            helpers: helpers.iter().map(|p| p.server.id.clone()).collect(),
            helper_tokens,
            predicted_ttft: from_millis(first),
            external_cost,
        };
        Some((external_cost + penalty + fragile + own, placement))
    }

    fn price_all<'c>(
        &self,
        ask: &PlacementRequest,
        candidates: &[Candidate<'c>],
        parts: usize,
    ) -> Vec<Priced<'c>> {
        let prices = candidates.iter().enumerate();
        prices
            .map(|(at, candidate)| self.price(ask, at, candidate.server, parts))
            .collect()
    }

    fn price<'c>(
        &self,
        ask: &PlacementRequest,
        candidate: usize,
        server: &'c ServerRecord,
        parts: usize,
    ) -> Priced<'c> {
        let empty = EngineLoad::default();
        let load = self.loads.load(&server.id).unwrap_or(&empty);
        let part = self.profile.part_prefill_time(ask.prompt_tokens, parts);
        let tokens = ask.prompt_tokens / parts as u64;
        let in_pass = self.profile.prefill_in_pass(tokens, part);
        let pass = self.profile.pass_time(load.writers() + 1, load.context());
        let backlog = load.backlog(self.now);
        let taken = load.len() + UNHEARD_SLOTS;
        let over = (taken + 1).saturating_sub(self.profile.slots as usize);
        let ready = pass / 2.0 + backlog + part + as_float(over as u64) * SLOT_WAIT;
        let ahead = if parts > 1 { part } else { in_pass };
        let external_cost = self.external_cost(load, in_pass, ahead, pass);
        Priced {
            candidate,
            server,
            external_cost,
            ready,
            pass,
        }
    }

    /// Returns the value that others lose where a read of `in_pass` joins their passes.
    ///
    /// Prompts that wait are delayed by `ahead`: helpers read before the engine's own prompts.
    fn external_cost(&self, load: &EngineLoad, in_pass: f64, ahead: f64, pass: f64) -> f64 {
        let backlog = load.backlog(self.now);
        let before = pass + load.read_in_pass(self.now);
        let after = before + in_pass;
        load.shares()
            .map(|share| {
                let lost = if share.reading {
                    self.first_lost(share, backlog + pass, ahead)
                } else {
                    pause_lost(share, before, after)
                };
                lost * prompt_value(share.prompt_tokens)
            })
            .sum()
    }

    /// Returns the part of its value that a waiting prompt loses where another read joins it.
    fn first_lost(&self, share: &Share, ready: f64, ahead: f64) -> f64 {
        let part = if share.leads { 1.0 } else { share.helped_part };
        let waited = as_float(duration_millis(self.now.since(share.asked)));
        let bound = millis(share.ttft_objective);
        let later = lateness(waited + ready + ahead, bound) - lateness(waited + ready, bound);
        later * (1.0 - LATE_PART) * part
    }

    /// Returns the value lost where this engine writes the answer.
    fn lead_cost(&self, ask: &PlacementRequest, server: &ServerRecord) -> f64 {
        let over = if ask.prompt_tokens + ask.answer_tokens > self.room(server) {
            prompt_value(ask.prompt_tokens) + 1.0
        } else {
            0.0
        };
        over + self.cross_cost(server)
    }

    /// Returns the memory that is free at an engine, in tokens.
    fn room(&self, server: &ServerRecord) -> u64 {
        let used = self.loads.load(&server.id).map_or(0, EngineLoad::memory);
        let usable = self.profile.kv_capacity - self.profile.kv_capacity / MEMORY_SPARE;
        usable.saturating_sub(used)
    }

    /// Returns the servers that short prompts are kept to for now.
    ///
    /// Shorts hardly disturb each other; kept together, they leave engines on which a long prompt can
    /// be read without a pause for anybody. The same servers come first for all entry VMs of a zone, so
    /// that a burst is spread over all that are open and not sent to a single one.
    fn open_servers<'c>(&self, candidates: &[Candidate<'c>]) -> BTreeSet<&'c ServerId> {
        let mut own: Vec<_> = candidates
            .iter()
            .filter(|candidate| candidate.server.zone == *self.zone)
            .map(|candidate| &candidate.server.id)
            .collect();
        own.sort_unstable();
        let shorts: usize = own.iter().map(|server| self.shorts(server)).sum();
        let filled = f64::from(self.profile.slots) * OPEN_PART;
        let mut room = 0.0;
        let needed = as_float(shorts as u64 + 1);
        let open = own.into_iter().take_while(|_| {
            let needs_more = room < needed;
            room += filled;
            needs_more
        });
        open.collect()
    }

    /// Returns the value lost where a short prompt joins the answers of a server, and `unheard` more.
    fn short_cost(&self, server: &ServerRecord, open: &BTreeSet<&ServerId>, unheard: f64) -> f64 {
        let answers = self.loads.load(&server.id).map_or(0, EngineLoad::len);
        let taken = (as_float(answers as u64) + unheard) / f64::from(self.profile.slots);
        let spread = if open.contains(&server.id) {
            0.0
        } else {
            SPREAD_COST
        };
        taken * taken * FILL_COST + spread
    }

    /// Returns the number of short prompts that a server answers.
    fn shorts(&self, server: &ServerId) -> usize {
        let shares = self.loads.load(server).map(EngineLoad::shares);
        let shorts = shares.into_iter().flatten();
        shorts
            .filter(|share| share.leads && self.is_short(share.prompt_tokens))
            .count()
    }

    fn is_short(&self, prompt: u64) -> bool {
        self.profile.prefill_time(prompt) <= SHORT_READ
    }

    fn cross_cost(&self, server: &ServerRecord) -> f64 {
        if server.zone == *self.zone {
            0.0
        } else {
            CROSS_COST
        }
    }
}

/// Returns the value that the prompt itself is likely to lose with its first event after `first`.
fn own_cost(ask: &PlacementRequest, first: f64) -> f64 {
    let time = millis(ask.waited) + first;
    let value = prompt_value(ask.prompt_tokens);
    let late = lateness(time, millis(ask.ttft_objective)) * (1.0 - LATE_PART);
    let lost = lateness(first, millis(ask.time_left)) * LATE_PART;
    value * (late + lost) + first * MILLI_COST
}

/// Returns the part of its value that an answer loses where its next pause grows.
///
/// After a longer pause still the caller leaves, and the rest of the value is lost as well.
fn pause_lost(share: &Share, before: f64, after: f64) -> f64 {
    let later = |bound: Duration| {
        let bound = millis(bound);
        lateness(after, bound) - lateness(before, bound)
    };
    let patience = (share.ttft_objective * 4)
        .max(share.pause_objective * 8)
        .max(MIN_PATIENCE);
    later(share.pause_objective) * (1.0 - LATE_PART) + later(patience) * LATE_PART
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

fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1000.0)
}
