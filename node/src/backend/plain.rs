//! The adapter of plain applications: one call and its whole answer.

use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use attohttpc::{Method, RequestBuilder, Response};
use merlinrudder_core::claims::RecordedAnswer;

use super::{NO_TIME, never_connected, request};
use crate::constants::MAX_BUFFERED_RESPONSE_BYTES;

/// Header by which a backend server proves that it did not run a call.
pub const NOT_RUN_HEADER: &str = "x-not-run";
const OCTETS: &str = "application/octet-stream";

/// A call to be made.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method in capitals.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key of the caller, handed on.
    pub key: Option<String>,
    /// Request id, handed on for the application's log.
    pub request_id: String,
}

/// How a call went.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlainResult {
    /// The whole answer.
    Answered(RecordedAnswer),
    /// The application proved that it ran nothing.
    Refused,
    /// No connection was made; nothing was sent.
    NotConnected(String),
    /// The answer broke off or never came.
    Broken(String),
}

/// Makes a call and waits for its whole answer.
#[must_use]
pub fn call(address: &str, call: &PlainCall, time_left: Duration) -> PlainResult {
    if time_left.is_zero() {
        return PlainResult::NotConnected(NO_TIME.to_owned());
    }
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return PlainResult::NotConnected(format!("the method {} is unknown", call.method));
    };
    let sent = build(address, method, call)
        .bytes(call.body.clone())
        .read_timeout(time_left)
        .timeout(time_left)
        .send();
    match sent {
        Ok(response) => read_answer(response),
        Err(error) if never_connected(&error) => PlainResult::NotConnected(error.to_string()),
        Err(error) => PlainResult::Broken(error.to_string()),
    }
}

fn build(address: &str, method: Method, call: &PlainCall) -> RequestBuilder {
    let mut builder = request(method, address, &call.path);
    let headers = builder.headers_mut();
    let pairs = [
        (CONTENT_TYPE, Some(&call.content_type)),
        (
            HeaderName::from_static("idempotency-key"),
            call.key.as_ref(),
        ),
        (
            HeaderName::from_static("x-request-id"),
            Some(&call.request_id),
        ),
    ];
    for (name, value) in pairs {
        if let Some(Ok(value)) = value.map(|value| HeaderValue::from_str(value)) {
            headers.insert(name, value);
        }
    }
    builder
}

fn read_answer(response: Response) -> PlainResult {
    let (status, headers, reader) = response.split();
    if status.as_u16() == 503 && headers.contains_key(NOT_RUN_HEADER) {
        return PlainResult::Refused;
    }
    let content_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let mut body = Vec::new();
    match reader
        .take(MAX_BUFFERED_RESPONSE_BYTES as u64 + 1)
        .read_to_end(&mut body)
    {
        Ok(length) if length > MAX_BUFFERED_RESPONSE_BYTES => PlainResult::Broken(format!(
            "the answer is larger than {MAX_BUFFERED_RESPONSE_BYTES} bytes"
        )),
        Ok(_) => PlainResult::Answered(RecordedAnswer {
            status: status.as_u16(),
            content_type: Arc::from(content_type.unwrap_or(OCTETS)),
            body: Some(Arc::from(body)),
        }),
        Err(error) => PlainResult::Broken(error.to_string()),
    }
}
