//! How long an engine takes: reading a prompt, and a pass over everything that it serves.

/// How the engines of a service work; times are milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests served at once.
    pub slots: u32,
    /// Tokens that the memory holds.
    pub kv_capacity: u64,
    /// Token steps of a pass in which answers are written.
    pub pass_steps: f64,
    /// Time of a token step.
    pub step_ms: f64,
    /// Further time of a step for each answer being written.
    pub sequence_ms: f64,
    /// Further time of a step for each thousand tokens of context of the answers being written.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_speed: f64,
    /// Time for each million pairs of a prompt token and an earlier one.
    pub attention_ms: f64,
    /// Most prompt tokens read in a step.
    pub prefill_chunk: f64,
    /// Mean tokens of an answer.
    pub mean_answer: u64,
}

impl EngineProfile {
    /// Returns the time to read a prompt alone, in milliseconds.
    #[must_use]
    pub fn prefill_time(&self, prompt: u64) -> f64 {
        let tokens = as_float(prompt);
        tokens / self.prefill_speed + tokens * tokens / 2.0e6 * self.attention_ms
    }

    /// Returns the time to read one of `parts` even parts of a prompt, in milliseconds.
    #[must_use]
    pub fn part_prefill_time(&self, prompt: u64, parts: usize) -> f64 {
        self.prefill_time(prompt) / as_float(parts as u64)
    }

    /// Returns the time of a pass that writes and reads nothing, in milliseconds.
    #[must_use]
    pub fn pass_time(&self, writers: usize, context: u64) -> f64 {
        let writers = as_float(writers as u64) * self.sequence_ms;
        let step = self.step_ms + writers + as_float(context) / 1000.0 * self.context_ms;
        self.pass_steps * step
    }

    /// Returns how much of a read of `time` a pass can hold, in milliseconds.
    ///
    /// A pass reads at most a chunk a step, so a long prompt is spread over several passes.
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

/// Converts a count to a float; counts of tokens and requests stay far below 2^52.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens and requests stay far below 2^52"
)]
#[must_use]
pub fn as_float(count: u64) -> f64 {
    count as f64
}
