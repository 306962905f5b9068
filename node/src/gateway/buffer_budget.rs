//! Bound on the memory that responses of servers take until their callers have read them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::constants::MAX_BUFFERED_RESPONSE_BYTES;

/// Bytes that each response may take, whatever the others take.
///
/// With all descriptors of an entry VM in use, this part stays below half of its memory.
const OWN_BYTES: usize = 32 * 1024;
/// Bytes that all responses may take together beyond their own.
const MAX_SHARED_BYTES: usize = 16 * 1024 * 1024;

/// Memory that the responses share which are being read or passed on.
#[derive(Debug, Default)]
pub(super) struct BufferBudget {
    /// Bytes taken, at most `MAX_SHARED_BYTES`.
    taken: Cell<usize>,
    /// Notified when a response returns a part.
    freed: Notify,
}

/// Longest time that one response waits for room, in total.
///
/// Responses that are read at once may all wait for each other.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(500);

/// Why a response gets no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoRoom {
    /// The response is larger than any may be.
    TooLarge,
    /// Other responses took the memory for too long, which shows nothing of the server.
    Exhausted,
}

/// The part of the memory that one response takes; dropping it returns that part.
#[derive(Debug)]
pub(super) struct BufferShare {
    budget: Rc<BufferBudget>,
    taken: usize,
    /// How much longer the response may wait for room.
    wait_left: Duration,
}

impl BufferShare {
    pub(super) fn new(budget: &Rc<BufferBudget>) -> Self {
        Self {
            budget: Rc::clone(budget),
            taken: 0,
            wait_left: MAX_ROOM_WAIT,
        }
    }

    /// Makes room for a response that takes `length` bytes now.
    ///
    /// Waits while there is none, for `MAX_ROOM_WAIT` at most over all calls.
    pub(super) async fn resize(&mut self, length: usize) -> Result<(), NoRoom> {
        if length > MAX_BUFFERED_RESPONSE_BYTES {
            return Err(NoRoom::TooLarge);
        }
        let needed = length.saturating_sub(OWN_BYTES);
        let start = Instant::now();
        let waited = timeout(self.wait_left, self.await_room(needed)).await;
        self.wait_left = self.wait_left.saturating_sub(start.elapsed());
        waited.map_err(|_elapsed| NoRoom::Exhausted)?;
        self.set(needed);
        Ok(())
    }

    /// Waits until the response may take `needed` bytes of the shared memory.
    async fn await_room(&self, needed: usize) {
        let budget = Rc::clone(&self.budget);
        loop {
            let freed = budget.freed.notified();
            let taken = budget.taken.get() - self.taken + needed;
            if needed <= self.taken || taken <= MAX_SHARED_BYTES {
                return;
            }
            freed.await;
        }
    }

    /// Whether the response takes more than its own part.
    pub(super) const fn is_shared(&self) -> bool {
        self.taken > 0
    }

    fn set(&mut self, needed: usize) {
        let budget = &self.budget;
        budget.taken.set(budget.taken.get() - self.taken + needed);
        if needed < self.taken {
            budget.freed.notify_waiters();
        }
        self.taken = needed;
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.set(0);
    }
}
