//! Times at which refused callers may return, so that they do not all come at once.

use std::time::Duration;

use crate::time::Moment;

/// Shortest time until a caller may return.
const MIN_WAIT: Duration = Duration::from_millis(400);
/// Longest time until a caller may return.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Return times of the callers that a VM refused for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnTimes {
    /// First time that is not promised to a caller yet.
    next: Moment,
}

impl ReturnTimes {
    /// Returns when the next caller may return; `rate` requests are served a second.
    pub fn promise(&mut self, now: Moment, rate: f64) -> Duration {
        self.promise_after(now, Duration::ZERO, rate)
    }

    /// Returns when the next caller may return, not before `earliest` has passed.
    pub fn promise_after(&mut self, now: Moment, earliest: Duration, rate: f64) -> Duration {
        let wait = self.next.since(now).max(earliest);
        let wait = wait.clamp(MIN_WAIT, MAX_WAIT);
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_WAIT);
        self.next = now + wait + interval.min(MAX_WAIT);
        wait
    }
}
