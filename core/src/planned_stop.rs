//! Which requests an entry VM still sends to servers after its stop signal.

use std::time::Duration;

/// A request that no server has got when its entry VM stops.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest {
    /// Whether it may be repeated elsewhere if the exit cuts it.
    pub is_idempotent: bool,
    /// Time until its caller gives up.
    pub time_left: Duration,
    /// Predicted time to the end of its answer; `None` if it cannot be predicted.
    pub predicted: Option<Duration>,
}

impl LateRequest {
    /// Whether a VM that exits after `time_to_exit` may send the request to a server.
    ///
    /// One that may run only once must end by then whatever its server does. One that may be repeated is
    /// sent unless it is predicted to end later.
    #[must_use]
    pub fn fits(&self, time_to_exit: Duration) -> bool {
        let needed = if self.is_idempotent {
            self.predicted.unwrap_or_default().min(self.time_left)
        } else {
            self.time_left
        };
        needed <= time_to_exit
    }
}
