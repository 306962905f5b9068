//! Refuses requests that a planned stop would cut.

use std::time::Duration;

use merlinrudder_core::answer_pace::AnswerPace;
use merlinrudder_core::outcome::RefusalReason;
use merlinrudder_core::planned_stop::LateRequest;
use slog::info;

use super::request::CallerRequest;
use super::state::Gateway;

/// Checks that a request can end before a planned stop cuts it.
///
/// `wait` is the predicted time to its first event; that of an idle engine if it is `None`.
///
/// # Errors
/// Returns the reason to refuse one that cannot; another VM can serve it at once.
pub(super) fn check_fits(
    gateway: &Gateway,
    call: &CallerRequest,
    wait: Option<Duration>,
) -> Result<(), RefusalReason> {
    let now = gateway.now();
    let Some(exit_at) = gateway.exit_at.get() else {
        return Ok(());
    };
    let late = LateRequest {
        is_idempotent: call.route.kind.is_idempotent(),
        time_left: call.time_left(now),
        predicted: predicted_time(gateway, call, wait),
    };
    if late.fits(exit_at.since(now)) {
        return Ok(());
    }
    info!(gateway.log, "Request refused by a planned stop"; "request" => call.attempt_id_text(),
        "time_left_ms" => late.time_left.as_millis(), "prompt_tokens" => call.prompt_tokens(),
        "predicted_ms" => late.predicted.map(|time| time.as_millis()),
        "time_to_exit_ms" => exit_at.since(now).as_millis());
    Err(RefusalReason::Stopping)
}

/// Predicts the time to the end of the answer at the pace of the latest answers.
fn predicted_time(
    gateway: &Gateway,
    call: &CallerRequest,
    wait: Option<Duration>,
) -> Option<Duration> {
    let (profile, tokens) = call.engine_profile.as_ref().zip(call.token_counts)?;
    let idle = Duration::try_from_secs_f64(profile.prefill_time(tokens.prompt) / 1000.0);
    let wait = wait.unwrap_or_else(|| idle.unwrap_or(Duration::MAX));
    let paces = gateway.answer_paces.borrow();
    let unknown = AnswerPace::default();
    let pace = paces.get(&call.service).unwrap_or(&unknown);
    let answer = pace.answer_time(profile, tokens.prompt, tokens.answer);
    Some(wait.saturating_add(answer))
}

/// Records the pace of a complete answer, `taken` from its first to its last event.
pub(super) fn record_answer(gateway: &Gateway, call: &CallerRequest, events: u32, taken: Duration) {
    if let Some((profile, tokens)) = call.engine_profile.as_ref().zip(call.token_counts) {
        let mut paces = gateway.answer_paces.borrow_mut();
        let pace = paces.entry(call.service.clone()).or_default();
        pace.record(profile, tokens.prompt, events, taken);
    }
}
