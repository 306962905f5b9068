//! The body of a completion request.

use std::sync::Arc;

use merlinrudder_core::manifest::{Manifest, ServiceKind, ServiceRule};
use merlinrudder_core::units::Tokens;
use serde::Deserialize;

/// Tokens of an answer where the caller names no limit.
const DEFAULT_OUTPUT: u64 = 256;

/// A completion as asked for; fields that other model servers know are taken and ignored.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct CompletionBody {
    /// Name of a service, or of a model of one.
    model: String,
    /// The prompt.
    pub(super) prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    /// Whether the answer streams.
    #[serde(default)]
    pub(super) stream: bool,
}

/// Reads the body.
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
    /// Finds the service by its name or by a model's.
    pub(super) fn service(&self, manifest: &Manifest) -> Option<Arc<ServiceRule>> {
        let named = |service: &&Arc<ServiceRule>| {
            service.kind == ServiceKind::Model
                && (service.name.as_str() == self.model
                    || service
                        .models
                        .iter()
                        .any(|model| model.as_str() == self.model))
        };
        manifest.services.values().find(named).cloned()
    }

    /// Limits the answer to what the service allows.
    pub(super) fn limited(mut self, service: &ServiceRule) -> Self {
        let asked = self.max_tokens.unwrap_or(DEFAULT_OUTPUT);
        self.max_tokens = Some(asked.min(service.max_output.0));
        self
    }

    pub(super) fn max_output(&self) -> Tokens {
        Tokens(self.max_tokens.unwrap_or(DEFAULT_OUTPUT))
    }
}
