//! Client for plain HTTP applications: sends one call and reads its whole answer.

use std::io::{self, Read};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use attohttpc::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, TRANSFER_ENCODING};
use attohttpc::{Method, RequestBuilder, Response, StatusCode};
use merlinrudder_core::claims::RecordedAnswer;

use super::{DEADLINE_PASSED, is_connect_error, request_builder};
use crate::constants::MAX_BUFFERED_RESPONSE_BYTES;
use crate::memory_budget::MemoryShare;

/// Header of a 503 response that proves that the call was not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Content type of an answer that names none.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Call to a plain application, as received from the caller.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method, in capitals.
    pub method: String,
    /// Path and query of the URL.
    pub path: String,
    /// Content type of the body; empty if the caller sent none.
    pub content_type: String,
    /// Body, forwarded unchanged.
    pub body: Vec<u8>,
    /// Idempotency key of the caller, forwarded as a header.
    pub key: Option<String>,
    /// Request id, forwarded as a header for the application's log.
    pub request_id: String,
}

/// Outcome of one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlainResult {
    /// The whole answer arrived, whatever its status code.
    Answered(RecordedAnswer),
    /// The application answered that it did not run the call.
    Refused,
    /// Nothing was sent, for the given reason.
    NotConnected(String),
    /// No whole answer arrived; the application may have run the call.
    Broken(String),
}

/// Wait before the attempt to connect to an application that closed a connection.
///
/// A process that ends closes its connections and its listener in any order.
const PROBE_DELAY: Duration = Duration::from_millis(15);
/// Timeout for such an attempt; an application that cannot be reached gives no evidence.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Status codes that end a request in HTTP; the HTTP library lets others up to 999 pass.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Copies of an answer that are held at once: as read, as recorded and as sent.
const ANSWER_COPIES: usize = 3;
/// Size of the parts in which an answer is read, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Sends a call and waits up to `time_left` for its whole answer, whose memory `share` takes.
#[must_use]
pub fn call(
    address: &str,
    call: &PlainCall,
    time_left: Duration,
    share: &mut MemoryShare,
) -> PlainResult {
    if time_left.is_zero() {
        return PlainResult::NotConnected(DEADLINE_PASSED.to_owned());
    }
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return PlainResult::NotConnected(format!("HTTP method {} is not valid", call.method));
    };
    let has_body = method != Method::HEAD;
    let sent = build_request(address, method, call)
        .bytes(call.body.clone())
        .read_timeout(time_left)
        .timeout(time_left)
        .send();
    match sent {
        Ok(response) => read_answer(address, response, has_body, share),
        Err(error) if is_connect_error(&error) => PlainResult::NotConnected(error.to_string()),
        Err(error) => PlainResult::Broken(error.to_string()),
    }
}

/// Builds the request; forwards only content type, idempotency key and request id as headers.
fn build_request(address: &str, method: Method, call: &PlainCall) -> RequestBuilder {
    let mut builder = request_builder(method, address, &call.path);
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

/// Reads an answer of at most `MAX_BUFFERED_RESPONSE_BYTES`.
///
/// A larger one counts as broken, and so does one that is shorter than stated if it `has_body`. Where only
/// the closed connection marks its end, it is broken if the application at `address` has ended.
fn read_answer(
    address: &str,
    response: Response,
    has_body: bool,
    share: &mut MemoryShare,
) -> PlainResult {
    let (status, headers, reader) = response.split();
    if status.as_u16() == 503 && headers.contains_key(NOT_RUN_HEADER) {
        return PlainResult::Refused;
    }
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return PlainResult::Broken(format!("status {status} is no final one"));
    }
    let content_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let may_have_body =
        has_body && ![StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    // The HTTP library takes the end of the connection for the end of the body.
    let stated_length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok())
        .filter(|_| has_body && status != StatusCode::NOT_MODIFIED);
    let mut answer_share = share.sibling();
    match read_body(reader, &mut answer_share) {
        Ok(body) if stated_length.is_some_and(|length| length != body.len()) => {
            PlainResult::Broken(format!("the answer ended after {} bytes", body.len()))
        }
        Ok(_) if !is_framed && may_have_body && has_ended(address) => {
            PlainResult::Broken("the application ended within its answer".to_owned())
        }
        Ok(body) => {
            share.absorb(answer_share);
            PlainResult::Answered(RecordedAnswer {
                status: status.as_u16(),
                content_type: Arc::from(content_type.unwrap_or(DEFAULT_CONTENT_TYPE)),
                body: Some(Arc::from(body)),
            })
        }
        Err(error) => PlainResult::Broken(error.to_string()),
    }
}

/// Whether no process listens at an address any more, whose connection was closed a moment ago.
fn has_ended(address: &str) -> bool {
    let Ok(address) = address.parse() else {
        return false;
    };
    thread::sleep(PROBE_DELAY);
    let connected = TcpStream::connect_timeout(&address, PROBE_TIMEOUT);
    matches!(connected, Err(error) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Reads a body to its end while `share` grows with it.
fn read_body(mut reader: impl Read, share: &mut MemoryShare) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut part = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = reader.read(&mut part)?;
        if length == 0 {
            return Ok(body);
        }
        if body.len() + length > MAX_BUFFERED_RESPONSE_BYTES {
            return Err(io::Error::other(format!(
                "the answer is larger than {MAX_BUFFERED_RESPONSE_BYTES} bytes"
            )));
        }
        share
            .grow(length * ANSWER_COPIES)
            .map_err(io::Error::other)?;
        body.extend_from_slice(&part[..length]);
    }
}
