//! HTTP client for the interfaces of callers and operators.

use std::io::{self, BufRead, BufReader, Read};
use std::time::{Duration, Instant};

use anyhow::{Result, anyhow};
use attohttpc::header::CONTENT_TYPE;
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use merlinrudder_node::control::input::VmStatus;
use merlinrudder_wire::engine::EngineRequest;
use serde::Deserialize;
use serde_json::{Value, json};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a whole exchange, except for completions with their own.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a call to a control VM, which answers within a second.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer that is read whole, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;
/// Longest line of an event stream, in bytes; a longer one ends the stream.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// Result of a call, as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct CallOutcome {
    /// HTTP status code; zero without a response.
    pub status: u16,
    /// Generated text so far, or body of a plain or error response.
    pub text: String,
    /// Whether a stream ended with `[DONE]`, or a plain call got a 2xx response.
    pub whole: bool,
    /// Time from the call to the first text of a completion.
    pub first_token: Option<Duration>,
    /// Time from the call to its end.
    pub total: Duration,
    /// Reason code from an error, or a description of a connection failure.
    pub reason: Option<String>,
    /// Whether the request ran, as an error says: `not_run`, `may_have_run` or `complete`.
    pub run: Option<String>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    reason: String,
    run: String,
}

/// Parameters of a streaming completion request.
#[derive(Clone, Debug)]
pub struct CompletionCall<'a> {
    /// Address of a VM for callers, as `host:port`.
    pub address: &'a str,
    /// Bearer token of the customer.
    pub token: &'a str,
    /// Name of a service or model.
    pub model: &'a str,
    /// Text of the prompt.
    pub prompt: &'a str,
    /// Maximum length of the completion, in tokens.
    pub max_tokens: u64,
    /// Timeout of the whole exchange.
    pub timeout: Duration,
}

/// Requests a streaming completion and reads it to its end.
#[must_use]
pub fn complete(call: &CompletionCall<'_>) -> CallOutcome {
    let started = Instant::now();
    let body = json!({
        "model": call.model,
        "prompt": call.prompt,
        "max_tokens": call.max_tokens,
        "stream": true,
    });
    let sent = build_request(Method::POST, call.address, "/v1/completions", call.token)
        .timeout(call.timeout)
        .read_timeout(call.timeout)
        .header(CONTENT_TYPE, "application/json")
        .bytes(body.to_string())
        .send();
    let mut outcome = match sent {
        Ok(response) if response.is_success() => read_stream(response, started),
        Ok(response) => read_error_response(response),
        Err(error) => connection_failure(&error),
    };
    outcome.total = started.elapsed();
    outcome
}

/// Requests a completion directly from an engine; returns the time to its first token.
///
/// # Errors
/// Fails if the engine cannot be reached, or ends the stream without an event.
pub fn time_engine_first_token(engine: &str, prompt: &str, max_tokens: u64) -> Result<Duration> {
    let started = Instant::now();
    let body = EngineRequest {
        request_id: format!("direct-{:x}", fastrand::u64(..)),
        attempt: 1,
        prompt: prompt.to_owned(),
        max_tokens,
        resume_from: 0,
        priority: 0,
        reservations: Vec::new(),
    };
    let response = build_request(Method::POST, engine, "/v1/completions", "")
        .timeout(RESPONSE_TIMEOUT)
        .header(CONTENT_TYPE, "application/json")
        .bytes(serde_json::to_vec(&body)?)
        .send()?;
    let (_, _, reader) = response.split();
    let mut first = None;
    for line in limited_lines(reader) {
        if line?.starts_with("data: ") {
            first.get_or_insert_with(|| started.elapsed());
        }
    }
    first.ok_or_else(|| anyhow!("{engine} ended the stream without an event"))
}

/// Calls a plain service through a VM.
///
/// `key` is sent as the idempotency key. An invalid `method` is sent as `GET`.
#[must_use]
pub fn call_plain(
    address: &str,
    token: &str,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> CallOutcome {
    let started = Instant::now();
    let method = Method::from_bytes(method.as_bytes()).unwrap_or(Method::GET);
    let mut builder = build_request(method, address, path, token).timeout(RESPONSE_TIMEOUT);
    if let Some(key) = key {
        builder = builder.header("Idempotency-Key", key);
    }
    let mut outcome = match builder.text(body.to_owned()).send() {
        Ok(response) if response.is_success() => {
            let status = response.status().as_u16();
            let text = read_text(response);
            CallOutcome {
                status,
                whole: text.is_ok(),
                text: text.unwrap_or_default(),
                ..CallOutcome::default()
            }
        }
        Ok(response) => read_error_response(response),
        Err(error) => connection_failure(&error),
    };
    outcome.total = started.elapsed();
    outcome
}

/// Builds a request that ignores the proxies of the environment.
fn build_request(method: Method, address: &str, path: &str, token: &str) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT)
        .bearer_auth(token)
}

fn connection_failure(error: &attohttpc::Error) -> CallOutcome {
    CallOutcome {
        reason: Some(format!("connection: {error}")),
        ..CallOutcome::default()
    }
}

/// Reads a whole answer.
///
/// # Errors
/// Fails if it is larger than `MAX_ANSWER_BYTES` or does not arrive whole.
fn read_answer(response: Response) -> io::Result<Vec<u8>> {
    let (_, _, reader) = response.split();
    let mut body = Vec::new();
    let length = reader.take(MAX_ANSWER_BYTES + 1).read_to_end(&mut body)?;
    if length as u64 > MAX_ANSWER_BYTES {
        return Err(io::Error::other("the answer is too large"));
    }
    Ok(body)
}

/// Reads a whole answer as text.
fn read_text(response: Response) -> io::Result<String> {
    String::from_utf8(read_answer(response)?).map_err(io::Error::other)
}

/// Returns the lines of a stream; one longer than `MAX_LINE_BYTES` is an error.
fn limited_lines(reader: impl Read) -> impl Iterator<Item = io::Result<String>> {
    let mut reader = BufReader::new(reader);
    std::iter::from_fn(move || {
        let mut line = String::new();
        let read = reader.by_ref().take(MAX_LINE_BYTES).read_line(&mut line);
        match read {
            Ok(0) => None,
            Ok(length) if length as u64 == MAX_LINE_BYTES => {
                Some(Err(io::Error::other("the line is too long")))
            }
            Ok(_) => Some(Ok(line.trim_end().to_owned())),
            Err(error) => Some(Err(error)),
        }
    })
}

fn read_error_response(response: Response) -> CallOutcome {
    let status = response.status().as_u16();
    let text = read_text(response).unwrap_or_default();
    let detail = serde_json::from_str::<ErrorBody>(&text)
        .ok()
        .map(|body| body.error);
    let (reason, run) = detail.map(|detail| (detail.reason, detail.run)).unzip();
    CallOutcome {
        status,
        text,
        reason,
        run,
        ..CallOutcome::default()
    }
}

fn read_stream(response: Response, started: Instant) -> CallOutcome {
    let mut outcome = CallOutcome {
        status: response.status().as_u16(),
        ..CallOutcome::default()
    };
    let (_, _, reader) = response.split();
    for line in limited_lines(reader) {
        let Ok(line) = line else {
            return outcome;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            outcome.whole = true;
            continue;
        }
        if let Ok(event) = serde_json::from_str::<Value>(data) {
            apply_event(&mut outcome, &event, started);
        }
    }
    outcome
}

fn apply_event(outcome: &mut CallOutcome, event: &Value, started: Instant) {
    if let Some(text) = event["choices"][0]["text"]
        .as_str()
        .filter(|text| !text.is_empty())
    {
        outcome.first_token.get_or_insert_with(|| started.elapsed());
        outcome.text.push_str(text);
    }
    if let Some(reason) = event["error"]["reason"].as_str() {
        outcome.reason = Some(reason.to_owned());
        outcome.run = event["error"]["run"].as_str().map(str::to_owned);
    }
}

/// Publishes a manifest through a VM; returns the HTTP status code and the JSON response.
///
/// # Errors
/// Fails if the VM cannot be reached or the response is not JSON.
pub fn publish(admin: &str, token: &str, manifest: &[u8]) -> Result<(u16, Value)> {
    let response = build_request(Method::POST, admin, "/admin/manifest", token)
        .timeout(RESPONSE_TIMEOUT)
        .header(CONTENT_TYPE, "application/json")
        .bytes(manifest.to_vec())
        .send()?;
    let status = response.status().as_u16();
    Ok((status, serde_json::from_slice(&read_answer(response)?)?))
}

/// Makes a call without a body to a control VM; returns the HTTP status code and the response.
///
/// # Errors
/// Fails if `method` is invalid, or the VM cannot be reached or does not answer within a second.
pub fn control_call(method: &str, control: &str, path: &str) -> Result<(u16, String)> {
    let method = Method::from_bytes(method.as_bytes())?;
    let response = build_request(method, control, path, "")
        .timeout(CONTROL_TIMEOUT)
        .send()?;
    Ok((response.status().as_u16(), read_text(response)?))
}

/// Fetches the status of a VM.
///
/// # Errors
/// Fails if the VM cannot be reached or does not return its status, such as for a wrong token.
pub fn status(admin: &str, token: &str) -> Result<VmStatus> {
    let response = build_request(Method::GET, admin, "/admin/status", token)
        .timeout(RESPONSE_TIMEOUT)
        .send()?;
    if !response.is_success() {
        return Err(anyhow!("{admin} answered {}", response.status()));
    }
    Ok(serde_json::from_slice(&read_answer(response)?)?)
}
