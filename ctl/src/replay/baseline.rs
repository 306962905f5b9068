//! Baselines beside the real dispatcher: they place by simple rules and know nothing of length.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Which rule places.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Baseline {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests by the last report and own placements.
    LeastLoaded,
    /// One queue in order of arrival; the first engine with room.
    FirstCome,
}

/// What a baseline sees of an engine.
#[derive(Clone, Copy, Debug)]
pub struct SeenEngine {
    /// Whether it lives.
    pub alive: bool,
    /// Requests placed there.
    pub running: u32,
    /// Tokens not promised.
    pub free: u64,
    /// Requests that it runs side by side.
    pub slots: u32,
}

/// State of a baseline.
#[derive(Debug, Default)]
pub struct BaselineState {
    next: usize,
    /// Requests that wait, in order of arrival.
    pub queue: VecDeque<usize>,
}

impl BaselineState {
    /// Chooses engines for the request at the head of the queue; `None` where it has to wait.
    pub fn choose(
        &mut self,
        rule: Baseline,
        need: u64,
        engines: &[SeenEngine],
    ) -> Option<Vec<usize>> {
        let largest = engines
            .iter()
            .map(|engine| engine.free)
            .max()
            .unwrap_or_default();
        let open: Vec<_> = (0..engines.len())
            .filter(|number| engines[*number].alive)
            .filter(|number| engines[*number].running < engines[*number].slots)
            .collect();
        let fits = |number: &usize| engines[*number].free >= need;
        let single = match rule {
            Baseline::RoundRobin => {
                let start = self.next;
                let count = engines.len();
                let turn = |number: &usize| (*number + count - start % count) % count;
                open.iter().copied().filter(fits).min_by_key(turn)
            }
            Baseline::LeastLoaded => open
                .iter()
                .copied()
                .filter(fits)
                .min_by_key(|number| engines[*number].running),
            Baseline::FirstCome => open.iter().copied().find(fits),
        };
        if let Some(number) = single {
            self.next = number + 1;
            return Some(vec![number]);
        }
        if need <= largest {
            return None;
        }
        group(need, engines, open)
    }
}

/// Takes the engines with the most room until they hold the prompt.
fn group(need: u64, engines: &[SeenEngine], mut open: Vec<usize>) -> Option<Vec<usize>> {
    open.sort_by_key(|number| std::cmp::Reverse(engines[*number].free));
    let mut held = 0;
    let mut group = Vec::new();
    for number in open {
        held += engines[number].free;
        group.push(number);
        if held >= need {
            return Some(group);
        }
    }
    None
}
