//! The clock that feeds the core.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use merlinrudder_core::time::{Moment, duration_millis};

/// A clock that starts at the wall clock's time and never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_wall: Moment,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let start_wall = Moment::from_millis(duration_millis(wall));
        Self {
            start: Instant::now(),
            start_wall,
        }
    }

    /// Returns the time, as milliseconds since the start of 1970.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.start_wall + self.start.elapsed()
    }

    /// Returns the wall clock's time at the start; it grows from start to start of a process.
    #[must_use]
    pub fn start_time(&self) -> Moment {
        self.start_wall
    }
}
