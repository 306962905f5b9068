//! What the simulation plays, and what each request got.

use std::time::Duration;

use merlinrudder_core::engine_model::{EngineProfile, as_float};
use merlinrudder_core::engine_placement::length_shares::PromptClass;
use merlinrudder_core::rank::{ServiceRanks, Standing};

use crate::fleets::service;
use crate::util::learning_sim::EntryVms;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Mean length of a prompt, in tokens.
    pub mean: f64,
    /// Standard deviation of the length's logarithm.
    pub spread: f64,
    /// Longest prompt, in tokens.
    pub max: f64,
    /// Events of an answer.
    pub events: u32,
    pub objective_ms: u64,
    pub pause_ms: u64,
    pub deadline_ms: u64,
    /// Value of an answer of mean length in time.
    pub value: f64,
    /// Rank of the route.
    pub rank: u8,
}

/// Short prompts of people who wait for the answer.
pub const SHORT_KIND: Kind = Kind {
    mean: 4_960.0,
    spread: 0.9,
    max: 23_800.0,
    events: 31,
    objective_ms: 300,
    pause_ms: 250,
    deadline_ms: 10_000,
    value: 1.3,
    rank: 0,
};

impl Kind {
    /// Returns the value of an answer to a prompt.
    pub(super) fn value_of(&self, prompt: u64) -> f64 {
        self.value * (0.3 + 0.7 * as_float(prompt) / self.mean).min(4.0)
    }

    /// Returns the class of its prompts.
    pub(super) fn class(&self) -> PromptClass {
        PromptClass::new(&service(), Duration::from_millis(self.objective_ms))
    }

    /// Time without an event after which the caller leaves.
    pub(super) fn patience_ms(&self) -> u64 {
        (self.objective_ms * 4).max(self.pause_ms * 8).max(2000)
    }
}

/// What a caller got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    InTime,
    Late,
    Refused,
    /// The deadline passed, or the caller left.
    Lost,
}

impl Outcome {
    pub fn is_served(self) -> bool {
        matches!(self, Self::InTime | Self::Late)
    }
}

/// Trouble of some engines for a while.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub first_engine: usize,
    pub engines: usize,
    pub from_ms: u64,
    pub to_ms: u64,
    /// Factor on the time of their passes; 0 if they are dead.
    pub pace: f64,
}

/// Load of the simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub engines: usize,
    pub profile: EngineProfile,
    pub kinds: Vec<Kind>,
    /// Phases one after the other: length in milliseconds, and the rate of each kind a second.
    pub phases: Vec<(u64, Vec<f64>)>,
    pub troubles: Vec<Trouble>,
    pub entry_vms: EntryVms,
    /// Number of engines, from the first one on, that slow down above a number of answers, with that
    /// number and the factor on the time of their passes.
    pub knee: Option<(usize, usize, f64)>,
    /// Ranks of the kinds.
    pub ranks: ServiceRanks,
}

impl Load {
    /// Returns how requests of a kind stand against the others.
    pub(super) fn standing(&self, kind: &Kind) -> Standing {
        self.ranks.standing(kind.rank)
    }
}

/// A request with its outcome.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub kind: usize,
    pub prompt: u64,
    pub came_at: u64,
    pub outcome: Outcome,
    /// Value that its caller got.
    pub gained: f64,
    pub value: f64,
}
