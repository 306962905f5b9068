//! Chooses the backend servers to which a dispatcher grants one request.
//!
//! A single server is chosen by predicted time to first token. A request that needs more memory
//! than any server has is spread over those with the most free memory.

use std::time::Duration;

use crate::dispatch::running_requests::HEAVY_PREFILL_PRIORITY;
use crate::estimate::{EngineSpeed, WorkEstimate};
use crate::names::ServerId;
use crate::units::Tokens;

/// Maximum number of engines that one prompt may be spread over.
pub const MAX_GROUP_SIZE: usize = 8;

/// Prompt tokens that an engine prefills in one step.
const PREFILL_CHUNK: Tokens = Tokens(2048);
/// Maximum penalty for starting a heavy prefill on an engine that has none.
const MAX_HEAVY_PENALTY: Duration = Duration::from_millis(500);
/// Engine steps of a short prompt that a heavy prefill in progress slows down.
const SLOWED_STEPS: u32 = 2;

/// Capacity and load of a backend server, for placing one request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the server within its service.
    pub id: ServerId,
    /// Memory size in tokens; zero for a plain server.
    pub memory: Tokens,
    /// Unreserved memory in tokens.
    pub free_memory: Tokens,
    /// Number of further requests that it can run.
    pub free_slots: u32,
    /// Predicted remaining prefill time of the requests that it runs before this one.
    pub backlog: Duration,
    /// Whether a heavy prefill is in progress, which slows down every engine step.
    pub heavy_prefill: bool,
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of long prompts among them that are still in prefill.
    pub long_prefills: u32,
    /// Leading tokens of the request's prompt in its prefix cache.
    pub cached: Tokens,
    /// Announced prefill and decode rates.
    pub speed: EngineSpeed,
    /// Whether a running request keeps others off the server.
    pub exclusive: bool,
}

/// Requirements of the request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery {
    /// Predicted prompt and output tokens.
    pub work: WorkEstimate,
    /// Whether the prompt counts as long.
    pub long: bool,
    /// Which servers it may share with running requests.
    pub isolation: Isolation,
    /// Maximum number of servers that may hold long prompts.
    pub long_servers: usize,
}

/// How far a request must stay away from running requests.
///
/// A server on which a request keeps others off is never used, whatever the isolation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Isolation {
    /// It may share a server with any number of requests.
    None,
    /// It takes the server with the fewest running requests.
    PreferIdle,
    /// It takes only a server without running requests.
    RequireIdle,
}

/// Outcome of a placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementResult {
    /// The chosen servers, the one that streams the answer first.
    Placed(Vec<ServerId>),
    /// No server has room now.
    Full,
    /// The request exceeds the largest group, even with all servers idle.
    TooLarge,
}

/// Chooses one server, or a group if the request exceeds the largest server's memory.
#[must_use]
pub fn place(query: &PlacementQuery, candidates: &[Candidate]) -> PlacementResult {
    let needed_memory = query.work.memory();
    let has_engines = candidates
        .iter()
        .any(|candidate| candidate.memory > Tokens(0));
    let largest = candidates
        .iter()
        .map(|candidate| candidate.memory)
        .max()
        .unwrap_or_default();
    if !has_engines || needed_memory <= largest {
        return place_single(
            query,
            candidates,
            if has_engines {
                needed_memory
            } else {
                Tokens(0)
            },
        );
    }
    place_group(query, candidates, needed_memory)
}

fn place_single(
    query: &PlacementQuery,
    candidates: &[Candidate],
    needed_memory: Tokens,
) -> PlacementResult {
    let chosen = candidates
        .iter()
        .filter(|candidate| candidate.free_memory >= needed_memory && is_usable(query, candidate))
        .filter(|candidate| !query.long || allows_long(query, candidates, candidate))
        .min_by_key(|candidate| {
            let cost = predicted_cost(query, candidate);
            (
                neighbor_count(query, candidate),
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

fn place_group(
    query: &PlacementQuery,
    candidates: &[Candidate],
    needed_memory: Tokens,
) -> PlacementResult {
    let mut by_memory: Vec<_> = candidates
        .iter()
        .map(|candidate| candidate.memory)
        .collect();
    by_memory.sort_unstable_by(|a, b| b.cmp(a));
    if total(by_memory.into_iter().take(MAX_GROUP_SIZE)) < needed_memory {
        return PlacementResult::TooLarge;
    }
    let mut usable: Vec<_> = candidates
        .iter()
        .filter(|candidate| is_usable(query, candidate))
        .collect();
    usable.sort_by_key(|candidate| (std::cmp::Reverse(candidate.free_memory), &candidate.id));
    let mut group = Vec::new();
    let mut group_memory = Tokens(0);
    for candidate in usable.into_iter().take(MAX_GROUP_SIZE) {
        if group_memory >= needed_memory {
            break;
        }
        group_memory += candidate.free_memory;
        group.push(candidate.id.clone());
    }
    if group_memory < needed_memory {
        return PlacementResult::Full;
    }
    PlacementResult::Placed(group)
}

fn total(amounts: impl Iterator<Item = Tokens>) -> Tokens {
    amounts.fold(Tokens(0), |sum, amount| sum + amount)
}

fn is_usable(query: &PlacementQuery, candidate: &Candidate) -> bool {
    let available = candidate.free_slots > 0 && !candidate.exclusive;
    available && (query.isolation != Isolation::RequireIdle || candidate.running == 0)
}

/// Whether a server may take a long prompt.
///
/// It may hold one long prefill at a time, and at most `long_servers` servers may hold one.
fn allows_long(query: &PlacementQuery, candidates: &[Candidate], candidate: &Candidate) -> bool {
    let servers_with_long = candidates
        .iter()
        .filter(|other| other.long_prefills > 0)
        .count();
    candidate.long_prefills == 0 && servers_with_long < query.long_servers
}

/// Predicted time to first token, plus a penalty for mixing heavy and short prefills.
fn predicted_cost(query: &PlacementQuery, candidate: &Candidate) -> Duration {
    let own_prefill = query.work.prefill_time(candidate.cached, candidate.speed);
    let chunk = WorkEstimate {
        prompt: PREFILL_CHUNK,
        ..query.work
    }
    .prefill_time(Tokens(0), candidate.speed);
    let is_heavy = query.work.priority() >= HEAVY_PREFILL_PRIORITY;
    let penalty = match (is_heavy, candidate.heavy_prefill) {
        // A step that also prefills a chunk of the heavy prompt takes that chunk's time too.
        (false, true) => chunk * SLOWED_STEPS,
        // The heavy prefill would slow down short prompts on an engine without one.
        (true, false) => own_prefill.min(MAX_HEAVY_PENALTY),
        (false, false) | (true, true) => Duration::ZERO,
    };
    candidate.backlog + own_prefill + penalty
}

/// Number of requests that a crash suspect could take down; zero for other requests.
fn neighbor_count(query: &PlacementQuery, candidate: &Candidate) -> u32 {
    if query.isolation == Isolation::None {
        0
    } else {
        candidate.running
    }
}
