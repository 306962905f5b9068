//! Answers that are not streams: JSON, and refusals in one form.

use std::time::Duration;

use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::time::duration_millis;
use merlinrudder_core::units::RequestId;
use serde::Serialize;
use serde_json::json;
use tiny_http::{Header, Request, Response};

use crate::metrics;

/// Sends a JSON answer; a caller that is gone is not an error here.
pub fn send_json<T: Serialize>(request: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    send_response(request, status, "application/json", body, &[]);
}

/// Sends an answer with extra headers.
pub fn send_response(
    request: Request,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
    headers: &[(&str, String)],
) {
    let mut response = Response::from_data(body).with_status_code(status);
    response.add_header(header("Content-Type", content_type));
    for (name, value) in headers {
        response.add_header(header(name, value));
    }
    drop(request.respond(response));
}

/// Answers whether this VM is ready.
pub fn send_ready(request: Request, ready: bool) {
    let (status, text) = if ready {
        (200, "ready\n")
    } else {
        (503, "not ready\n")
    };
    send_response(request, status, "text/plain", text.into(), &[]);
}

/// Makes a header; a value that HTTP does not allow is left empty.
fn header(name: &str, value: &str) -> Header {
    let made = Header::from_bytes(name.as_bytes(), value.as_bytes());
    made.unwrap_or_else(|()| {
        Header::from_bytes(name.as_bytes(), &b""[..]).expect("header names are constants")
    })
}

/// Refuses a request and counts the reason.
pub fn refuse(request: Request, id: Option<RequestId>, refusal: &Refusal) {
    refuse_with_message(request, id, refusal, describe(refusal.reason));
}

/// Refuses a request with a message of its own.
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
        headers.push(("X-Request-Id", id.to_string()));
    }
    if let Some(wait) = refusal.retry_after {
        headers.push(("Retry-After", whole_seconds(wait).to_string()));
    }
    send_response(
        request,
        status_of(refusal.reason),
        "application/json",
        body,
        &headers,
    );
}

/// Returns the JSON form of a refusal.
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

fn whole_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

/// Returns the HTTP status of a reason.
#[must_use]
pub const fn status_of(reason: RefusalReason) -> u16 {
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
        | RefusalReason::NoManifest
        | RefusalReason::Stopping
        | RefusalReason::NoQuorum
        | RefusalReason::ClaimsFull
        | RefusalReason::ServerRefused
        | RefusalReason::CallerGone => 503,
        RefusalReason::DeadlineUnmeetable | RefusalReason::DeadlinePassed => 504,
    }
}

/// Returns a sentence for a reason.
#[must_use]
pub const fn describe(reason: RefusalReason) -> &'static str {
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
        RefusalReason::NoManifest => "No manifest is in force yet.",
        RefusalReason::Stopping => "This VM is stopping.",
        RefusalReason::Quarantined => "This request crashed backend servers before.",
        RefusalReason::NoQuorum => "The control quorum cannot be reached, which this call needs.",
        RefusalReason::KeyReused => "The idempotency key belongs to a call with another content.",
        RefusalReason::ClaimedElsewhere => {
            "A call with this idempotency key was sent before; its outcome is not known."
        }
        RefusalReason::ClaimsFull => "Too many calls with idempotency keys are kept.",
        RefusalReason::ServerFailed => "The backend server failed.",
        RefusalReason::ServerRefused => "The backend server refused the work.",
        RefusalReason::RetryBudgetSpent => "The backend server failed, and retries are used up.",
        RefusalReason::CallerGone => "The caller went away.",
    }
}
