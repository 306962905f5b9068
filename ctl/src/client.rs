//! HTTP clients for callers and operators.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use anyhow::{Result, anyhow};
use attohttpc::header::CONTENT_TYPE;
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use merlinrudder_node::control::input::VmStatus;
use merlinrudder_wire::engine::EngineRequest;
use serde::Deserialize;
use serde_json::{Value, json};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const ADMIN_TIMEOUT: Duration = Duration::from_secs(20);

/// How a call ended, as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct CallOutcome {
    /// HTTP status; zero where the connection failed.
    pub status: u16,
    /// Text of a completion, or body of a plain answer.
    pub text: String,
    /// Whether the answer was marked as whole.
    pub whole: bool,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Reason code of a refusal or failure.
    pub reason: Option<String>,
    /// Whether the request ran, in the words of a refusal.
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

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct CompletionCall<'a> {
    /// Address for callers.
    pub address: &'a str,
    /// Customer's token.
    pub token: &'a str,
    /// Service or model.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// Time after which the caller gives up.
    pub timeout: Duration,
}

/// Asks for a streamed completion and reads it to its end.
#[must_use]
pub fn complete(call: &CompletionCall<'_>) -> CallOutcome {
    let started = Instant::now();
    let body = json!({
        "model": call.model,
        "prompt": call.prompt,
        "max_tokens": call.max_tokens,
        "stream": true,
    });
    let sent = request(Method::POST, call.address, "/v1/completions", call.token)
        .timeout(call.timeout)
        .read_timeout(call.timeout)
        .header(CONTENT_TYPE, "application/json")
        .bytes(body.to_string())
        .send();
    let mut outcome = match sent {
        Ok(response) if response.is_success() => read_stream(response, started),
        Ok(response) => read_refusal(response),
        Err(error) => failed(&error),
    };
    outcome.total = started.elapsed();
    outcome
}

/// Asks an engine itself for a completion; returns the time to its first token.
///
/// # Errors
/// Fails where the engine cannot be reached or streams nothing.
pub fn first_token_direct(engine: &str, prompt: &str, max_tokens: u64) -> Result<Duration> {
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
    let response = request(Method::POST, engine, "/v1/completions", "")
        .timeout(ADMIN_TIMEOUT)
        .header(CONTENT_TYPE, "application/json")
        .bytes(serde_json::to_vec(&body)?)
        .send()?;
    let (_, _, reader) = response.split();
    let mut first = None;
    for line in BufReader::new(reader).lines() {
        if line?.starts_with("data: ") {
            first.get_or_insert_with(|| started.elapsed());
        }
    }
    first.ok_or_else(|| anyhow!("{engine} streamed nothing"))
}

/// Makes a plain call.
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
    let mut builder = request(method, address, path, token).timeout(ADMIN_TIMEOUT);
    if let Some(key) = key {
        builder = builder.header("Idempotency-Key", key);
    }
    let mut outcome = match builder.text(body.to_owned()).send() {
        Ok(response) if response.is_success() => {
            let status = response.status().as_u16();
            let text = response.text_utf8().unwrap_or_default();
            CallOutcome {
                status,
                text,
                whole: true,
                ..CallOutcome::default()
            }
        }
        Ok(response) => read_refusal(response),
        Err(error) => failed(&error),
    };
    outcome.total = started.elapsed();
    outcome
}

fn request(method: Method, address: &str, path: &str, token: &str) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT)
        .bearer_auth(token)
}

fn failed(error: &attohttpc::Error) -> CallOutcome {
    CallOutcome {
        reason: Some(format!("connection: {error}")),
        ..CallOutcome::default()
    }
}

fn read_refusal(response: Response) -> CallOutcome {
    let status = response.status().as_u16();
    let text = response.text_utf8().unwrap_or_default();
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
    for line in BufReader::new(reader).lines() {
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
            take_event(&mut outcome, &event, started);
        }
    }
    outcome
}

fn take_event(outcome: &mut CallOutcome, event: &Value, started: Instant) {
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

/// Publishes a manifest; returns the HTTP status and the answer.
///
/// # Errors
/// Fails where the VM cannot be reached or does not answer in JSON.
pub fn publish(admin: &str, token: &str, manifest: &[u8]) -> Result<(u16, Value)> {
    let response = request(Method::POST, admin, "/admin/manifest", token)
        .timeout(ADMIN_TIMEOUT)
        .header(CONTENT_TYPE, "application/json")
        .bytes(manifest.to_vec())
        .send()?;
    let status = response.status().as_u16();
    Ok((status, serde_json::from_slice(&response.bytes()?)?))
}

/// Asks a VM for its status.
///
/// # Errors
/// Fails where the VM cannot be reached or refuses the token.
pub fn status(admin: &str, token: &str) -> Result<VmStatus> {
    let response = request(Method::GET, admin, "/admin/status", token)
        .timeout(ADMIN_TIMEOUT)
        .send()?;
    if !response.is_success() {
        return Err(anyhow!("{admin} answered {}", response.status()));
    }
    Ok(serde_json::from_slice(&response.bytes()?)?)
}
