//! The adapter of model engines: one attempt at a completion as a stream of signals.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::Duration;

use attohttpc::{Method, ResponseReader};
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use merlinrudder_core::dispatch::message::GrantedServer;
use merlinrudder_core::time::duration_millis;
use merlinrudder_core::units::{AttemptId, RequestId};
use merlinrudder_wire::engine::{EngineEvent, EngineKvRequest, EngineRefusal, EngineRequest};

use super::{NO_TIME, never_connected, post_json, request, with_json};
use crate::constants::{CONNECT_TIMEOUT, RESERVATION_LEASE};
use crate::metrics;

/// Longest line of an engine's stream, in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;
/// Prefix of a server-sent event's data.
const DATA_PREFIX: &str = "data: ";

/// What an attempt at an engine told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineSignal {
    /// A token.
    Token {
        /// Its number, from zero.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Tokens of the whole answer.
        total: u64,
        /// Tokens of the prompt.
        prompt: u64,
    },
    /// The engine refused; nothing ran.
    Refused(String),
    /// No connection was made; nothing was sent.
    NotConnected(String),
    /// The stream broke off.
    Broken(String),
}

/// Starts an attempt on a thread of its own; the stream ends with the receiver.
#[must_use]
pub fn start(address: &str, body: EngineRequest, time_left: Duration) -> Receiver<EngineSignal> {
    let (signals, receiver) = unbounded();
    let address = address.to_owned();
    let failed = signals.clone();
    let spawned = thread::Builder::new()
        .name("engine".to_owned())
        .spawn(move || run(&address, &body, time_left, &signals));
    if let Err(error) = spawned {
        drop(failed.send(EngineSignal::NotConnected(error.to_string())));
    }
    receiver
}

fn run(address: &str, body: &EngineRequest, time_left: Duration, signals: &Sender<EngineSignal>) {
    if time_left.is_zero() {
        drop(signals.send(EngineSignal::NotConnected(NO_TIME.to_owned())));
        return;
    }
    let bytes = match serde_json::to_vec(body) {
        Ok(bytes) => bytes,
        Err(error) => {
            drop(signals.send(EngineSignal::NotConnected(error.to_string())));
            return;
        }
    };
    let sent = with_json(request(Method::POST, address, "/v1/completions"), bytes)
        .read_timeout(time_left)
        .timeout(time_left)
        .send();
    let response = match sent {
        Ok(response) => response,
        Err(error) if never_connected(&error) => {
            drop(signals.send(EngineSignal::NotConnected(error.to_string())));
            return;
        }
        Err(error) => {
            drop(signals.send(EngineSignal::Broken(error.to_string())));
            return;
        }
    };
    if response.is_success() {
        let (_, _, reader) = response.split();
        let end = read_events(body, reader, signals);
        drop(signals.send(end));
    } else {
        drop(signals.send(refusal(response)));
    }
}

/// Reads a refusal; only one that says that nothing ran proves it.
fn refusal(response: attohttpc::Response) -> EngineSignal {
    let status = response.status();
    let parsed = response
        .bytes()
        .ok()
        .and_then(|bytes| serde_json::from_slice::<EngineRefusal>(&bytes).ok());
    match parsed {
        Some(refusal) if !refusal.ran => EngineSignal::Refused(refusal.reason),
        _ => EngineSignal::Broken(format!("status {status}")),
    }
}

/// Reads events until the last; returns the signal that ends the attempt.
fn read_events(
    body: &EngineRequest,
    reader: ResponseReader,
    signals: &Sender<EngineSignal>,
) -> EngineSignal {
    let mut reader = BufReader::new(reader);
    let mut line = String::new();
    loop {
        line.clear();
        let mut limited = std::io::Read::take(&mut reader, MAX_LINE_BYTES);
        match limited.read_line(&mut line) {
            Ok(0) => return EngineSignal::Broken("the stream ended early".to_owned()),
            Ok(_) => {}
            Err(error) => return EngineSignal::Broken(error.to_string()),
        }
        let Some(data) = line.trim_end().strip_prefix(DATA_PREFIX) else {
            continue;
        };
        let event: EngineEvent = match serde_json::from_str(data) {
            Ok(event) => event,
            Err(error) => return EngineSignal::Broken(error.to_string()),
        };
        if event.request_id != body.request_id || event.attempt != body.attempt {
            // An answer to something else must never reach this caller.
            metrics::count_dropped_event();
            continue;
        }
        if event.done {
            return EngineSignal::Done {
                total: event.index,
                prompt: event.prompt_tokens,
            };
        }
        let token = EngineSignal::Token {
            index: event.index,
            text: event.text,
        };
        if signals.send(token).is_err() {
            return EngineSignal::Broken("nobody reads the stream".to_owned());
        }
    }
}

/// Reserves memory at every server of a group but the first, or at none.
///
/// # Errors
/// Returns what the first failing server said.
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

fn reserve(server: &GrantedServer, request: RequestId, attempt: AttemptId) -> Result<(), String> {
    let body = reserve_body(server, request, attempt);
    match post_json(&server.address, "/kv/reserve", &body, CONNECT_TIMEOUT) {
        Ok((200, _)) => Ok(()),
        Ok((status, _)) => Err(format!(
            "{} refused the reservation: status {status}",
            server.id
        )),
        Err(error) => Err(format!("{} cannot be reached: {error}", server.id)),
    }
}

/// Frees the memory that `reserve_group` reserved; leases and the reconcile loop stand behind it.
pub fn release_group(servers: Vec<GrantedServer>, request: RequestId, attempt: AttemptId) {
    if servers.len() < 2 {
        return;
    }
    let spawned = thread::Builder::new()
        .name("release".to_owned())
        .spawn(move || {
            for server in servers.iter().skip(1) {
                let body = reserve_body(server, request, attempt);
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

fn reserve_body(server: &GrantedServer, request: RequestId, attempt: AttemptId) -> EngineKvRequest {
    EngineKvRequest {
        request_id: request.to_string(),
        attempt: attempt.0,
        tokens: server.memory.0,
        lease_ms: duration_millis(RESERVATION_LEASE),
    }
}
