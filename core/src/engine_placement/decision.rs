//! Whether a prompt is placed now, waits for room, or is refused.
//!
//! It answers bursts of long prompts, in which not all can be in time: two that are read in the same
//! pass stretch it for all, while one of them has time to let the other go first; and the longest ones
//! cost other callers more than they gain, until the burst is over.

use super::{LATE_PART, Placement, PlacementRequest, lateness, millis, prompt_value};
use crate::engine_model::EngineProfile;

/// Value lost by others above which a long prompt rather waits for engines with less to read.
const WAIT_HARM: f64 = 0.4;
/// Part of the objective that waiting and the predicted first event may take together.
const WAIT_PART: f64 = 0.55;
/// Shortest time to read a prompt alone for which waiting pays, in milliseconds.
const WAIT_READ: f64 = 120.0;
/// Value that a second of an engine's time is worth to others where all engines have prompts to read.
const BUSY_SECOND: f64 = 6.0;
/// Part of its time that a prompt may wait for a burst to end; the rest is for another try or another VM.
const MAX_WAIT_PART: f64 = 0.45;
/// What to do with a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementDecision {
    /// Send it to the engines chosen.
    Place,
    /// Choose again in a moment.
    Wait,
    /// Refuse it: others would lose more than its caller gains.
    Refuse,
}

/// Judges a placement, where a part `busy` of the engines has prompts to read.
#[must_use]
pub fn decide_placement(
    profile: &EngineProfile,
    ask: &PlacementRequest,
    placement: &Placement,
    busy: f64,
) -> PlacementDecision {
    let read = profile.prefill_time(ask.prompt_tokens);
    if read < WAIT_READ {
        return PlacementDecision::Place;
    }
    let (waited, objective) = (millis(ask.waited), millis(ask.ttft_objective));
    let first = waited + millis(placement.predicted_ttft);
    if placement.external_cost > WAIT_HARM && first < objective * WAIT_PART {
        return PlacementDecision::Wait;
    }
    let value = prompt_value(ask.prompt_tokens);
    let gain = value * (1.0 - lateness(first, objective) * (1.0 - LATE_PART));
    let engines = read / 1000.0 * BUSY_SECOND * busy;
    if placement.external_cost + engines <= gain {
        return PlacementDecision::Place;
    }
    if waited < (waited + millis(ask.time_left)) * MAX_WAIT_PART {
        return PlacementDecision::Wait;
    }
    if placement.external_cost < gain {
        PlacementDecision::Place
    } else {
        PlacementDecision::Refuse
    }
}
