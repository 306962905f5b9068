//! Decides whether a prompt is placed now, waits, or is refused.
//!
//! In a burst of long prompts not all can meet their objective. Two that are prefilled in the same
//! pass slow down every request in it, although one of them has time to wait for the other.
//!
//! The work of a prompt grows with the square of its length, and its value with the length: judged
//! by value alone, the longest prompts would wait for the end of each burst and then be refused.
//! Their work therefore counts for them as well, and is a limited reason against them. A prompt whose
//! length was left out lately is weighed by its whole value even where it will be late, from its
//! arrival on. It still gives way while short prompts fill the engines.

use std::time::Duration;

use super::{
    ExternalCost, LATE_VALUE_FRACTION, Placement, PlacementRequest, millis, miss_probability,
    prompt_value,
};
use crate::engine_model::EngineProfile;

/// External cost above which a long prompt waits for engines with less to prefill.
const MAX_EXTERNAL_COST: f64 = 0.4;
/// Fraction of the objective up to which a long prompt may wait.
///
/// The time waited and the predicted time to first token count together.
const MAX_TTFT_FRACTION: f64 = 0.3;
/// Shortest prefill time of a prompt for which waiting pays, in milliseconds.
const MIN_PREFILL_MS: f64 = 120.0;
/// Value of a second of engine time to other requests while all engines are prefilling.
const BUSY_ENGINE_VALUE: f64 = 6.0;
/// Largest cost of engine time, as a fraction of what a prompt gains.
///
/// More would make the length of a prompt alone a reason to refuse it.
const MAX_ENGINE_COST_FRACTION: f64 = 0.5;
/// Fraction of slots taken from which on a length that was left out is not helped.
const MAX_TAKEN_FRACTION: f64 = 0.4;
/// Fraction of the objective for which a prompt of such a length is helped.
///
/// One that is placed later holds its engines into the load that follows the burst.
const MAX_HELP_FRACTION: f64 = 1.0 / 3.0;
/// Least value of a prompt for each second of its prefill.
const MIN_PREFILL_VALUE: f64 = 5.0;
/// Fraction of its total time that a prompt may wait for a burst to end.
///
/// A prompt that is placed later than that is seldom answered before its caller leaves, and one that
/// is refused by then can still be served after its caller has come back.
const MAX_WAIT_FRACTION: f64 = 0.2;
/// Fraction of its total time that a prompt may wait for KV cache.
///
/// No engine works on it or keeps room for it meanwhile.
const MAX_ROOM_WAIT_FRACTION: f64 = 0.5;

/// How busy the engines are that may take a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Fraction of the engines that are prefilling.
    pub busy_fraction: f64,
    /// Fraction of their slots that are taken.
    pub taken_fraction: f64,
}

/// Returns whether a prompt is long enough to be weighed against others before it is placed.
#[must_use]
pub fn is_weighed(profile: &EngineProfile, prompt_tokens: u64) -> bool {
    profile.prefill_time(prompt_tokens) >= MIN_PREFILL_MS
}

/// What was compared for a prompt that was not placed; costs are in units of value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weighed {
    /// Value that other requests would lose.
    pub external_cost: ExternalCost,
    /// Value of the engine time that the prompt takes.
    pub engine_cost: f64,
    /// Value that the caller gains.
    pub gain: f64,
    /// Fraction of the engines that were prefilling.
    pub busy_fraction: f64,
    /// Fraction of their slots that were taken.
    pub taken_fraction: f64,
    /// Engines of the placement, the lead included.
    pub engines: usize,
    /// Predicted time to first token.
    pub predicted_ttft: Duration,
}

/// What happens to a prompt for which engines were chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementDecision {
    /// Send it to the chosen engines now.
    Place,
    /// Keep it waiting and choose engines again shortly.
    Wait(Weighed),
    /// Refuse it, since other callers would lose more than its caller gains.
    Refuse(Weighed),
}

/// Returns whether a prompt that no engines have room for now may wait until they have.
#[must_use]
pub fn may_await_room(request: &PlacementRequest) -> bool {
    has_waited_less(request, MAX_ROOM_WAIT_FRACTION)
}

/// Returns whether a prompt has waited for less than a fraction of its total time.
fn has_waited_less(request: &PlacementRequest, fraction: f64) -> bool {
    let waited = millis(request.waited);
    waited < (waited + millis(request.time_left)) * fraction
}

/// Decides on a placement.
///
/// A prompt with a short prefill is always placed.
#[must_use]
pub fn decide_placement(
    profile: &EngineProfile,
    request: &PlacementRequest,
    placement: &Placement,
    pressure: Pressure,
) -> PlacementDecision {
    if !is_weighed(profile, request.prompt_tokens) {
        return PlacementDecision::Place;
    }
    let prefill = profile.prefill_time(request.prompt_tokens);
    let external_cost = placement.external_cost.total();
    let (waited, objective) = (millis(request.waited), millis(request.ttft_objective));
    let ttft = waited + millis(placement.predicted_ttft);
    let seconds = prefill / 1000.0;
    let value = prompt_value(request.prompt_tokens).max(seconds * MIN_PREFILL_VALUE);
    let value = value * request.weight;
    let late_loss = miss_probability(ttft, objective) * (1.0 - LATE_VALUE_FRACTION);
    let is_helped = request.is_underserved
        && pressure.taken_fraction < MAX_TAKEN_FRACTION
        && waited < objective * MAX_HELP_FRACTION;
    let gain = if is_helped {
        value
    } else {
        value * (1.0 - late_loss)
    };
    let engine_cost = seconds * BUSY_ENGINE_VALUE * pressure.busy_fraction;
    let engine_cost = engine_cost.min(value * MAX_ENGINE_COST_FRACTION);
    let weighed = Weighed {
        external_cost: placement.external_cost,
        engine_cost,
        gain,
        busy_fraction: pressure.busy_fraction,
        taken_fraction: pressure.taken_fraction,
        engines: placement.helpers.len() + 1,
        predicted_ttft: placement.predicted_ttft,
    };
    if external_cost > MAX_EXTERNAL_COST && ttft < objective * MAX_TTFT_FRACTION {
        return PlacementDecision::Wait(weighed);
    }
    if external_cost + engine_cost <= gain {
        return PlacementDecision::Place;
    }
    if has_waited_less(request, MAX_WAIT_FRACTION) {
        return PlacementDecision::Wait(weighed);
    }
    if external_cost < gain {
        PlacementDecision::Place
    } else {
        PlacementDecision::Refuse(weighed)
    }
}
