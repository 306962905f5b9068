//! Choice of the backend servers for one request.

use std::time::Duration;

use crate::dispatch::running_requests::HEAVY_PRIORITY;
use crate::estimate::{EngineSpeed, WorkEstimate};
use crate::names::ServerId;
use crate::units::Tokens;

/// Most engines that one prompt may be spread over.
pub const MAX_GROUP: usize = 8;

/// Prompt tokens that an engine reads in one step.
const CHUNK: Tokens = Tokens(2048);
/// Most that it weighs to take an undisturbed engine away from shorts.
const MAX_SPOILING: Duration = Duration::from_millis(500);
/// Steps of a prompt that longer ones in progress slow down.
const DISTURBED_STEPS: u32 = 2;

/// A backend server as the dispatcher sees it when it places a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its name.
    pub id: ServerId,
    /// Tokens that its memory holds; zero for a plain server.
    pub memory: Tokens,
    /// Tokens that are not promised to anyone.
    pub free: Tokens,
    /// Requests that it can take besides those it has.
    pub free_slots: u32,
    /// Predicted prefill time of requests that it runs before this one.
    pub backlog: Duration,
    /// Whether it has heavy prefill in progress, which slows each of its steps.
    pub heavy_prefill: bool,
    /// Requests that it runs.
    pub running: u32,
    /// Long prompts that it runs and whose first token has not come.
    pub long_prefills: u32,
    /// Tokens of this prompt that it caches.
    pub cached: Tokens,
    /// Its speed.
    pub speed: EngineSpeed,
    /// Whether a suspect runs there.
    pub exclusive: bool,
}

/// What is asked of a placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery {
    /// Predicted work.
    pub work: WorkEstimate,
    /// Whether the request counts as long.
    pub long: bool,
    /// Beside whom the request may run.
    pub isolation: Isolation,
    /// Most servers that may hold long prompts.
    pub long_servers: usize,
}

/// Beside whom a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Isolation {
    /// Beside anyone.
    None,
    /// Beside anyone but a suspect, and with as few as can be.
    PreferIdle,
    /// Beside nobody.
    RequireIdle,
}

/// What a placement found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementResult {
    /// These servers, the one that streams the answer first.
    Placed(Vec<ServerId>),
    /// There is no room now.
    Full,
    /// The fleet could not hold the prompt even when empty.
    TooLarge,
}

/// Chooses servers by predicted time to the first token.
#[must_use]
pub fn place(query: &PlacementQuery, candidates: &[Candidate]) -> PlacementResult {
    let need = query.work.memory();
    let model_fleet = candidates
        .iter()
        .any(|candidate| candidate.memory > Tokens(0));
    let largest = candidates
        .iter()
        .map(|candidate| candidate.memory)
        .max()
        .unwrap_or_default();
    if !model_fleet || need <= largest {
        return place_single(
            query,
            candidates,
            if model_fleet { need } else { Tokens(0) },
        );
    }
    place_group(query, candidates, need)
}

fn place_single(query: &PlacementQuery, candidates: &[Candidate], need: Tokens) -> PlacementResult {
    let chosen = candidates
        .iter()
        .filter(|candidate| candidate.free >= need && is_open(query, candidate))
        .filter(|candidate| !query.long || long_allowed(query, candidates, candidate))
        .min_by_key(|candidate| {
            let cost = single_cost(query, candidate);
            (
                company(query, candidate),
                cost,
                candidate.running,
                &candidate.id,
            )
        });
    match chosen {
        Some(candidate) => PlacementResult::Placed(vec![candidate.id.clone()]),
        None => PlacementResult::Full,
    }
}

fn place_group(query: &PlacementQuery, candidates: &[Candidate], need: Tokens) -> PlacementResult {
    let mut by_memory: Vec<_> = candidates
        .iter()
        .map(|candidate| candidate.memory)
        .collect();
    by_memory.sort_unstable_by(|a, b| b.cmp(a));
    if total(by_memory.into_iter().take(MAX_GROUP)) < need {
        return PlacementResult::TooLarge;
    }
    let mut open: Vec<_> = candidates
        .iter()
        .filter(|candidate| is_open(query, candidate))
        .collect();
    open.sort_by_key(|candidate| (std::cmp::Reverse(candidate.free), &candidate.id));
    let mut group = Vec::new();
    let mut held = Tokens(0);
    for candidate in open.into_iter().take(MAX_GROUP) {
        if held >= need {
            break;
        }
        held += candidate.free;
        group.push(candidate.id.clone());
    }
    if held < need {
        return PlacementResult::Full;
    }
    PlacementResult::Placed(group)
}

fn total(amounts: impl Iterator<Item = Tokens>) -> Tokens {
    amounts.fold(Tokens(0), |sum, amount| sum + amount)
}

fn is_open(query: &PlacementQuery, candidate: &Candidate) -> bool {
    let room = candidate.free_slots > 0 && !candidate.exclusive;
    room && (query.isolation != Isolation::RequireIdle || candidate.running == 0)
}

/// Long prompts may go where one runs already, or to a further server while few hold one.
fn long_allowed(query: &PlacementQuery, candidates: &[Candidate], candidate: &Candidate) -> bool {
    let holding = candidates
        .iter()
        .filter(|other| other.long_prefills > 0)
        .count();
    candidate.long_prefills == 0 && holding < query.long_servers
}

/// Predicted time to the first token.
///
/// A step that also reads a chunk of a longer prompt takes that chunk's time too.
fn single_cost(query: &PlacementQuery, candidate: &Candidate) -> Duration {
    let own = query.work.prefill_time(candidate.cached, candidate.speed);
    let chunk = WorkEstimate {
        prompt: CHUNK,
        ..query.work
    }
    .prefill_time(Tokens(0), candidate.speed);
    let heavy = query.work.priority() >= HEAVY_PRIORITY;
    let disturbance = match (heavy, candidate.heavy_prefill) {
        // A short waits for the steps that the heavy one fills.
        (false, true) => chunk * DISTURBED_STEPS,
        // A heavy one takes an engine away from the shorts.
        (true, false) => own.min(MAX_SPOILING),
        (false, false) | (true, true) => Duration::ZERO,
    };
    candidate.backlog + own + disturbance
}

/// How many others a suspect could harm; nobody else weighs that.
fn company(query: &PlacementQuery, candidate: &Candidate) -> u32 {
    if query.isolation == Isolation::None {
        0
    } else {
        candidate.running
    }
}
