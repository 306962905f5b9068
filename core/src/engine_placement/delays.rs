//! What prompts in prefill lose when another prompt is placed on their engines.
//!
//! The first token of a prompt follows its slowest engine. A delay on another one of its engines
//! costs it nothing as long as that engine does not become the slowest, and delays on several
//! engines cost it no more than the largest of them.

use std::collections::BTreeMap;

use super::loads::{LoadTable, PlacementKey};
use crate::time::Moment;

/// The prompts that are in prefill at one moment.
#[derive(Debug)]
pub(super) struct PromptsInPrefill<'a> {
    prompts: BTreeMap<&'a PlacementKey, PromptInPrefill>,
}

/// A prompt in prefill.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptInPrefill {
    /// Position among all prompts in prefill, from 0 on.
    pub(super) index: usize,
    /// Predicted time until its slowest engine has prefilled its part, in milliseconds.
    pub(super) ready: f64,
}

impl<'a> PromptsInPrefill<'a> {
    /// Lists the prompts that are in prefill on any engine.
    pub(super) fn new(loads: &'a LoadTable, now: Moment) -> Self {
        let mut prompts: BTreeMap<_, PromptInPrefill> = BTreeMap::new();
        for load in loads.busy_engines() {
            let backlog = load.prefill_backlog(now);
            for (key, _) in load.prefilling() {
                let index = prompts.len();
                let ready = backlog;
                let prompt = prompts
                    .entry(key)
                    .or_insert(PromptInPrefill { index, ready });
                prompt.ready = prompt.ready.max(backlog);
            }
        }
        Self { prompts }
    }

    /// Returns a prompt; `None` if it is not in prefill.
    pub(super) fn get(&self, key: &PlacementKey) -> Option<PromptInPrefill> {
        self.prompts.get(key).copied()
    }
}

/// Loss of a prompt in prefill if a part is placed on one of its engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delay {
    /// Index of the prompt.
    pub(super) prompt: usize,
    /// Value that it is likely to lose.
    pub(super) cost: f64,
}

/// What prompts in prefill lose by a placement that grows engine by engine.
#[derive(Debug)]
pub(super) struct DelayedPrompts {
    /// Largest loss of each prompt on the engines chosen so far, by its index.
    losses: Vec<f64>,
}

impl DelayedPrompts {
    /// Returns that no prompt is delayed yet.
    pub(super) fn none_of(prompts: &PromptsInPrefill<'_>) -> Self {
        Self {
            losses: vec![0.0; prompts.prompts.len()],
        }
    }

    /// Returns what another engine adds to the loss on those chosen so far.
    pub(super) fn added_cost(&self, delays: &[Delay]) -> f64 {
        let added = delays
            .iter()
            .map(|delay| (delay.cost - self.losses[delay.prompt]).max(0.0));
        added.sum()
    }

    /// Adds the delays on another engine.
    pub(super) fn add(&mut self, delays: &[Delay]) {
        for delay in delays {
            let lost = &mut self.losses[delay.prompt];
            *lost = lost.max(delay.cost);
        }
    }

    /// Returns the value that all prompts lose together.
    pub(super) fn total(&self) -> f64 {
        self.losses.iter().sum()
    }
}
