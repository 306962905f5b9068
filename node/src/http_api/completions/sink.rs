//! Response to the caller of a completion, streamed or buffered.

use std::time::{Duration, Instant};

use merlinrudder_core::outcome::Refusal;
use merlinrudder_core::units::RequestId;
use serde_json::json;

use crate::http_api::request::Request;
use crate::http_api::response::{refusal_body, refusal_message, refuse, send_json};
use crate::http_api::stream::EventStream;
use crate::metrics;

/// Time without a token before the first SSE comment opens the stream.
///
/// Until the stream is open, a refusal can still be sent with its own HTTP status.
const STREAM_OPEN_DELAY: Duration = Duration::from_secs(2);

/// Error: the caller disconnected.
#[derive(Debug)]
pub(super) struct CallerGone;

/// Receives the tokens of a completion and sends them to the caller.
pub(super) struct ResponseSink {
    id: RequestId,
    /// Name of the service, sent as the model name.
    service: String,
    created_at: Instant,
    mode: ResponseMode,
}

enum ResponseMode {
    /// Each token is sent as an event.
    Stream(EventStream),
    /// The text is collected and sent at the end.
    Buffered { request: Request, text: String },
}

impl ResponseSink {
    pub(super) fn new(request: Request, id: RequestId, service: &str, stream: bool) -> Self {
        let mode = if stream {
            ResponseMode::Stream(EventStream::new(request, id))
        } else {
            ResponseMode::Buffered {
                request,
                text: String::new(),
            }
        };
        Self {
            id,
            service: service.to_owned(),
            created_at: Instant::now(),
            mode,
        }
    }

    /// Sends a token, or appends it to the buffered text.
    pub(super) fn push_token(&mut self, index: u64, token: &str) -> Result<(), CallerGone> {
        match &mut self.mode {
            ResponseMode::Stream(stream) => {
                let event = json!({
                    "id": self.id.to_string(),
                    "object": "text_completion",
                    "model": self.service,
                    "choices": [{ "index": 0, "text": token, "finish_reason": null }],
                    "token": index,
                });
                stream.send_event(&event).map_err(|_error| CallerGone)
            }
            ResponseMode::Buffered { text, .. } => {
                text.push_str(token);
                Ok(())
            }
        }
    }

    /// Sends an SSE comment to detect a disconnected caller.
    ///
    /// Nothing is sent before `STREAM_OPEN_DELAY` has passed.
    pub(super) fn send_keepalive(&mut self) -> Result<(), CallerGone> {
        match &mut self.mode {
            ResponseMode::Stream(stream) if self.created_at.elapsed() >= STREAM_OPEN_DELAY => {
                stream.send_comment().map_err(|_error| CallerGone)
            }
            ResponseMode::Stream(_) | ResponseMode::Buffered { .. } => Ok(()),
        }
    }

    /// Sends the end of a complete answer with its token counts.
    pub(super) fn finish(self, prompt_tokens: u64, completion_tokens: u64) {
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        });
        let body = |text: &str| {
            json!({
                "id": self.id.to_string(),
                "object": "text_completion",
                "model": self.service,
                "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
                "usage": usage,
            })
        };
        match self.mode {
            ResponseMode::Stream(mut stream) => {
                // A caller that disconnects now already has all tokens, so an error is ignored.
                let sent = stream.send_event(&body("")).and_then(|()| stream.finish());
                drop(sent);
            }
            ResponseMode::Buffered { request, text } => send_json(request, 200, &body(&text)),
        }
    }

    /// Sends a refusal; as an event without `[DONE]` if the stream is open.
    pub(super) fn refuse(self, refusal: &Refusal) {
        match self.mode {
            ResponseMode::Buffered { request, .. } => refuse(request, Some(self.id), refusal),
            ResponseMode::Stream(mut stream) => {
                if let Some(request) = stream.take_unsent() {
                    refuse(request, Some(self.id), refusal);
                } else {
                    metrics::count_refusal(refusal.reason);
                    let body =
                        refusal_body(Some(self.id), refusal, refusal_message(refusal.reason));
                    drop(stream.send_event(&body).and_then(|()| stream.close()));
                }
            }
        }
    }
}
