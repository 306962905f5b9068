//! How often long prompts of each length were placed lately, so that none is left out.
//!
//! The work of a prompt grows with the square of its length. A rule that weighs prompts one by one
//! refuses the longest first in each burst, and nothing of what they were refused adds up. Here it
//! does: among the prompts with one objective, the longest tenth and the fifth below it are each
//! compared with all.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

use crate::engine_model::as_float;
use crate::names::ServiceName;
use crate::time::Moment;

/// Time for which a prompt counts.
const MEMORY: Duration = Duration::from_mins(1);
/// Largest number of prompts of a class that count.
const MAX_PROMPTS: usize = 512;
/// Number of prompts of a class from which their lengths can be ranked.
const MIN_PROMPTS: usize = 20;
/// Rate at which a group of lengths is to be placed, as a fraction of the rate of its class.
const TARGET_FRACTION: f64 = 0.8;
/// Factors on this target for the shortest and the longest prompt of the longest tenth.
const SHORTEST_FACTOR: f64 = 1.5;
const LONGEST_FACTOR: f64 = 0.5;

/// Prompts whose lengths are compared: those of a service with one objective.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PromptClass {
    /// Service that the prompts are for.
    pub service: ServiceName,
    /// Their objective for the time to first token.
    pub ttft_objective: Duration,
}

impl PromptClass {
    /// Creates the class of prompts for a service with an objective.
    #[must_use]
    pub fn new(service: &ServiceName, ttft_objective: Duration) -> Self {
        Self {
            service: service.clone(),
            ttft_objective,
        }
    }
}

/// Long prompts that all entry VMs received lately, by class.
#[derive(Clone, Debug, Default)]
pub struct LengthShares {
    /// Prompts of each class, the newest last; at most `MAX_PROMPTS`.
    classes: BTreeMap<PromptClass, VecDeque<ReceivedPrompt>>,
}

/// A prompt that an entry VM received.
#[derive(Clone, Copy, Debug)]
struct ReceivedPrompt {
    /// Length, in tokens.
    tokens: u64,
    received_at: Moment,
    /// Whether it was placed on engines.
    is_placed: bool,
}

/// How often prompts of about one length were placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthShare {
    /// Fraction of the prompts of about this length that were placed.
    pub group_rate: f64,
    /// Fraction of the prompts of all lengths that were placed.
    pub class_rate: f64,
    /// Least `group_rate`, as a fraction of `class_rate`, at which the prompt needs no help.
    pub target: f64,
    /// Prompts that were compared.
    pub prompts: usize,
    /// Age of the oldest of them.
    pub oldest: Duration,
}

impl LengthShare {
    /// Returns whether prompts of this length are placed far less often than others.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.group_rate < self.target * self.class_rate
    }
}

impl LengthShares {
    /// Records a prompt that this or another VM received; returns whether it was not known yet.
    ///
    /// A prompt of the same length that was not placed is taken for the same one, whose caller comes back.
    pub fn record_received(&mut self, now: Moment, class: &PromptClass, tokens: u64) -> bool {
        self.classes
            .retain(|_, prompts| prompts.back().is_some_and(|newest| !is_old(now, newest)));
        let prompts = self.classes.entry(class.clone()).or_default();
        while prompts.front().is_some_and(|prompt| is_old(now, prompt)) {
            prompts.pop_front();
        }
        let is_same = |prompt: &ReceivedPrompt| prompt.tokens == tokens && !prompt.is_placed;
        if prompts.iter().any(is_same) {
            return false;
        }
        if prompts.len() >= MAX_PROMPTS {
            prompts.pop_front();
        }
        prompts.push_back(ReceivedPrompt {
            tokens,
            received_at: now,
            is_placed: false,
        });
        true
    }

    /// Records that this or another VM placed a prompt; does nothing if it is not known.
    pub fn record_placed(&mut self, class: &PromptClass, tokens: u64) {
        let prompts = self.classes.get_mut(class).into_iter().flatten();
        let mut waiting = prompts.filter(|prompt| !prompt.is_placed);
        if let Some(prompt) = waiting.find(|prompt| prompt.tokens == tokens) {
            prompt.is_placed = true;
        }
    }

    /// Returns how often prompts of about this length were placed.
    ///
    /// Returns `None` if few of the class are known, or if seven tenths of them are not shorter.
    #[must_use]
    pub fn share(&self, now: Moment, class: &PromptClass, tokens: u64) -> Option<LengthShare> {
        let prompts = self.classes.get(class)?.iter();
        let recent = prompts.filter(|prompt| !is_old(now, prompt));
        let mut recent: Vec<_> = recent.copied().collect();
        if recent.len() < MIN_PROMPTS {
            return None;
        }
        let oldest = now.since(recent[0].received_at);
        recent.sort_unstable_by_key(|prompt| prompt.tokens);
        let shorter = recent.partition_point(|prompt| prompt.tokens < tokens);
        let shorter = shorter.min(recent.len() - 1);
        let fifth = recent.len() * 7 / 10..recent.len() * 9 / 10;
        let tenth = fifth.end..recent.len();
        let (group, target) = if fifth.contains(&shorter) {
            (fifth, TARGET_FRACTION)
        } else if tenth.contains(&shorter) {
            let target = tenth_target(shorter, &tenth);
            (tenth, target)
        } else {
            return None;
        };
        Some(LengthShare {
            group_rate: placed_rate(&recent[group]),
            class_rate: placed_rate(&recent),
            target,
            prompts: recent.len(),
            oldest,
        })
    }
}

/// Returns the target of a prompt of the longest tenth, with `shorter` prompts before it.
///
/// The work of the longest is several times that of the shortest of them. The shorter ones come
/// first, so that the tenth reaches its share at the least cost to other requests.
fn tenth_target(shorter: usize, tenth: &Range<usize>) -> f64 {
    let position = as_float((shorter - tenth.start) as u64) / as_float(tenth.len() as u64);
    TARGET_FRACTION * (SHORTEST_FACTOR + position * (LONGEST_FACTOR - SHORTEST_FACTOR))
}

fn is_old(now: Moment, prompt: &ReceivedPrompt) -> bool {
    now.since(prompt.received_at) > MEMORY
}

/// Returns the fraction of prompts that were placed.
fn placed_rate(prompts: &[ReceivedPrompt]) -> f64 {
    let placed = prompts.iter().filter(|prompt| prompt.is_placed).count();
    as_float(placed as u64) / as_float(prompts.len() as u64)
}
