//! How often prompts of each length are placed, so that no length is served far less than others.
//!
//! The work of a prompt grows with the square of its length. A rule that weighs prompts one by one
//! refuses the longest ones first in each burst, and nothing of what a length was refused adds up.

use std::collections::BTreeMap;
use std::time::Duration;

use super::decision::is_weighed;
use crate::engine_model::{EngineProfile, as_float};
use crate::names::ServiceName;
use crate::time::Moment;

/// Smallest part of all prompts that a length is placed as often as, before the rule helps it.
const MIN_SHARE: f64 = 0.5;
/// Time after which a decision counts half as much, in milliseconds.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Time spent before an attempt from which the caller is taken to have been refused before.
const MIN_RETURN_TIME: Duration = Duration::from_millis(300);

/// Refusals that each length is assumed to have had at first, so that a rare one is helped.
const PRIOR_REFUSED: f64 = 0.3;

/// What was decided on a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LengthDecision {
    /// It was placed on engines.
    Placed,
    /// It was refused for good, as others would lose more than its caller gains.
    Refused,
}

/// Decisions on the prompts of each service, by length.
#[derive(Clone, Debug, Default)]
pub struct LengthShares {
    services: BTreeMap<ServiceName, BTreeMap<u32, DecisionCount>>,
}

/// Decisions on prompts of one length, recent ones counting most.
#[derive(Clone, Copy, Debug, Default)]
struct DecisionCount {
    placed: f64,
    refused: f64,
    /// Time of the last decision, to which both counts refer.
    updated: Moment,
}

impl DecisionCount {
    fn at(self, now: Moment) -> Self {
        let elapsed = as_float(crate::time::duration_millis(now.since(self.updated)));
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE_MS);
        Self {
            placed: self.placed * factor,
            refused: self.refused * factor,
            updated: now,
        }
    }
}

impl LengthShares {
    /// Counts a decision on a prompt, made by this or another VM.
    pub fn record(
        &mut self,
        now: Moment,
        service: &ServiceName,
        profile: &EngineProfile,
        prompt_tokens: u64,
        decision: LengthDecision,
    ) {
        if !is_weighed(profile, prompt_tokens) {
            return;
        }
        let lengths = self.services.entry(service.clone()).or_default();
        let count = lengths.entry(length_class(prompt_tokens)).or_default();
        *count = count.at(now);
        match decision {
            LengthDecision::Placed => count.placed += 1.0,
            LengthDecision::Refused => count.refused += 1.0,
        }
    }

    /// Returns whether prompts of this length are placed far less often than all of their service.
    #[must_use]
    pub fn is_short_of_service(
        &self,
        now: Moment,
        service: &ServiceName,
        prompt_tokens: u64,
    ) -> bool {
        let Some(lengths) = self.services.get(service) else {
            return false;
        };
        let own = lengths
            .get(&length_class(prompt_tokens))
            .copied()
            .unwrap_or_default();
        let counts = lengths.values().map(|count| count.at(now));
        let (placed, all) = counts.fold((0.0, 0.0), |(placed, all), count| {
            (placed + count.placed, all + count.placed + count.refused)
        });
        let own = own.at(now);
        let own_share = own.placed / (own.placed + own.refused + PRIOR_REFUSED);
        own_share * all < MIN_SHARE * placed
    }
}

/// Returns whether a refusal is final: its caller had `spent` time on earlier attempts.
#[must_use]
pub fn is_final_refusal(spent: Duration) -> bool {
    spent >= MIN_RETURN_TIME
}

/// Returns the class of a length; the work of prompts doubles from one class to the next.
fn length_class(prompt_tokens: u64) -> u32 {
    let square = u128::from(prompt_tokens.max(1)).pow(2);
    square.ilog2()
}
