//! The newest manifest as differences from the ones before, for VMs that are a few numbers behind.
//!
//! A control VM computes one difference for each manifest that it applies, however many VMs need
//! it. A VM that is several numbers behind gets the differences in a row.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::manifest::ManifestNumber;

/// Number of steps that are kept; more manifests follow each other in seconds only in a long storm.
const MAX_STEPS: usize = 64;
/// Size of the steps that are kept, in bytes.
const MAX_STEP_BYTES: usize = 1024 * 1024;

/// How one manifest differs from an earlier one, compressed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManifestStep {
    /// Manifest that the step builds on; 0 for a whole document.
    pub base: ManifestNumber,
    /// Manifest to which it leads; higher than `base`.
    pub number: ManifestNumber,
    /// Size of that document in bytes.
    pub length: usize,
    /// The compressed difference, or the compressed document.
    pub data: Arc<[u8]>,
}

/// The last steps that led to the newest manifest.
#[derive(Debug, Default)]
pub struct ManifestHistory {
    /// Each step builds on the manifest to which the one before leads.
    steps: VecDeque<ManifestStep>,
    /// Size of all steps; at most `MAX_STEP_BYTES`.
    bytes: usize,
}

impl ManifestHistory {
    /// Adds the step to a new manifest, and drops the oldest steps beyond the limits.
    ///
    /// A step that does not follow the last one starts a new history.
    pub fn record(&mut self, step: ManifestStep) {
        let follows = self
            .steps
            .back()
            .is_none_or(|last| last.number == step.base);
        if !follows {
            *self = Self::default();
        }
        self.bytes += step.data.len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_STEP_BYTES {
            let dropped = self.steps.pop_front();
            self.bytes -= dropped.map_or(0, |step| step.data.len());
        }
    }

    /// Returns the steps from manifest `have` to the newest one.
    ///
    /// Returns `None` if they are not all kept, or are larger than `whole`, the size of a copy.
    #[must_use]
    pub fn steps_since(&self, have: ManifestNumber, whole: usize) -> Option<Vec<ManifestStep>> {
        let first = self.steps.iter().position(|step| step.base == have)?;
        let steps: Vec<_> = self.steps.iter().skip(first).cloned().collect();
        let bytes: usize = steps.iter().map(|step| step.data.len()).sum();
        (bytes <= whole).then_some(steps)
    }
}
