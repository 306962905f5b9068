//! HTTP clients for backend servers: model engines and plain HTTP applications.

pub mod engine;
pub mod plain;
pub mod reconcile;

use std::io::{self, Read};
use std::time::Duration;

use attohttpc::header::CONTENT_TYPE;
use attohttpc::{Method, ProxySettings, RequestBuilder, Response, body};
use merlinrudder_core::dispatch::message::GrantedServer;
use merlinrudder_core::units::{AttemptId, RequestId};
use merlinrudder_wire::engine::EngineCancel;
use serde::Serialize;

use crate::constants::{CONNECT_TIMEOUT, PROBE_TIMEOUT};

/// Largest answer to an order, such as a reservation or a cancellation, in bytes.
pub(crate) const MAX_REPLY_BYTES: usize = 16 * 1024;

/// Error detail of an attempt that was not sent because its deadline had passed.
pub(crate) const DEADLINE_PASSED: &str = "deadline passed before the request was sent";

/// Creates a request builder that ignores proxy environment variables and redirects.
pub(crate) fn request_builder(method: Method, address: &str, path: &str) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT)
}

/// Posts a JSON body and returns the status code and body of the response.
///
/// `timeout` applies to the whole exchange.
pub(crate) fn post_json<T: Serialize>(
    address: &str,
    path: &str,
    value: &T,
    timeout: Duration,
) -> attohttpc::Result<(u16, Vec<u8>)> {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    let response = with_json_body(request_builder(Method::POST, address, path), body)
        .read_timeout(timeout)
        .timeout(timeout)
        .send()?;
    let status = response.status().as_u16();
    Ok((status, read_limited(response, MAX_REPLY_BYTES)?))
}

/// Reads a whole body of at most `max_bytes`.
///
/// # Errors
/// Fails if the body is larger, or does not arrive whole.
pub(crate) fn read_limited(response: Response, max_bytes: usize) -> io::Result<Vec<u8>> {
    let (_, _, reader) = response.split();
    let mut body = Vec::new();
    reader.take(max_bytes as u64 + 1).read_to_end(&mut body)?;
    if body.len() > max_bytes {
        let message = format!("the answer is larger than {max_bytes} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(body)
}

/// Adds a body of serialized JSON and its content type.
pub(crate) fn with_json_body(
    builder: RequestBuilder,
    bytes: Vec<u8>,
) -> RequestBuilder<body::Bytes<Vec<u8>>> {
    builder
        .header(CONTENT_TYPE, "application/json")
        .bytes(bytes)
}

/// Whether an error proves that no connection was opened, so nothing was sent.
pub(crate) fn is_connect_error(error: &attohttpc::Error) -> bool {
    let attohttpc::ErrorKind::Io(error) = error.kind() else {
        return false;
    };
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}

/// Probes `GET /health`; returns whether the server answers with success in time.
pub(crate) fn is_alive(address: &str) -> bool {
    let sent = request_builder(Method::GET, address, "/health")
        .read_timeout(PROBE_TIMEOUT)
        .timeout(PROBE_TIMEOUT)
        .send();
    sent.is_ok_and(|response| response.is_success())
}

/// Cancels a request at an engine, for all attempts up to `attempt`.
///
/// If the message is lost, the reconcile loop cancels the request later.
pub(crate) fn cancel(address: &str, request: RequestId, attempt: AttemptId) {
    let cancel = EngineCancel {
        request_id: request.to_string(),
        attempt: attempt.0,
    };
    drop(post_json(address, "/cancel", &cancel, PROBE_TIMEOUT));
}

/// Cancels a request on a new thread, without waiting for dead servers.
pub(crate) fn cancel_in_background(
    servers: Vec<GrantedServer>,
    request: RequestId,
    attempt: AttemptId,
) {
    let spawned = std::thread::Builder::new()
        .name("cancel".to_owned())
        .spawn(move || {
            for server in servers {
                cancel(&server.address, request, attempt);
            }
        });
    // If no thread could be started, the reconcile loop cancels the request later.
    drop(spawned);
}
