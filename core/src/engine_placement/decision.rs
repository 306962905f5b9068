//! What is decided on a prompt: whether it is placed now, waits, or is refused.

use std::time::Duration;

use super::Placement;

/// What was weighed when a prompt was not placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Weighed {
    /// Prompts in the queue that get engines first.
    pub ahead: usize,
    /// Engines for long prompts.
    pub engines: usize,
    /// Those of them that take a part now.
    pub free_engines: usize,
    /// Engines over which the prompt would be split.
    pub parts: usize,
    /// Predicted time until its engines are free.
    pub predicted_start: Duration,
    /// Predicted time to first token, the wait included.
    pub predicted_ttft: Duration,
}

/// What happens to a prompt.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// Send it to the chosen engines now.
    Place(Placement),
    /// Keep it in the queue and choose engines again shortly.
    Wait(Weighed),
    /// Refuse it, since it can no longer be served in its time.
    Refuse(Weighed),
}
