//! Clock for the core's state machines, which take the time as an argument.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use merlinrudder_core::time::{Moment, duration_millis};

/// Monotonic clock that starts at the wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_wall: Moment,
}

impl Clock {
    /// Reads the wall clock once; later changes of the wall clock have no effect.
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

    /// Returns the current time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.start_wall + self.start.elapsed()
    }

    /// Returns the wall-clock time at which this clock started.
    ///
    /// It is higher at each start of the process, so it also serves as an incarnation number.
    #[must_use]
    pub fn start_time(&self) -> Moment {
        self.start_wall
    }
}
