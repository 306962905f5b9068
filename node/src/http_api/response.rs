//! Responses that are not streamed: JSON, readiness and refusals.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::time::duration_millis;
use merlinrudder_core::units::RequestId;
use serde::Serialize;
use serde_json::json;

use super::request::Request;
use crate::metrics;

/// Header with the id that the VM gave a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Sends a JSON response; a disconnected caller is ignored.
pub fn send_json<T: Serialize>(request: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    send_response(request, status, "application/json", body, &[]);
}

/// Sends a response with additional headers; a disconnected caller is ignored.
pub fn send_response(
    request: Request,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
    headers: &[(HeaderName, String)],
) {
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let response_headers = response.headers_mut();
    response_headers.insert(CONTENT_TYPE, build_value(content_type));
    for (name, value) in headers {
        response_headers.insert(name, build_value(value));
    }
    request.respond(response);
}

/// Answers a readiness probe: 200 if this VM is ready, else 503.
pub fn send_ready(request: Request, ready: bool) {
    let (status, text) = if ready {
        (200, "ready\n")
    } else {
        (503, "not ready\n")
    };
    send_response(request, status, "text/plain", text.into(), &[]);
}

/// Builds the value of a header; one that HTTP does not allow becomes empty.
fn build_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or(HeaderValue::from_static(""))
}

/// Refuses a request with the standard message, and counts it by reason.
pub fn refuse(request: Request, id: Option<RequestId>, refusal: &Refusal) {
    refuse_with_message(request, id, refusal, refusal_message(refusal.reason));
}

/// Refuses a request with the given message, and counts it by reason.
///
/// The request id and the retry delay, if any, are also sent as headers.
pub fn refuse_with_message(
    request: Request,
    id: Option<RequestId>,
    refusal: &Refusal,
    message: &str,
) {
    metrics::count_refusal(refusal.reason);
    let body = serde_json::to_vec(&refusal_body(id, refusal, message)).unwrap_or_default();
    let mut headers = Vec::new();
    if let Some(id) = id {
        headers.push((REQUEST_ID, id.to_string()));
    }
    if let Some(wait) = refusal.retry_after {
        headers.push((RETRY_AFTER, ceil_seconds(wait).to_string()));
    }
    send_response(
        request,
        status_code(refusal.reason),
        "application/json",
        body,
        &headers,
    );
}

/// Returns the JSON body of a refusal.
#[must_use]
pub fn refusal_body(id: Option<RequestId>, refusal: &Refusal, message: &str) -> serde_json::Value {
    json!({
        "error": {
            "reason": refusal.reason.code(),
            "message": message,
            "run": refusal.run.as_str(),
            "retry_after_ms": refusal.retry_after.map(duration_millis),
        },
        "request_id": id.map(|id| id.to_string()),
    })
}

/// Rounds up to whole seconds, the unit of `Retry-After`.
fn ceil_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

/// Returns the HTTP status code of a refusal.
#[must_use]
pub const fn status_code(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::BadRequest => 400,
        RefusalReason::UnknownCustomer => 401,
        RefusalReason::ServiceNotAllowed => 403,
        RefusalReason::UnknownService | RefusalReason::UnknownPath => 404,
        RefusalReason::SlowBody => 408,
        RefusalReason::ClaimedElsewhere => 409,
        RefusalReason::BodyTooLarge | RefusalReason::PromptTooLong => 413,
        RefusalReason::Quarantined | RefusalReason::KeyReused => 422,
        RefusalReason::CustomerLimit => 429,
        RefusalReason::ServerFailed | RefusalReason::RetryBudgetSpent => 502,
        RefusalReason::VmLimit
        | RefusalReason::QueueFull
        | RefusalReason::NoServer
        | RefusalReason::NoPath
        | RefusalReason::NoManifest
        | RefusalReason::Stopping
        | RefusalReason::NoQuorum
        | RefusalReason::ClaimsFull
        | RefusalReason::RateLimited
        | RefusalReason::HeldBack
        | RefusalReason::ServerRefused
        | RefusalReason::CallerGone => 503,
        RefusalReason::DeadlineUnmeetable | RefusalReason::DeadlinePassed => 504,
    }
}

/// Returns the standard message of a refusal, one English sentence for callers.
#[must_use]
pub const fn refusal_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::BadRequest => "The request is not what this path takes.",
        RefusalReason::BodyTooLarge => "The body is larger than this deployment allows.",
        RefusalReason::SlowBody => "The body did not arrive in time.",
        RefusalReason::UnknownCustomer => "No customer has this token.",
        RefusalReason::ServiceNotAllowed => "The customer may not use this service.",
        RefusalReason::UnknownService => "There is no service or model of this name.",
        RefusalReason::UnknownPath => "No service has this method and path.",
        RefusalReason::PromptTooLong => "The prompt needs more memory than the engines have.",
        RefusalReason::CustomerLimit => "The customer has too many requests in progress.",
        RefusalReason::VmLimit => "This VM has too many requests in progress.",
        RefusalReason::QueueFull => "Too many requests wait for this service.",
        RefusalReason::DeadlineUnmeetable => "The request could not finish within its time.",
        RefusalReason::DeadlinePassed => "The request's time is over.",
        RefusalReason::NoServer => "No backend server of this service is available.",
        RefusalReason::NoPath => "No backend server of this service can be reached.",
        RefusalReason::NoManifest => "No manifest is in force yet.",
        RefusalReason::Stopping => "This VM is stopping.",
        RefusalReason::Quarantined => "This request crashed backend servers before.",
        RefusalReason::NoQuorum => "The control quorum cannot be reached, which this call needs.",
        RefusalReason::KeyReused => "The idempotency key belongs to a call with another content.",
        RefusalReason::ClaimedElsewhere => {
            "A call with this idempotency key was sent before; its outcome is not known."
        }
        RefusalReason::ClaimsFull => "Too many calls with idempotency keys are kept.",
        RefusalReason::RateLimited => "The backend servers take no more requests a second.",
        RefusalReason::HeldBack => "The backend servers take no requests for a while.",
        RefusalReason::ServerFailed => "The backend server failed.",
        RefusalReason::ServerRefused => "The backend server refused the work.",
        RefusalReason::RetryBudgetSpent => "The backend server failed, and retries are used up.",
        RefusalReason::CallerGone => "The caller went away.",
    }
}
