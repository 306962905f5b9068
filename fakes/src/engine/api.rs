//! HTTP endpoints of the fake engine.

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use attohttpc::ProxySettings;
use crossbeam::channel::Receiver;
use merlinrudder_wire::announce::WireCacheSnapshot;
use merlinrudder_wire::engine::{
    EngineCancel, EngineEvent, EngineExport, EngineHolding, EngineImport, EngineKvRequest,
    EngineOrder, EngineRefusal, EngineRequest, prefix_blocks,
};
use serde::de::DeserializeOwned;
use serde_json::json;
use tiny_http::{Method, Request};

use super::model::{ModelRefusal, Sequence, SequenceKey};
use super::{EngineLogLine, Shared, lock};
use crate::completion::{FakeCompletion, prompt_tokens};
use crate::faults::Faults;
use crate::http_server::{read_body, send_json, write_chunk};

/// Interval at which a hanging request checks whether the fault or the engine has ended.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of KV cache tokens that one transfer request carries.
const KV_CHUNK_TOKENS: u64 = 100_000;
/// Timeout of one KV cache transfer request.
const KV_CHUNK_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) fn handle(shared: &Arc<Shared>, request: Request) {
    let method = request.method().clone();
    let path = request.url().to_owned();
    match (&method, path.as_str()) {
        (Method::Get, "/health") => handle_health(shared, request),
        (Method::Post, "/v1/completions") => complete(shared, request),
        (Method::Post, "/cancel") => handle_json(request, |cancel: EngineCancel| {
            if !lock(&shared.faults).ignore_cancel {
                shared.runner.cancel(&cancel.request_id, cancel.attempt);
                set_final_state(shared, &cancel.request_id, cancel.attempt, "cancelled");
            }
            (200, json!({}))
        }),
        (Method::Post, "/kv/reserve") => handle_json(request, |body| reserve(shared, body)),
        (Method::Post, "/kv/release") => handle_json(request, |body: EngineKvRequest| {
            shared
                .runner
                .with_model(|model| model.release(&body.request_id, body.attempt));
            (200, json!({}))
        }),
        (Method::Post, "/kv/import") => handle_json(request, |chunk| import(shared, chunk)),
        (Method::Post, "/kv/export") => handle_json(request, |body: EngineKvRequest| {
            let key = SequenceKey {
                request: body.request_id,
                attempt: body.attempt,
            };
            let tokens = shared.runner.with_model(|model| model.held_kv_tokens(&key));
            (200, json!(EngineExport { tokens }))
        }),
        (Method::Post, "/orders") => handle_json(request, |order| accept_order(shared, order)),
        (Method::Post, "/faults") => handle_json(request, |faults: Faults| {
            *lock(&shared.faults) = faults;
            (200, json!({}))
        }),
        (Method::Post, "/leave") => {
            *lock(&shared.leaving) = true;
            send_json(request, 200, &json!({}));
        }
        (Method::Get, "/holdings") => send_json(request, 200, &holdings(shared)),
        (Method::Get, "/cache") => send_json(request, 200, &cache_snapshot(shared)),
        (Method::Get, "/log") => send_json(request, 200, &*lock(&shared.log)),
        (Method::Get, "/orders") => send_json(request, 200, &*lock(&shared.orders)),
        _ => send_json(request, 404, &json!({ "reason": "path", "ran": false })),
    }
}

/// Parses a JSON body and sends the handler's response; responds 400 to an invalid body.
fn handle_json<T: DeserializeOwned>(
    mut request: Request,
    handler: impl FnOnce(T) -> (u16, serde_json::Value),
) {
    match serde_json::from_slice(&read_body(&mut request)) {
        Ok(body) => {
            let (status, value) = handler(body);
            send_json(request, status, &value);
        }
        Err(error) => send_json(
            request,
            400,
            &json!({ "reason": error.to_string(), "ran": false }),
        ),
    }
}

fn handle_health(shared: &Shared, request: Request) {
    if lock(&shared.faults).hang {
        hang(shared);
        return;
    }
    send_json(request, 200, &json!({}));
}

/// Blocks until the fault is switched off or the engine is killed.
fn hang(shared: &Shared) {
    while lock(&shared.faults).hang && !shared.killed.is_set() {
        thread::sleep(HANG_POLL_INTERVAL);
    }
}

fn reserve(shared: &Shared, body: EngineKvRequest) -> (u16, serde_json::Value) {
    let key = SequenceKey {
        request: body.request_id,
        attempt: body.attempt,
    };
    let lease = Duration::from_millis(body.lease_ms);
    match shared.runner.reserve(key, body.tokens, lease) {
        Ok(()) => (200, json!({})),
        Err(_) => (503, json!({ "reason": "memory", "ran": false })),
    }
}

fn import(shared: &Shared, chunk: EngineImport) -> (u16, serde_json::Value) {
    let key = SequenceKey {
        request: chunk.request_id,
        attempt: chunk.attempt,
    };
    match shared
        .runner
        .with_model(|model| model.import_kv(&key, chunk.tokens))
    {
        Ok(()) => (200, json!({})),
        Err(_) => (409, json!({ "reason": "not_reserved", "ran": false })),
    }
}

/// Sends the prompt's KV cache in chunks to the engines that reserved memory for it.
///
/// Each gets at most as many tokens as it reserved; only token counts are transferred. Returns
/// false once a transfer fails.
fn push_kv_cache(body: &EngineRequest) -> bool {
    body.reservations.iter().all(|reservation| {
        let mut left = reservation.tokens.min(prompt_tokens(&body.prompt));
        while left > 0 {
            let tokens = left.min(KV_CHUNK_TOKENS);
            left -= tokens;
            let chunk = EngineImport {
                request_id: body.request_id.clone(),
                attempt: body.attempt,
                tokens,
                last: left == 0,
            };
            if !send_kv_chunk(&reservation.address, &chunk) {
                return false;
            }
        }
        true
    })
}

fn send_kv_chunk(address: &str, chunk: &EngineImport) -> bool {
    let bytes = serde_json::to_vec(chunk).unwrap_or_default();
    let sent = attohttpc::post(format!("http://{address}/kv/import"))
        .proxy_settings(ProxySettings::builder().build())
        .timeout(KV_CHUNK_TIMEOUT)
        .bytes(bytes)
        .send();
    sent.is_ok_and(|response| response.is_success())
}

/// Records an order once per order id; refuses an outdated fencing number where checked.
fn accept_order(shared: &Shared, order: EngineOrder) -> (u16, serde_json::Value) {
    let mut orders = lock(&shared.orders);
    let newest = orders
        .iter()
        .map(|order| order.fencing)
        .max()
        .unwrap_or_default();
    if shared.options.checks_fencing && order.fencing < newest {
        return (
            409,
            json!({ "reason": "fencing", "ran": false, "newest": newest }),
        );
    }
    if !orders.iter().any(|known| known.order_id == order.order_id) {
        orders.push(order);
    }
    (200, json!({}))
}

fn holdings(shared: &Shared) -> Vec<EngineHolding> {
    let holding = |(key, tokens, age): (SequenceKey, u64, Duration)| EngineHolding {
        request_id: key.request,
        attempt: key.attempt,
        tokens,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    };
    shared.runner.holdings().into_iter().map(holding).collect()
}

fn cache_snapshot(shared: &Shared) -> WireCacheSnapshot {
    shared.runner.with_model(|model| WireCacheSnapshot {
        incarnation: shared.incarnation,
        next: model.next_event(),
        blocks: model.cached_blocks(),
    })
}

/// Admits a completion request and streams its tokens, subject to the active faults.
fn complete(shared: &Arc<Shared>, mut request: Request) {
    let body: EngineRequest = match serde_json::from_slice(&read_body(&mut request)) {
        Ok(body) => body,
        Err(error) => {
            let refusal = EngineRefusal {
                reason: error.to_string(),
                ran: false,
            };
            send_json(request, 400, &refusal);
            return;
        }
    };
    let faults = lock(&shared.faults).clone();
    if faults
        .crash_on
        .as_ref()
        .is_some_and(|text| body.prompt.contains(text))
    {
        log_start(shared, &body);
        set_final_state(shared, &body.request_id, body.attempt, "crashed");
        shared.crash();
        return;
    }
    if faults.hang {
        hang(shared);
        return;
    }
    thread::sleep(Duration::from_millis(faults.late_ms));
    let completion = FakeCompletion::new(&body.prompt, body.max_tokens);
    let admitted = if faults.refuse {
        Err(ModelRefusal::Full)
    } else {
        shared.runner.admit(sequence(&body, completion))
    };
    match admitted {
        Ok(tokens) => {
            log_start(shared, &body);
            stream(shared, request, &body, &tokens, completion, &faults);
        }
        Err(refusal) => {
            let reason = match refusal {
                ModelRefusal::TooLarge => "too_large",
                ModelRefusal::Full => "full",
            };
            send_json(
                request,
                503,
                &EngineRefusal {
                    reason: reason.to_owned(),
                    ran: false,
                },
            );
        }
    }
}

/// Builds the model's sequence; memory reserved at other engines is not needed here.
fn sequence(body: &EngineRequest, completion: FakeCompletion) -> Sequence {
    let prompt = prompt_tokens(&body.prompt);
    let remote_tokens: u64 = body.reservations.iter().map(|held| held.tokens).sum();
    Sequence {
        key: SequenceKey {
            request: body.request_id.clone(),
            attempt: body.attempt,
        },
        context_tokens: prompt + body.resume_from,
        blocks: prefix_blocks(&body.prompt),
        next_token: body.resume_from.min(completion.len().saturating_sub(1)),
        total_tokens: completion.len(),
        priority: body.priority,
        memory_tokens: (prompt + body.max_tokens).saturating_sub(remote_tokens),
    }
}

/// Streams tokens as the model generates them; cancels the work if the client disconnects.
fn stream(
    shared: &Shared,
    request: Request,
    body: &EngineRequest,
    tokens: &Receiver<u64>,
    completion: FakeCompletion,
    faults: &Faults,
) {
    let mut writer = request.into_writer();
    let mut sent = 0;
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut connected = writer
        .write_all(head.as_bytes())
        .and_then(|()| writer.flush())
        .is_ok();
    let mut next = body.resume_from;
    let mut pushed = false;
    for index in tokens {
        if !pushed && !push_kv_cache(body) {
            // Without the part of the KV cache on the other engine, the request cannot run.
            shared.runner.cancel(&body.request_id, body.attempt);
            set_final_state(shared, &body.request_id, body.attempt, "cancelled");
            return;
        }
        pushed = true;
        if index < next {
            continue;
        }
        next = index + 1;
        log_token(shared, body, index, &completion.token(index));
        let event = event(body, index, completion.token(index));
        connected &= send_event(&mut *writer, &event, faults, &mut sent);
        if !connected || shared.killed.is_set() {
            shared.runner.cancel(&body.request_id, body.attempt);
            set_final_state(shared, &body.request_id, body.attempt, "cancelled");
            return;
        }
    }
    if shared.killed.is_set() || next < completion.len() {
        // The engine was killed or the request cancelled: omit the events that mark completion.
        return;
    }
    let mut last = event(body, completion.len(), String::new());
    last.done = true;
    last.prompt_tokens = prompt_tokens(&body.prompt);
    if send_event(&mut *writer, &last, faults, &mut sent) {
        set_final_state(shared, &body.request_id, body.attempt, "done");
        drop(writer.write_all(b"0\r\n\r\n").and_then(|()| writer.flush()));
    }
}

fn event(body: &EngineRequest, index: u64, text: String) -> EngineEvent {
    EngineEvent {
        request_id: body.request_id.clone(),
        attempt: body.attempt,
        index,
        text,
        done: false,
        prompt_tokens: 0,
    }
}

/// Sends one event with the active faults; returns false if the stream has to end.
///
/// `sent` counts the bytes of the stream so far.
fn send_event(
    writer: &mut dyn Write,
    event: &EngineEvent,
    faults: &Faults,
    sent: &mut usize,
) -> bool {
    let json = serde_json::to_string(event).unwrap_or_default();
    let mut text = format!("data: {json}\n\n");
    if faults.duplicate {
        text = text.repeat(2);
    }
    if faults.foreign {
        let other = EngineEvent {
            request_id: "other".to_owned(),
            ..event.clone()
        };
        let json = serde_json::to_string(&other).unwrap_or_default();
        text = format!("data: {json}\n\n{text}");
    }
    *sent += text.len();
    if faults.drop_at_byte.is_some_and(|limit| *sent > limit) {
        return false;
    }
    write_chunk(writer, &text).is_ok()
}

fn log_start(shared: &Shared, body: &EngineRequest) {
    lock(&shared.log).push(EngineLogLine {
        request_id: body.request_id.clone(),
        attempt: body.attempt,
        prompt_tokens: prompt_tokens(&body.prompt),
        from: body.resume_from,
        to: body.resume_from,
        text: String::new(),
        state: "running".to_owned(),
    });
}

fn log_token(shared: &Shared, body: &EngineRequest, index: u64, text: &str) {
    update_log_line(shared, &body.request_id, body.attempt, |line| {
        line.to = index + 1;
        line.text.push_str(text);
    });
}

/// Sets the state of an attempt in the log, if it is still `running`.
fn set_final_state(shared: &Shared, request: &str, attempt: u32, state: &str) {
    update_log_line(shared, request, attempt, |line| {
        if line.state == "running" {
            state.clone_into(&mut line.state);
        }
    });
}

/// Changes the newest log line of an attempt, if there is one.
fn update_log_line(
    shared: &Shared,
    request: &str,
    attempt: u32,
    change: impl FnOnce(&mut EngineLogLine),
) {
    let mut log = lock(&shared.log);
    let line = log
        .iter_mut()
        .rev()
        .find(|line| line.request_id == request && line.attempt == attempt);
    if let Some(line) = line {
        change(line);
    }
}
