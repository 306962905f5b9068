//! Restores and decodes manifests beside the thread that serves callers.

use std::sync::Arc;

use anyhow::{Result, bail};
use merlinrudder_core::control::PublishedManifest;
use merlinrudder_core::deployment::Deployment;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_platform::config::ConfigReader;
use merlinrudder_wire::manifest_update::WireManifestUpdate;

use crate::digest::sha256;

/// A manifest as another VM sent it.
#[derive(Clone, Debug)]
pub(super) enum ReceivedManifest {
    /// The document itself, from a VM of an earlier version.
    Document(PublishedManifest),
    /// The difference from an earlier document, or the compressed document.
    Update(WireManifestUpdate),
}

/// A manifest that is ready to be put in force.
#[derive(Debug)]
pub(super) struct DecodedManifest {
    pub(super) manifest: PublishedManifest,
    pub(super) deployment: Deployment,
}

impl ReceivedManifest {
    /// Returns its number.
    pub(super) fn number(&self) -> ManifestNumber {
        match self {
            Self::Document(manifest) => manifest.number,
            Self::Update(update) => ManifestNumber(update.number),
        }
    }

    /// Returns the manifest that it builds on; 0 if it stands alone.
    pub(super) fn base(&self) -> ManifestNumber {
        match self {
            Self::Document(_) => ManifestNumber(0),
            Self::Update(update) => update.base(),
        }
    }

    /// Returns its size as it was sent, in bytes.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Self::Document(manifest) => manifest.bytes.len(),
            Self::Update(update) => update.bytes(),
        }
    }

    /// Restores the document from the one that it builds on, and decodes it.
    ///
    /// # Errors
    /// Fails if it belongs to another document, is damaged, or is no valid configuration.
    pub(super) fn decode(self, base: &[u8], reader: &mut ConfigReader) -> Result<DecodedManifest> {
        let manifest = match self {
            Self::Document(manifest) => manifest,
            Self::Update(update) => restore(&update, base)?,
        };
        let deployment = reader.read(&manifest.bytes)?;
        if deployment.number != manifest.number {
            bail!("the document has number {}", deployment.number.0);
        }
        Ok(DecodedManifest {
            manifest,
            deployment,
        })
    }
}

fn restore(update: &WireManifestUpdate, base: &[u8]) -> Result<PublishedManifest> {
    let bytes = update.expand(base)?;
    if sha256(&bytes) != update.digest() {
        bail!("the restored document has another digest");
    }
    Ok(PublishedManifest {
        number: ManifestNumber(update.number),
        bytes: Arc::from(bytes),
    })
}
