//! Bound on the memory that all bodies and answers of a process take together.
//!
//! A size limit for each body is not enough: many bodies at once would still exhaust the memory.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that requests in progress may take together.
#[derive(Debug)]
pub struct MemoryBudget {
    /// Bytes that all shares may take.
    limit: usize,
    /// Bytes taken by all shares, at most `limit`.
    taken: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        let taken = AtomicUsize::new(0);
        Self { limit, taken }
    }

    /// Returns the bytes that all shares take now.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::Relaxed)
    }
}

/// Error: other requests take the rest of the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetExhausted;

impl fmt::Display for BudgetExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("other requests take the memory for bodies and answers")
    }
}

impl std::error::Error for BudgetExhausted {}

/// Part of a budget that one request takes; dropping it returns that part.
#[derive(Debug)]
pub struct MemoryShare {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryShare {
    /// Creates a share of zero bytes.
    #[must_use]
    pub fn new(budget: &Arc<MemoryBudget>) -> Self {
        let budget = Arc::clone(budget);
        Self { budget, bytes: 0 }
    }

    /// Takes `bytes` more.
    ///
    /// # Errors
    /// Fails, and takes nothing, if the budget has fewer bytes left.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let limit = self.budget.limit;
        let grown = |taken: usize| taken.checked_add(bytes).filter(|grown| *grown <= limit);
        let taken = &self.budget.taken;
        let updated = taken.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        updated.map_err(|_taken| BudgetExhausted)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Takes more bytes until it has at least `bytes`.
    ///
    /// # Errors
    /// Fails, and takes nothing, if the budget has too few bytes left.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.grow(bytes.saturating_sub(self.bytes))
    }

    /// Creates another share of the same budget, of zero bytes.
    #[must_use]
    pub fn sibling(&self) -> Self {
        Self::new(&self.budget)
    }

    /// Takes over the bytes of another share of the same budget.
    pub fn absorb(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Returns all its bytes.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.taken.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.clear();
    }
}
