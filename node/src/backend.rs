//! Adapters that meet backend servers over HTTP, one module for each kind.

pub mod engine;
pub mod plain;
pub mod reconcile;

use std::io;
use std::time::Duration;

use attohttpc::header::CONTENT_TYPE;
use attohttpc::{Method, ProxySettings, RequestBuilder, body};
use merlinrudder_core::dispatch::message::GrantedServer;
use merlinrudder_core::units::{AttemptId, RequestId};
use merlinrudder_wire::engine::EngineCancel;
use serde::Serialize;

use crate::constants::{CONNECT_TIMEOUT, PROBE_TIMEOUT};

/// Why nothing is sent once a deadline has passed.
pub(crate) const NO_TIME: &str = "no time is left";

/// Starts a request to a backend server; no environment variable can redirect it.
pub(crate) fn request(method: Method, address: &str, path: &str) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT)
}

/// Posts a small JSON body and returns the status and the answer.
pub(crate) fn post_json<T: Serialize>(
    address: &str,
    path: &str,
    value: &T,
    timeout: Duration,
) -> attohttpc::Result<(u16, Vec<u8>)> {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    let response = with_json(request(Method::POST, address, path), body)
        .read_timeout(timeout)
        .timeout(timeout)
        .send()?;
    let status = response.status().as_u16();
    Ok((status, response.bytes()?))
}

pub(crate) fn with_json(
    builder: RequestBuilder,
    bytes: Vec<u8>,
) -> RequestBuilder<body::Bytes<Vec<u8>>> {
    builder
        .header(CONTENT_TYPE, "application/json")
        .bytes(bytes)
}

/// Whether a failure proves that no connection was made, so that nothing was sent.
pub(crate) fn never_connected(error: &attohttpc::Error) -> bool {
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

/// Whether a backend server answers its health probe.
pub(crate) fn is_alive(address: &str) -> bool {
    let sent = request(Method::GET, address, "/health")
        .read_timeout(PROBE_TIMEOUT)
        .timeout(PROBE_TIMEOUT)
        .send();
    sent.is_ok_and(|response| response.is_success())
}

/// Tells an engine to drop a request up to an attempt; a lost cancel is found by the reconcile loop.
pub(crate) fn cancel(address: &str, request: RequestId, attempt: AttemptId) {
    let cancel = EngineCancel {
        request_id: request.to_string(),
        attempt: attempt.0,
    };
    drop(post_json(address, "/cancel", &cancel, PROBE_TIMEOUT));
}

/// Cancels on a thread of its own, so that the caller never waits for a dead server.
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
    // Without a thread the reconcile loop cancels.
    drop(spawned);
}
