//! How much longer the answers of a service take than on an idle engine.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine_model::{EngineProfile, as_float};

/// Answers that are remembered.
const MAX_SAMPLES: usize = 32;
/// Fewest events of an answer that shows a pace.
const MIN_EVENTS: u32 = 5;

/// Pace of the latest answers of one service at this VM.
#[derive(Clone, Debug, Default)]
pub struct AnswerPace {
    /// Times of the answers as multiples of those on an idle engine, the latest last.
    ///
    /// At most `MAX_SAMPLES`.
    slowdowns: VecDeque<f64>,
}

impl AnswerPace {
    /// Records a complete answer, `taken` from its first to its last event.
    ///
    /// An engine sends an event a pass.
    pub fn record(&mut self, profile: &EngineProfile, prompt: u64, events: u32, taken: Duration) {
        let idle_millis = f64::from(events.saturating_sub(1)) * profile.pass_time(1, prompt);
        let slowdown = taken.as_secs_f64() * 1000.0 / idle_millis;
        if events < MIN_EVENTS || !slowdown.is_finite() {
            return;
        }
        if self.slowdowns.len() == MAX_SAMPLES {
            self.slowdowns.pop_front();
        }
        self.slowdowns.push_back(slowdown);
    }

    /// Returns the median time of an answer as a multiple of that on an idle engine; at least 1.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        let mut sorted: Vec<_> = self.slowdowns.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len() / 2).copied();
        median.unwrap_or(1.0).max(1.0)
    }

    /// Returns the time to write an answer of `answer` tokens.
    #[must_use]
    pub fn answer_time(&self, profile: &EngineProfile, prompt: u64, answer: u64) -> Duration {
        let passes = as_float(answer) / profile.pass_steps;
        let millis = passes * profile.pass_time(1, prompt) * self.slowdown();
        Duration::try_from_secs_f64(millis / 1000.0).unwrap_or(Duration::MAX)
    }
}
