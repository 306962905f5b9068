//! Estimates of a request's work from its body and from what its customer asked before.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::{CustomerName, ServiceName};
use crate::units::Tokens;

/// Bytes of prompt text that make one token, before anything is learned.
const DEFAULT_TOKEN_BYTES: f64 = 4.0;
/// Output tokens expected of a customer that never asked before.
const DEFAULT_OUTPUT: f64 = 200.0;
/// Prompt tokens up to which a prompt has the first priority at an engine.
const PRIORITY_TOKENS: u64 = 1024;
/// Weight of the newest observation in a learned average.
const LEARNING_RATE: f64 = 0.2;
/// Most customers and services of which an average is kept.
const MAX_LEARNED: usize = 4096;

/// How fast an engine works.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Prompt tokens read in a second; positive.
    pub prefill_rate: f64,
    /// Output tokens written in a second by one of its streams; positive.
    pub decode_rate: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            prefill_rate: 50_000.0,
            decode_rate: 50.0,
        }
    }
}

/// Work of one request as predicted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkEstimate {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens that the answer may have at most.
    pub max_output: Tokens,
    /// Tokens that the answer is expected to have; at most `max_output`.
    pub output: Tokens,
}

impl WorkEstimate {
    /// Returns the engine memory that the request may come to need.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        self.prompt + self.max_output
    }

    /// Returns the priority at an engine, which runs lower ones first: one step for each doubling.
    ///
    /// A prompt waits at most for others of its own length or shorter.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let units = (self.prompt.0 / PRIORITY_TOKENS).max(1);
        u8::try_from(units.ilog2()).unwrap_or(u8::MAX)
    }

    /// Predicts the time until the first token on an idle engine that caches `cached` tokens.
    #[must_use]
    pub fn prefill_time(&self, cached: Tokens, speed: EngineSpeed) -> Duration {
        seconds(as_float(self.prompt.saturating_sub(cached)) / speed.prefill_rate)
    }

    /// Predicts the engine time of the whole request.
    #[must_use]
    pub fn engine_time(&self, cached: Tokens, speed: EngineSpeed) -> Duration {
        self.prefill_time(cached, speed) + seconds(as_float(self.output) / speed.decode_rate)
    }
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    token_bytes: f64,
    output: f64,
}

impl Default for Learned {
    fn default() -> Self {
        Self {
            token_bytes: DEFAULT_TOKEN_BYTES,
            output: DEFAULT_OUTPUT,
        }
    }
}

/// Averages learned per customer and service.
#[derive(Debug, Default)]
pub struct Estimator {
    /// At most `MAX_LEARNED` entries; further customers get the defaults.
    learned: HashMap<(CustomerName, ServiceName), Learned>,
}

impl Estimator {
    /// Estimates a request with `prompt_bytes` bytes of prompt text.
    #[must_use]
    pub fn estimate(
        &self,
        customer: &CustomerName,
        service: &ServiceName,
        prompt_bytes: usize,
        max_output: Tokens,
    ) -> WorkEstimate {
        let key = (customer.clone(), service.clone());
        let learned = self.learned.get(&key).copied().unwrap_or_default();
        let prompt = as_float(Tokens(prompt_bytes as u64)) / learned.token_bytes;
        let output = learned.output.min(as_float(max_output));
        WorkEstimate {
            prompt: as_tokens(prompt),
            max_output,
            output: as_tokens(output),
        }
    }

    /// Learns from a finished request what its prompt and answer really counted.
    pub fn observe(
        &mut self,
        customer: &CustomerName,
        service: &ServiceName,
        prompt_bytes: usize,
        prompt: Tokens,
        output: Tokens,
    ) {
        let key = (customer.clone(), service.clone());
        if self.learned.len() >= MAX_LEARNED && !self.learned.contains_key(&key) {
            return;
        }
        let learned = self.learned.entry(key).or_default();
        if prompt.0 > 0 {
            let bytes = as_float(Tokens(prompt_bytes as u64)) / as_float(prompt);
            // Text below one or above sixteen bytes a token is a counting fault, not a language.
            blend(&mut learned.token_bytes, bytes.clamp(1.0, 16.0));
        }
        blend(&mut learned.output, as_float(output).max(1.0));
    }
}

fn blend(average: &mut f64, sample: f64) {
    *average += LEARNING_RATE * (sample - *average);
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
fn as_float(tokens: Tokens) -> f64 {
    tokens.0 as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is a finite, positive token count"
)]
fn as_tokens(count: f64) -> Tokens {
    Tokens(count.max(1.0) as u64)
}

/// Converts seconds to a duration; negative and endless values become zero.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}
