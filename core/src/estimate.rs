//! Estimates a request's work from its prompt size and its customer's earlier requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::{CustomerName, ServiceName};
use crate::units::Tokens;

/// Bytes of prompt text per token, used before any request was observed.
const DEFAULT_BYTES_PER_TOKEN: f64 = 4.0;
/// Output tokens expected for a customer without earlier requests.
const DEFAULT_OUTPUT_TOKENS: f64 = 200.0;
/// Unit of prompt length for priorities, in tokens; shorter prompts count as one unit.
const PRIORITY_UNIT_TOKENS: u64 = 1024;
/// Weight of the newest observation in an exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Maximum number of pairs of customer and service with averages.
const MAX_AVERAGES: usize = 4096;

/// Processing rates of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Prompt tokens prefilled per second; positive.
    pub prefill_rate: f64,
    /// Output tokens per second of a single stream; positive.
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

/// Predicted work of one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkEstimate {
    /// Prompt tokens, estimated from the prompt's bytes.
    pub prompt: Tokens,
    /// Upper limit of output tokens.
    pub max_output: Tokens,
    /// Expected output tokens; at most `max_output`.
    pub output: Tokens,
}

impl WorkEstimate {
    /// Returns the engine memory, in tokens, that the request needs at most.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        self.prompt + self.max_output
    }

    /// Returns the priority at an engine, which runs lower values first.
    ///
    /// It grows by one with each doubling of the prompt length, so that a prompt waits only for
    /// prompts of about its own length or shorter.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let priority_units = (self.prompt.0 / PRIORITY_UNIT_TOKENS).max(1);
        u8::try_from(priority_units.ilog2()).unwrap_or(u8::MAX)
    }

    /// Predicts the prefill time on an idle engine that caches `cached` prompt tokens.
    #[must_use]
    pub fn prefill_time(&self, cached: Tokens, speed: EngineSpeed) -> Duration {
        duration_from_secs(as_float(self.prompt.saturating_sub(cached)) / speed.prefill_rate)
    }

    /// Predicts the prefill and decode time of the whole request on an idle engine.
    #[must_use]
    pub fn engine_time(&self, cached: Tokens, speed: EngineSpeed) -> Duration {
        self.prefill_time(cached, speed)
            + duration_from_secs(as_float(self.output) / speed.decode_rate)
    }
}

#[derive(Clone, Copy, Debug)]
struct Averages {
    token_bytes: f64,
    output: f64,
}

impl Default for Averages {
    fn default() -> Self {
        Self {
            token_bytes: DEFAULT_BYTES_PER_TOKEN,
            output: DEFAULT_OUTPUT_TOKENS,
        }
    }
}

/// Learns averages per customer and service, and predicts the work of requests from them.
#[derive(Debug, Default)]
pub struct Estimator {
    /// At most `MAX_AVERAGES` entries; customers beyond that get the defaults.
    by_customer: HashMap<(CustomerName, ServiceName), Averages>,
}

impl Estimator {
    /// Estimates the work of a request with `prompt_bytes` bytes of prompt text.
    #[must_use]
    pub fn estimate(
        &self,
        customer: &CustomerName,
        service: &ServiceName,
        prompt_bytes: usize,
        max_output: Tokens,
    ) -> WorkEstimate {
        let key = (customer.clone(), service.clone());
        let averages = self.by_customer.get(&key).copied().unwrap_or_default();
        let prompt = as_float(Tokens(prompt_bytes as u64)) / averages.token_bytes;
        let output = averages.output.min(as_float(max_output));
        WorkEstimate {
            prompt: as_tokens(prompt),
            max_output,
            output: as_tokens(output),
        }
    }

    /// Updates the averages with the token counts of a finished request.
    pub fn observe(
        &mut self,
        customer: &CustomerName,
        service: &ServiceName,
        prompt_bytes: usize,
        prompt: Tokens,
        output: Tokens,
    ) {
        let key = (customer.clone(), service.clone());
        if self.by_customer.len() >= MAX_AVERAGES && !self.by_customer.contains_key(&key) {
            return;
        }
        let averages = self.by_customer.entry(key).or_default();
        if prompt.0 > 0 {
            let observed_ratio = as_float(Tokens(prompt_bytes as u64)) / as_float(prompt);
            // No language has below one or above sixteen bytes per token: the count is wrong.
            update_average(&mut averages.token_bytes, observed_ratio.clamp(1.0, 16.0));
        }
        update_average(&mut averages.output, as_float(output).max(1.0));
    }
}

fn update_average(average: &mut f64, sample: f64) {
    *average += SMOOTHING_FACTOR * (sample - *average);
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

/// Converts seconds to a duration; values out of range, such as infinity, become zero.
fn duration_from_secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}
