//! Simple placement rules to compare the dispatcher with.
//!
//! Each rule serves one queue in order of submission and places only where the memory that the
//! request needs is free. Prompt length plays no other part. An engine is identified by its number,
//! the index in the slice of snapshots.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Rule for choosing among engines with a free slot and enough memory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Baseline {
    /// The next engine after the one chosen last, in cyclic order.
    RoundRobin,
    /// The engine with the fewest running and queued requests.
    LeastLoaded,
    /// The engine with the lowest number.
    FirstCome,
}

/// State of an engine at the time of a placement.
#[derive(Clone, Copy, Debug)]
pub struct EngineSnapshot {
    /// Whether the engine process is running.
    pub alive: bool,
    /// Requests that run or wait inside the engine.
    pub requests: u32,
    /// Free KV memory, in tokens.
    pub free_memory: u64,
    /// Most requests that the engine runs concurrently.
    pub slots: u32,
}

/// Queue and round-robin position of a baseline.
#[derive(Debug, Default)]
pub struct BaselineState {
    /// One more than the engine number chosen last.
    next_engine: usize,
    /// Trace indexes of the waiting requests, in order of submission.
    pub queue: VecDeque<usize>,
}

impl BaselineState {
    /// Chooses engines for a request that needs `need` tokens of KV memory.
    ///
    /// Returns several engines only if no engine, not even one that is down or has no free slot,
    /// has that much free memory. Returns `None` if the request has to wait.
    pub fn choose(
        &mut self,
        baseline: Baseline,
        need: u64,
        engines: &[EngineSnapshot],
    ) -> Option<Vec<usize>> {
        let most_free = engines
            .iter()
            .map(|engine| engine.free_memory)
            .max()
            .unwrap_or_default();
        let available: Vec<_> = (0..engines.len())
            .filter(|number| engines[*number].alive)
            .filter(|number| engines[*number].requests < engines[*number].slots)
            .collect();
        let fits = |number: &usize| engines[*number].free_memory >= need;
        let single = match baseline {
            Baseline::RoundRobin => {
                let start = self.next_engine;
                let count = engines.len();
                let distance = |number: &usize| (*number + count - start % count) % count;
                available.iter().copied().filter(fits).min_by_key(distance)
            }
            Baseline::LeastLoaded => available
                .iter()
                .copied()
                .filter(fits)
                .min_by_key(|number| engines[*number].requests),
            Baseline::FirstCome => available.iter().copied().find(fits),
        };
        if let Some(number) = single {
            self.next_engine = number + 1;
            return Some(vec![number]);
        }
        if need <= most_free {
            return None;
        }
        group_by_free_memory(need, engines, available)
    }
}

/// Groups engines by descending free memory until they hold `need` tokens together.
///
/// Returns `None` if all of them together hold less.
fn group_by_free_memory(
    need: u64,
    engines: &[EngineSnapshot],
    mut available: Vec<usize>,
) -> Option<Vec<usize>> {
    available.sort_by_key(|number| std::cmp::Reverse(engines[*number].free_memory));
    let mut group_free = 0;
    let mut group = Vec::new();
    for number in available {
        group_free += engines[number].free_memory;
        group.push(number);
        if group_free >= need {
            return Some(group);
        }
    }
    None
}
