//! Times at which the control thread stood still, as that of a frozen VM does.

use std::time::Duration;

use merlinrudder_core::time::Moment;

use super::TICK_PERIOD;

/// Time without any input or tick from which on the thread counts as having stood still.
const MIN_PAUSE: Duration = TICK_PERIOD.saturating_mul(4);

/// The last time that the control thread stood still.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pauses {
    /// When the thread last handled an input or a tick.
    active: Moment,
    /// How long the last pause took; zero if there was none.
    pub(super) length: Duration,
    /// End of the last pause.
    pub(super) ended: Moment,
}

impl Pauses {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            active: now,
            length: Duration::ZERO,
            ended: now,
        }
    }

    /// Records that the thread runs, before each input and tick.
    pub(super) fn observe(&mut self, now: Moment) {
        let idle = now.since(self.active);
        if idle >= MIN_PAUSE {
            self.length = idle;
            self.ended = now;
        }
        self.active = now;
    }
}
