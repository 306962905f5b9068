//! Client for model engines: runs completion attempts and reserves engine memory.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::Duration;

use attohttpc::{Method, ResponseReader};
use crossbeam::channel::{Receiver, Sender, bounded};
use merlinrudder_core::dispatch::message::GrantedServer;
use merlinrudder_core::time::duration_millis;
use merlinrudder_core::units::{AttemptId, RequestId};
use merlinrudder_wire::engine::{EngineEvent, EngineKvRequest, EngineRefusal, EngineRequest};

use super::{
    DEADLINE_PASSED, MAX_REPLY_BYTES, is_connect_error, post_json, read_limited, request_builder,
    with_json_body,
};
use crate::constants::{CONNECT_TIMEOUT, RESERVATION_LEASE};
use crate::metrics;

/// Maximum length of a line in an engine's event stream, in bytes.
const MAX_LINE_BYTES: u64 = 16 * 1024;
/// Bytes without an event after which an engine's stream is given up.
const MAX_BYTES_BETWEEN_EVENTS: u64 = 64 * 1024;
/// Events that wait for a slow caller before the engine's stream is read on.
const MAX_WAITING_EVENTS: usize = 4;
/// Start of a line that carries the data of a server-sent event.
const DATA_PREFIX: &str = "data: ";

/// Event of an attempt at an engine; any variant but `Token` ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The engine generated a token.
    Token {
        /// Index in the answer, from zero.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The engine reported the end of the answer.
    Done {
        /// Number of tokens of the answer.
        total: u64,
        /// Number of tokens of the prompt.
        prompt: u64,
    },
    /// The engine refused with this reason code; nothing ran.
    Refused(String),
    /// Nothing was sent, for the given reason.
    NotConnected(String),
    /// The stream broke off or was invalid; the engine may have run the request.
    Broken(String),
}

/// Starts an attempt on a new thread and returns its events.
///
/// Dropping the receiver ends the attempt at its next token. `time_left` is the timeout of the
/// whole attempt.
#[must_use]
pub fn spawn_attempt(
    address: &str,
    body: EngineRequest,
    time_left: Duration,
) -> Receiver<AttemptEvent> {
    let (events, receiver) = bounded(MAX_WAITING_EVENTS);
    let address = address.to_owned();
    let failure_events = events.clone();
    let spawned = thread::Builder::new()
        .name("engine".to_owned())
        .spawn(move || stream_attempt(&address, &body, time_left, &events));
    if let Err(error) = spawned {
        drop(failure_events.send(AttemptEvent::NotConnected(error.to_string())));
    }
    receiver
}

/// Sends the request and reads its event stream; the last event is always sent.
fn stream_attempt(
    address: &str,
    body: &EngineRequest,
    time_left: Duration,
    events: &Sender<AttemptEvent>,
) {
    if time_left.is_zero() {
        drop(events.send(AttemptEvent::NotConnected(DEADLINE_PASSED.to_owned())));
        return;
    }
    let bytes = match serde_json::to_vec(body) {
        Ok(bytes) => bytes,
        Err(error) => {
            drop(events.send(AttemptEvent::NotConnected(error.to_string())));
            return;
        }
    };
    let sent = with_json_body(
        request_builder(Method::POST, address, "/v1/completions"),
        bytes,
    )
    .read_timeout(time_left)
    .timeout(time_left)
    .send();
    let response = match sent {
        Ok(response) => response,
        Err(error) if is_connect_error(&error) => {
            drop(events.send(AttemptEvent::NotConnected(error.to_string())));
            return;
        }
        Err(error) => {
            drop(events.send(AttemptEvent::Broken(error.to_string())));
            return;
        }
    };
    if response.is_success() {
        let (_, _, reader) = response.split();
        let last_event = read_events(body, reader, events);
        drop(events.send(last_event));
    } else {
        drop(events.send(parse_refusal(response)));
    }
}

/// Parses an error response.
///
/// It counts as `Refused` only if it says that nothing ran, and as `Broken` otherwise.
fn parse_refusal(response: attohttpc::Response) -> AttemptEvent {
    let status = response.status();
    let parsed = read_limited(response, MAX_REPLY_BYTES)
        .ok()
        .and_then(|bytes| serde_json::from_slice::<EngineRefusal>(&bytes).ok());
    match parsed {
        Some(refusal) if !refusal.ran => AttemptEvent::Refused(refusal.reason),
        _ => AttemptEvent::Broken(format!("status {status}")),
    }
}

/// Reads events until the stream ends; returns the last event of the attempt.
fn read_events(
    body: &EngineRequest,
    reader: ResponseReader,
    events: &Sender<AttemptEvent>,
) -> AttemptEvent {
    let mut reader = BufReader::new(reader);
    let mut line = String::new();
    let mut since_event = 0;
    loop {
        line.clear();
        let mut limited = std::io::Read::take(&mut reader, MAX_LINE_BYTES);
        match limited.read_line(&mut line) {
            Ok(0) => {
                return AttemptEvent::Broken(
                    "the stream ended before the answer was complete".to_owned(),
                );
            }
            Ok(length) => since_event += length as u64,
            Err(error) => return AttemptEvent::Broken(error.to_string()),
        }
        if since_event > MAX_BYTES_BETWEEN_EVENTS {
            return AttemptEvent::Broken(format!(
                "the engine sent {since_event} bytes without an event"
            ));
        }
        let Some(data) = line.trim_end().strip_prefix(DATA_PREFIX) else {
            continue;
        };
        let event: EngineEvent = match serde_json::from_str(data) {
            Ok(event) => event,
            Err(error) => return AttemptEvent::Broken(error.to_string()),
        };
        if event.request_id != body.request_id || event.attempt != body.attempt {
            // Events of another request or attempt must never reach this caller.
            metrics::count_dropped_event();
            continue;
        }
        since_event = 0;
        if event.done {
            return AttemptEvent::Done {
                total: event.index,
                prompt: event.prompt_tokens,
            };
        }
        let token = AttemptEvent::Token {
            index: event.index,
            text: event.text,
        };
        if events.send(token).is_err() {
            return AttemptEvent::Broken("the attempt was abandoned".to_owned());
        }
    }
}

/// Reserves memory on all granted servers except the first.
///
/// The first server gets the request itself. After an error the caller must call
/// `release_group`, as other reservations may have succeeded.
///
/// # Errors
/// Returns the error of the first reservation that failed.
pub fn reserve_group(
    servers: &[GrantedServer],
    request: RequestId,
    attempt: AttemptId,
) -> Result<(), String> {
    let (results, receiver) = bounded(servers.len());
    for server in servers.iter().skip(1) {
        let (server, results) = (server.clone(), results.clone());
        let spawned = thread::Builder::new()
            .name("reserve".to_owned())
            .spawn(move || {
                drop(results.send(reserve(&server, request, attempt)));
            });
        spawned.map_err(|error| error.to_string())?;
    }
    drop(results);
    receiver.iter().collect::<Result<(), String>>()
}

/// Reserves memory for the request on one server.
fn reserve(server: &GrantedServer, request: RequestId, attempt: AttemptId) -> Result<(), String> {
    let body = reservation_body(server, request, attempt);
    match post_json(&server.address, "/kv/reserve", &body, CONNECT_TIMEOUT) {
        Ok((200, _)) => Ok(()),
        Ok((status, _)) => Err(format!(
            "{} refused the memory reservation with status {status}",
            server.id
        )),
        Err(error) => Err(format!("{} cannot be reached: {error}", server.id)),
    }
}

/// Releases the memory that `reserve_group` reserved, on a new thread.
///
/// If a release is lost, the memory is freed by the reconcile loop or when its lease expires.
pub fn release_group(servers: Vec<GrantedServer>, request: RequestId, attempt: AttemptId) {
    if servers.len() < 2 {
        return;
    }
    let spawned = thread::Builder::new()
        .name("release".to_owned())
        .spawn(move || {
            for server in servers.iter().skip(1) {
                let body = reservation_body(server, request, attempt);
                drop(post_json(
                    &server.address,
                    "/kv/release",
                    &body,
                    CONNECT_TIMEOUT,
                ));
            }
        });
    drop(spawned);
}

/// Builds the body of `/kv/reserve` and `/kv/release`.
fn reservation_body(
    server: &GrantedServer,
    request: RequestId,
    attempt: AttemptId,
) -> EngineKvRequest {
    EngineKvRequest {
        request_id: request.to_string(),
        attempt: attempt.0,
        tokens: server.memory.0,
        lease_ms: duration_millis(RESERVATION_LEASE),
    }
}
