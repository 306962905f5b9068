//! Which requests an entry VM still takes after its stop signal.

use std::time::Duration;

use crate::engine_model::{EngineProfile, as_float};

/// A request that arrives in a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest<'a> {
    /// Whether it may be repeated elsewhere if the exit cuts it.
    pub is_idempotent: bool,
    /// Time until its caller gives up.
    pub time_left: Duration,
    /// Engines of its service with the lengths of its prompt and answer, in tokens.
    ///
    /// `None` if its time cannot be predicted.
    pub prompt: Option<(&'a EngineProfile, u64, u64)>,
}

impl LateRequest<'_> {
    /// Whether the request can be taken by a VM that exits after `time_to_exit`.
    ///
    /// One that may run only once must end by then whatever its server does. One that may be repeated is
    /// taken unless even an idle engine would not finish it.
    #[must_use]
    pub fn fits(&self, time_to_exit: Duration) -> bool {
        let needed = if self.is_idempotent {
            self.shortest_time()
        } else {
            self.time_left
        };
        needed <= time_to_exit
    }

    /// Returns the time of the request on an idle engine; zero if it cannot be predicted.
    fn shortest_time(&self) -> Duration {
        let Some((profile, prompt, answer)) = self.prompt else {
            return Duration::ZERO;
        };
        let passes = as_float(answer) / profile.pass_steps;
        let millis = profile.prefill_time(prompt) + passes * profile.pass_time(1, prompt);
        Duration::try_from_secs_f64(millis / 1000.0).unwrap_or(Duration::MAX)
    }
}
