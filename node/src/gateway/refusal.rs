//! Answers of this VM's own: refusals and failures.

use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use merlinrudder_core::outcome::{Refusal, RefusalReason, RunState};

use super::body::AnswerBody;
use crate::metrics;

/// Time after which a caller may come back where a server may have room again soon.
pub(super) const SOON: Duration = Duration::from_millis(400);
/// Part of a wait by which callers are spread, so that they do not return together.
const SPREAD: f64 = 0.5;

/// Returns the status that tells a refusal; those that promise that nothing ran stand only there.
fn status(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.run) {
        (RefusalReason::BadRequest, _) => StatusCode::BAD_REQUEST,
        (RefusalReason::BodyTooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (RefusalReason::SlowBody, _) => StatusCode::REQUEST_TIMEOUT,
        (RefusalReason::UnknownCustomer, _) => StatusCode::UNAUTHORIZED,
        (RefusalReason::UnknownPath, _) => StatusCode::NOT_FOUND,
        (_, RunState::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (RefusalReason::DeadlinePassed, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Makes the answer to a request that was refused or failed, and counts it.
pub(super) fn answer(refusal: &Refusal) -> Response<AnswerBody> {
    metrics::count_refusal(refusal.reason);
    let mut answer = Response::new(AnswerBody::whole(refusal.reason.code()));
    *answer.status_mut() = status(refusal);
    if let Some(wait) = refusal.retry_after {
        let spread = wait.mul_f64(1.0 + fastrand::f64() * SPREAD);
        let seconds = format!("{:.3}", spread.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(seconds) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

/// Makes a refusal of a request that has not run and may come back soon.
pub(super) fn come_back(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, Some(SOON))
}
