//! Body of a caller's completion request.

use std::sync::Arc;

use merlinrudder_core::manifest::{Manifest, ServiceKind, ServiceRule};
use merlinrudder_core::units::Tokens;
use serde::Deserialize;

/// Limit on output tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Parsed completion request; fields that only other model servers know are ignored.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct CompletionBody {
    /// Name of a service, or of a model that a service runs.
    model: String,
    /// Text of the prompt; never empty after parsing.
    pub(super) prompt: String,
    /// Limit on output tokens; at least 1 after parsing.
    #[serde(default)]
    max_tokens: Option<u64>,
    /// Whether the answer is sent as server-sent events.
    #[serde(default)]
    pub(super) stream: bool,
}

/// Parses and validates a body.
///
/// # Errors
/// Returns the message for the caller.
pub(super) fn parse_body(bytes: &[u8]) -> Result<CompletionBody, String> {
    let body: CompletionBody = serde_json::from_slice(bytes)
        .map_err(|error| format!("The body is not valid: {error}."))?;
    if body.prompt.is_empty() {
        return Err("The prompt is empty.".to_owned());
    }
    if body.max_tokens == Some(0) {
        return Err("max_tokens must be at least 1.".to_owned());
    }
    Ok(body)
}

impl CompletionBody {
    /// Returns the model service with this name, or with a model of this name.
    pub(super) fn find_service(&self, manifest: &Manifest) -> Option<Arc<ServiceRule>> {
        let is_requested = |service: &&Arc<ServiceRule>| {
            service.kind == ServiceKind::Model
                && (service.name.as_str() == self.model
                    || service
                        .models
                        .iter()
                        .any(|model| model.as_str() == self.model))
        };
        manifest.services.values().find(is_requested).cloned()
    }

    /// Applies the default limit on output tokens and the limit of the service.
    pub(super) fn limit_output(mut self, service: &ServiceRule) -> Self {
        let requested = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        self.max_tokens = Some(requested.min(service.max_output.0));
        self
    }

    /// Returns the limit on output tokens.
    pub(super) fn max_output(&self) -> Tokens {
        Tokens(self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS))
    }
}
