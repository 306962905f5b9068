//! HTTP API of a control VM for operators and backend servers.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Error, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use merlinrudder_core::control::PublishedManifest;
use merlinrudder_core::names::ZoneName;
use merlinrudder_core::time::duration_millis;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_platform::calls::ControlCall;
use merlinrudder_platform::{config, instances};
use serde_json::json;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;

use super::caller::CallerConnection;
use super::crashes::QuarantineEntry;
use super::input::{Input, InputSender, Reply};
use crate::constants::{ACCEPT_RETRY_DELAY, MAX_ADMIN_BODY_BYTES};
use crate::sockets;

/// Timeout for receiving a request head.
///
/// It also limits how long a connection may stay idle.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Path of the quarantined contents, followed by `/` and the digest of one of them.
const QUARANTINE_PATH: &str = "/admin/quarantine";
/// Path of the evacuated zones.
const EVACUATIONS_PATH: &str = "/admin/evacuations";

type ApiResponse = Response<Full<Bytes>>;

/// Zones that operators may evacuate; any zone if it is empty.
type KnownZones = Arc<BTreeSet<ZoneName>>;

/// Accepts HTTP connections until the process exits.
pub(super) async fn serve(
    listener: TcpListener,
    inputs: InputSender,
    zones: KnownZones,
    log: Logger,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (inputs, zones) = (inputs.clone(), Arc::clone(&zones));
                tokio::spawn(serve_connection(stream, inputs, zones, log.clone()));
            }
            Err(error) => {
                warn!(log, "Accepting a connection failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, inputs: InputSender, zones: KnownZones, log: Logger) {
    if let Err(error) = sockets::set_tcp_options(&stream) {
        warn!(log, "Setting socket options failed"; "error" => %error);
    }
    let caller = CallerConnection::new(stream);
    let service = service_fn(|request| {
        let (inputs, zones, log) = (inputs.clone(), Arc::clone(&zones), log.clone());
        let caller = caller.clone();
        async move {
            let response = handle_request(request, caller, &inputs, &zones, &log).await;
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(caller.clone()), service);
    // Connection errors are ignored, since a client whose call was cut off repeats it.
    drop(connection.await);
}

async fn handle_request(
    request: Request<Incoming>,
    caller: CallerConnection,
    inputs: &InputSender,
    zones: &BTreeSet<ZoneName>,
    log: &Logger,
) -> ApiResponse {
    let path = request.uri().path().to_owned();
    if let Some(content) = path.strip_prefix(QUARANTINE_PATH) {
        return match (request.method(), content) {
            (&Method::GET, "") => list_quarantine(inputs).await,
            (&Method::DELETE, _) => lift_quarantine(content, caller, inputs).await,
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or DELETE"),
        };
    }
    if path == EVACUATIONS_PATH {
        return match *request.method() {
            Method::GET => list_evacuations(inputs).await,
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
        };
    }
    let Some(call) = ControlCall::parse(request.method().as_str(), &path) else {
        return text_response(StatusCode::NOT_FOUND, "no such call");
    };
    let body = Limited::new(request.into_body(), MAX_ADMIN_BODY_BYTES).collect();
    let Ok(body) = body.await else {
        return text_response(StatusCode::BAD_REQUEST, "the body did not come whole");
    };
    let body = body.to_bytes();
    match call {
        ControlCall::PutConfig => put_config(body, inputs, log).await,
        ControlCall::GetConfig => get_config(inputs).await,
        ControlCall::Heartbeat(id) => match instances::read_heartbeat(&id, &body) {
            Ok((record, report)) => {
                submit(inputs, |reply| Input::Heartbeat(record, report, reply)).await
            }
            Err(error) => {
                info!(log, "Rejected a heartbeat"; "server" => %id, "error" => %error);
                text_response(StatusCode::BAD_REQUEST, &error.to_string())
            }
        },
        ControlCall::Deregister(id) => match instances::read_deregistration(&body) {
            Ok(born) => submit(inputs, |reply| Input::Deregister(id, born, reply)).await,
            Err(error) => {
                info!(log, "Rejected a deregistration"; "server" => %id, "error" => %error);
                text_response(StatusCode::BAD_REQUEST, &error.to_string())
            }
        },
        ControlCall::StartEvacuation(zone) => {
            set_evacuation(zone, true, caller, inputs, zones).await
        }
        ControlCall::EndEvacuation(zone) => {
            set_evacuation(zone, false, caller, inputs, zones).await
        }
    }
}

async fn put_config(body: Bytes, inputs: &InputSender, log: &Logger) -> ApiResponse {
    let bytes = body.len();
    // A long document is checked beside the links, whose heartbeats must not wait.
    let checked = spawn_blocking(move || check_config(&body)).await;
    let published = match checked.map_err(Error::from).flatten() {
        Ok(published) => published,
        Err(error) => {
            warn!(log, "Rejected a manifest"; "bytes" => bytes, "error" => %error);
            return text_response(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    submit(inputs, |reply| Input::Publish(published, reply)).await
}

/// Validates a configuration.
fn check_config(body: &[u8]) -> Result<PublishedManifest> {
    let deployment = config::read_config(body)?;
    Ok(PublishedManifest {
        number: deployment.number,
        bytes: Arc::from(body),
    })
}

async fn get_config(inputs: &InputSender) -> ApiResponse {
    match request_reply(inputs, Input::Read).await {
        Some(bytes) => json_response(Bytes::copy_from_slice(&bytes)),
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "no quorum, or no manifest"),
    }
}

/// Begins or ends the evacuation of a zone, which the settings must name if they name any.
async fn set_evacuation(
    zone: ZoneName,
    active: bool,
    caller: CallerConnection,
    inputs: &InputSender,
    zones: &BTreeSet<ZoneName>,
) -> ApiResponse {
    if !zones.is_empty() && !zones.contains(&zone) {
        return text_response(StatusCode::NOT_FOUND, "no such zone");
    }
    let order = |reply| Input::SetEvacuation {
        zone,
        active,
        caller,
        reply,
    };
    submit(inputs, order).await
}

async fn list_evacuations(inputs: &InputSender) -> ApiResponse {
    match request_reply(inputs, Input::ListEvacuations).await {
        Some(evacuations) => {
            let zones = evacuations.zones.iter();
            let zones: Vec<_> = zones.map(ZoneName::as_str).collect();
            let list = json!({ "revision": evacuations.revision, "zones": zones });
            json_response(Bytes::from(list.to_string()))
        }
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

async fn list_quarantine(inputs: &InputSender) -> ApiResponse {
    let entry = |entry: &QuarantineEntry| {
        json!({
            "content": entry.quarantined.content.to_string(),
            "prompt_part": entry.quarantined.content.is_prompt_part(),
            "crashes": entry.quarantined.crashes,
            "left_ms": duration_millis(entry.left),
        })
    };
    match request_reply(inputs, Input::ListQuarantine).await {
        Some(entries) => {
            let entries: Vec<_> = entries.iter().map(entry).collect();
            json_response(Bytes::from(json!({ "quarantined": entries }).to_string()))
        }
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Lifts the quarantine of the content with this digest, `/` and 64 hexadecimal digits.
async fn lift_quarantine(
    content: &str,
    caller: CallerConnection,
    inputs: &InputSender,
) -> ApiResponse {
    let content = content.strip_prefix('/').and_then(ContentDigest::from_hex);
    let Some(content) = content else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "no digest of 64 hexadecimal digits",
        );
    };
    let order = |reply| Input::LiftQuarantine {
        content,
        caller,
        reply,
    };
    match request_reply(inputs, order).await {
        Some(true) => json_response(Bytes::from_static(b"{}")),
        Some(false) => text_response(StatusCode::NOT_FOUND, "no crash of this content is known"),
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Sends an input to the control thread and responds once the thread has replied.
async fn submit(inputs: &InputSender, input: impl FnOnce(Reply<()>) -> Input) -> ApiResponse {
    match request_reply(inputs, input).await {
        Some(()) => json_response(Bytes::from_static(instances::ACCEPTED_BODY.as_bytes())),
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "no quorum"),
    }
}

/// Sends an input to the control thread; `None` if it drops the reply channel.
async fn request_reply<T>(
    inputs: &InputSender,
    input: impl FnOnce(Reply<T>) -> Input,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    inputs.send(input(reply));
    answer.await.ok()
}

fn json_response(body: Bytes) -> ApiResponse {
    let mut response = Response::new(Full::new(body));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn text_response(status: StatusCode, body: &str) -> ApiResponse {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = status;
    response
}
