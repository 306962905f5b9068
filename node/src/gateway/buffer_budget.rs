//! Bound on the memory that responses of servers take until their callers have read them.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

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

/// A response is larger than it may be.
#[derive(Debug)]
pub(super) struct TooLarge;

/// The part of the memory that one response takes; dropping it returns that part.
#[derive(Debug)]
pub(super) struct BufferShare {
    budget: Rc<BufferBudget>,
    taken: usize,
}

impl BufferShare {
    pub(super) fn new(budget: &Rc<BufferBudget>) -> Self {
        Self {
            budget: Rc::clone(budget),
            taken: 0,
        }
    }

    /// Makes room for a response that takes `length` bytes now, and waits while there is none.
    ///
    /// The caller limits the time: responses that are read at once may all wait for each other.
    pub(super) async fn resize(&mut self, length: usize) -> Result<(), TooLarge> {
        if length > MAX_BUFFERED_RESPONSE_BYTES {
            return Err(TooLarge);
        }
        let needed = length.saturating_sub(OWN_BYTES);
        let budget = Rc::clone(&self.budget);
        loop {
            let freed = budget.freed.notified();
            let taken = budget.taken.get() - self.taken + needed;
            if needed <= self.taken || taken <= MAX_SHARED_BYTES {
                break;
            }
            freed.await;
        }
        self.set(needed);
        Ok(())
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
