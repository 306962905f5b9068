//! Responses that this VM generates itself: refusals and failures.

use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use merlinrudder_core::outcome::{Refusal, RefusalReason, RunState};

use super::body::ResponseBody;
use crate::metrics;

/// Shortest `Retry-After`, used where a server may soon have capacity again.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Largest random increase of `Retry-After`, as a fraction of it.
///
/// It keeps callers from returning all at once.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Shortest and longest `Retry-After` of a VM that has just started.
const START_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_secs(1));

/// Returns the HTTP status of a refusal.
///
/// Statuses that promise that nothing ran, such as 503, are only used where that is so.
fn status_code(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.run) {
        (RefusalReason::BadRequest, _) => StatusCode::BAD_REQUEST,
        (RefusalReason::BodyTooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (RefusalReason::SlowBody, _) => StatusCode::REQUEST_TIMEOUT,
        (RefusalReason::UnknownCustomer, _) => StatusCode::UNAUTHORIZED,
        (RefusalReason::ServiceNotAllowed, _) => StatusCode::FORBIDDEN,
        (RefusalReason::UnknownPath, _) => StatusCode::NOT_FOUND,
        (RefusalReason::Quarantined, RunState::NotRun) => StatusCode::TOO_MANY_REQUESTS,
        (_, RunState::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (RefusalReason::DeadlinePassed, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Who gave a response, as an extension of it.
#[derive(Clone, Debug)]
pub(super) enum Origin {
    /// The server of this id.
    Server(String),
    /// This VM, which refused or failed the request.
    Refusal(RefusalReason, RunState),
}

/// Builds the response to a refused or failed request, and counts it by reason.
pub(super) fn response(refusal: &Refusal) -> Response<ResponseBody> {
    metrics::count_refusal(refusal.reason);
    let mut response = Response::new(ResponseBody::buffered(refusal.reason.code()));
    *response.status_mut() = status_code(refusal);
    let origin = Origin::Refusal(refusal.reason, refusal.run);
    response.extensions_mut().insert(origin);
    if let Some(wait) = refusal.retry_after {
        let seconds = match refusal.reason {
            // Rounded up, as a server is held back until then.
            RefusalReason::HeldBack => (wait.as_secs_f64() * 1000.0).ceil() / 1000.0,
            // Another VM serves the request at once.
            RefusalReason::Stopping => 0.0,
            _ => wait.as_secs_f64() * (1.0 + fastrand::f64() * RETRY_AFTER_JITTER),
        };
        let seconds = format!("{seconds:.3}");
        if let Ok(value) = HeaderValue::try_from(seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Refuses a request that did not run and may be sent again soon.
pub(super) fn retryable(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, Some(DEFAULT_RETRY_AFTER))
}

/// Refuses a request of which a VM that has just started knows no configuration yet.
///
/// After a start of all VMs many callers are refused at the same moment, so their returns are spread.
pub(super) fn no_manifest() -> Refusal {
    let (shortest, longest) = START_RETRY_AFTER;
    // `response` adds its own jitter to what is drawn here.
    let longest = longest.div_f64(1.0 + RETRY_AFTER_JITTER);
    let wait = shortest + longest.saturating_sub(shortest).mul_f64(fastrand::f64());
    Refusal::not_run(RefusalReason::NoManifest, Some(wait))
}
