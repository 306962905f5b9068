//! Newer manifests as differences from the one that the receiver has.

use std::sync::Arc;

use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_history::ManifestStep;
use merlinrudder_core::units::ContentDigest;
use serde::{Deserialize, Serialize};

use crate::compression::expand;
use crate::error::DecodeError;

/// Steps that lead from a manifest to a newer one; a document alone is a step from number 0.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireManifestUpdate {
    /// Number of the manifest after the last step.
    pub number: u64,
    /// SHA-256 digest of that document.
    digest: [u8; 32],
    /// The steps in order; never empty.
    steps: Vec<WireManifestStep>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireManifestStep {
    base: u64,
    number: u64,
    length: u32,
    #[serde(with = "crate::common::shared_bytes")]
    data: Arc<[u8]>,
}

impl WireManifestUpdate {
    /// Creates an update from steps in order; `digest` is that of the document after the last one.
    #[must_use]
    pub fn new(digest: ContentDigest, steps: Vec<ManifestStep>) -> Self {
        Self {
            number: steps.last().map_or(0, |step| step.number.0),
            digest: digest.0,
            steps: steps.into_iter().map(WireManifestStep::from).collect(),
        }
    }

    /// Returns the number of the manifest that the first step builds on; 0 for a document alone.
    #[must_use]
    pub fn base(&self) -> ManifestNumber {
        ManifestNumber(self.steps.first().map_or(0, |step| step.base))
    }

    /// Returns the digest that the restored document must have.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        ContentDigest(self.digest)
    }

    /// Returns the number of steps.
    #[must_use]
    pub fn step_count(&self) -> usize {
        self.steps.len()
    }

    /// Returns the size of all steps in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.steps.iter().map(|step| step.data.len()).sum()
    }

    /// Restores the document from the one that the first step builds on.
    ///
    /// The caller compares the digest.
    ///
    /// # Errors
    /// Fails if the steps do not follow each other, are damaged, or belong to another base.
    pub fn expand(&self, base: &[u8]) -> Result<Vec<u8>, DecodeError> {
        let mut number = self.base().0;
        let mut document = base.to_vec();
        for step in &self.steps {
            if step.base != number || step.number <= number {
                return Err(DecodeError::new("steps that do not follow each other"));
            }
            number = step.number;
            let length = usize::try_from(step.length).unwrap_or(usize::MAX);
            document = expand(&step.data, &document, length)?;
        }
        if number != self.number || self.steps.is_empty() {
            return Err(DecodeError::new("steps to another number"));
        }
        Ok(document)
    }
}

impl From<ManifestStep> for WireManifestStep {
    fn from(step: ManifestStep) -> Self {
        Self {
            base: step.base.0,
            number: step.number.0,
            // A document is at most a few megabytes long.
            length: u32::try_from(step.length).unwrap_or(u32::MAX),
            data: step.data,
        }
    }
}
