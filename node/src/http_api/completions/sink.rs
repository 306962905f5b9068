//! Where the tokens of a completion go: a stream, or a text that is sent whole.

use std::time::{Duration, Instant};

use merlinrudder_core::outcome::Refusal;
use merlinrudder_core::units::RequestId;
use serde_json::json;
use tiny_http::Request;

use crate::http_api::response::{describe, refusal_body, refuse, send_json};
use crate::http_api::stream::EventStream;
use crate::metrics;

/// Time that a refusal may still come with its own status before the stream is opened.
const HEAD_WAIT: Duration = Duration::from_secs(2);

/// The caller went away.
#[derive(Debug)]
pub(super) struct CallerGone;

/// The caller's side of a completion.
pub(super) struct Sink {
    id: RequestId,
    service: String,
    opened: Instant,
    form: Form,
}

enum Form {
    Stream(EventStream),
    Whole { request: Request, text: String },
}

impl Sink {
    pub(super) fn new(request: Request, id: RequestId, service: &str, stream: bool) -> Self {
        let form = if stream {
            Form::Stream(EventStream::new(request, id))
        } else {
            Form::Whole {
                request,
                text: String::new(),
            }
        };
        Self {
            id,
            service: service.to_owned(),
            opened: Instant::now(),
            form,
        }
    }

    /// Passes a token on.
    pub(super) fn token(&mut self, index: u64, token: &str) -> Result<(), CallerGone> {
        match &mut self.form {
            Form::Stream(stream) => {
                let event = json!({
                    "id": self.id.to_string(),
                    "object": "text_completion",
                    "model": self.service,
                    "choices": [{ "index": 0, "text": token, "finish_reason": null }],
                    "token": index,
                });
                stream.event(&event).map_err(|_gone| CallerGone)
            }
            Form::Whole { text, .. } => {
                text.push_str(token);
                Ok(())
            }
        }
    }

    /// Notices a streaming caller that is gone.
    pub(super) fn heartbeat(&mut self) -> Result<(), CallerGone> {
        match &mut self.form {
            Form::Stream(stream) if self.opened.elapsed() >= HEAD_WAIT => {
                stream.comment().map_err(|_gone| CallerGone)
            }
            Form::Stream(_) | Form::Whole { .. } => Ok(()),
        }
    }

    /// Ends with a whole answer.
    pub(super) fn finish_whole(self, prompt_tokens: u64, tokens: u64) {
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
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
        match self.form {
            Form::Stream(mut stream) => {
                // A caller that leaves now has lost nothing but the last mark.
                let sent = stream.event(&body("")).and_then(|()| stream.finish_whole());
                drop(sent);
            }
            Form::Whole { request, text } => send_json(request, 200, &body(&text)),
        }
    }

    /// Ends with a refusal or failure; a stream that began never looks whole after it.
    pub(super) fn refuse(self, refusal: &Refusal) {
        match self.form {
            Form::Whole { request, .. } => refuse(request, Some(self.id), refusal),
            Form::Stream(mut stream) => {
                if let Some(request) = stream.take_unsent() {
                    refuse(request, Some(self.id), refusal);
                } else {
                    metrics::count_refusal(refusal.reason);
                    let body = refusal_body(Some(self.id), refusal, describe(refusal.reason));
                    drop(stream.event(&body).and_then(|()| stream.end()));
                }
            }
        }
    }
}
