//! Bound on the memory that responses of servers take while they are read whole.

use std::cell::Cell;

use crate::constants::MAX_BUFFERED_RESPONSE_BYTES;

/// Bytes that each response may take, whatever the others take.
const OWN_BYTES: usize = 256 * 1024;
/// Bytes that all responses may take together beyond their own.
const MAX_SHARED_BYTES: usize = 16 * 1024 * 1024;

/// Memory that the responses share which are being read.
#[derive(Debug, Default)]
pub(super) struct BufferBudget {
    /// Bytes taken, at most `MAX_SHARED_BYTES`.
    taken: Cell<usize>,
}

/// A response is larger than it may be, or all responses are together.
#[derive(Debug)]
pub(super) struct BufferFull;

/// The part of the memory that one response takes; dropping it returns that part.
#[derive(Debug)]
pub(super) struct BufferShare<'a> {
    budget: &'a BufferBudget,
    taken: usize,
}

impl<'a> BufferShare<'a> {
    pub(super) const fn new(budget: &'a BufferBudget) -> Self {
        Self { budget, taken: 0 }
    }

    /// Makes room for a response of `length` bytes so far.
    pub(super) fn grow(&mut self, length: usize) -> Result<(), BufferFull> {
        let needed = length.saturating_sub(OWN_BYTES).max(self.taken);
        let taken = self.budget.taken.get() - self.taken + needed;
        if length > MAX_BUFFERED_RESPONSE_BYTES || taken > MAX_SHARED_BYTES {
            return Err(BufferFull);
        }
        self.budget.taken.set(taken);
        self.taken = needed;
        Ok(())
    }
}

impl Drop for BufferShare<'_> {
    fn drop(&mut self) {
        self.budget.taken.set(self.budget.taken.get() - self.taken);
    }
}
