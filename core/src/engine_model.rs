//! Predicts the time an engine takes to prefill a prompt and to run a batch pass.
//!
//! An engine works in passes. A pass decodes a fixed number of steps for all running answers, and
//! prefills at most one chunk of prompt tokens per step.

/// Capacity and speed of the engines of a service; times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests that an engine serves concurrently.
    pub slots: u32,
    /// KV cache size, in tokens.
    pub kv_capacity: u64,
    /// Decode steps in a pass; each step adds one token to every running answer.
    pub pass_steps: f64,
    /// Base time of a decode step.
    pub step_ms: f64,
    /// Additional time per decode step for each running answer.
    pub sequence_ms: f64,
    /// Additional time per decode step for each 1000 context tokens of the running answers.
    pub context_ms: f64,
    /// Prompt tokens prefilled per millisecond, without the quadratic attention cost.
    pub prefill_speed: f64,
    /// Attention time for each million pairs of a prompt token and an earlier one.
    pub attention_ms: f64,
    /// Maximum number of prompt tokens prefilled per step.
    pub prefill_chunk: f64,
    /// Mean length of an answer, in tokens.
    pub mean_answer: u64,
}

impl EngineProfile {
    /// Returns the time to prefill a whole prompt on an idle engine, in milliseconds.
    #[must_use]
    pub fn prefill_time(&self, prompt: u64) -> f64 {
        let tokens = as_float(prompt);
        tokens / self.prefill_speed + tokens * tokens / 2.0e6 * self.attention_ms
    }

    /// Returns the prefill time of one of `parts` equal parts of a prompt, in milliseconds.
    #[must_use]
    pub fn part_prefill_time(&self, prompt: u64, parts: usize) -> f64 {
        self.prefill_time(prompt) / as_float(parts as u64)
    }

    /// Returns the time of a pass that only decodes, in milliseconds.
    ///
    /// `decoding` answers are running, with `context` tokens of context in total.
    #[must_use]
    pub fn pass_time(&self, decoding: usize, context: u64) -> f64 {
        let sequences = as_float(decoding as u64) * self.sequence_ms;
        let step = self.step_ms + sequences + as_float(context) / 1000.0 * self.context_ms;
        self.pass_steps * step
    }

    /// Returns the share of a prefill of `time` that fits into one pass, in milliseconds.
    ///
    /// A pass prefills at most one chunk per step, so a long prompt is spread over several passes.
    #[must_use]
    pub fn prefill_in_pass(&self, prompt: u64, time: f64) -> f64 {
        let most = self.pass_steps * self.prefill_chunk;
        let tokens = as_float(prompt);
        if tokens <= most {
            time
        } else {
            time * most / tokens
        }
    }
}

/// Converts a count of tokens, requests or milliseconds to a float.
///
/// These counts stay far below 2^52, so the conversion is exact.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens and requests stay far below 2^52"
)]
#[must_use]
pub fn as_float(count: u64) -> f64 {
    count as f64
}
