//! Servers that want no requests for a time which they name in an answer.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::directory::Incarnation;
use crate::names::ServerId;
use crate::time::Moment;

/// Longest time for which a server is held back; a longer one counts as this one.
pub const MAX_HOLD_OFF: Duration = Duration::from_hours(1);

/// Until when a lifetime of a server is held back.
#[derive(Clone, Copy, Debug)]
struct HoldOff {
    born: u64,
    until: Moment,
}

/// Servers that are held back, by what they answered to this VM.
#[derive(Debug, Default)]
pub struct HoldOffs {
    servers: BTreeMap<ServerId, HoldOff>,
}

impl HoldOffs {
    /// Holds a lifetime of a server back for a time from now; returns whether that extends it.
    ///
    /// Of several times the one that ends last holds, so that each answer is kept to.
    pub fn hold(&mut self, now: Moment, incarnation: &Incarnation, time: Duration) -> bool {
        self.servers.retain(|_, held| held.until > now);
        let hold_off = HoldOff {
            born: incarnation.born,
            until: now + time.min(MAX_HOLD_OFF),
        };
        let known = self.servers.get(&incarnation.server);
        let extends = hold_off.until > now
            && known
                .is_none_or(|known| (known.born, known.until) < (hold_off.born, hold_off.until));
        if extends {
            self.servers.insert(incarnation.server.clone(), hold_off);
        }
        extends
    }

    /// Returns for how much longer a server is held back; `None` if it is not.
    #[must_use]
    pub fn time_left(&self, now: Moment, server: &ServerId) -> Option<Duration> {
        let held = self.servers.get(server)?;
        let left = held.until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the number of servers that are held back.
    #[must_use]
    pub fn count(&self, now: Moment) -> usize {
        let held = self.servers.values();
        held.filter(|held| held.until > now).count()
    }

    /// Forgets a server, since an earlier lifetime of it was held back.
    pub fn forget(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }
}
