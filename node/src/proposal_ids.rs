//! Ids of the proposals of this process, which their answers repeat.

/// Allocates ids; those of an earlier process of the same VM do not occur again.
///
/// The leader may still answer a proposal of the earlier process, which must answer none of this one.
#[derive(Debug)]
pub struct ProposalIds {
    last: u64,
}

impl ProposalIds {
    /// Starts at random.
    #[must_use]
    pub fn start() -> Self {
        Self {
            last: fastrand::u64(..) / 2,
        }
    }

    /// Returns the next id, which is never 0.
    pub fn allocate(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
