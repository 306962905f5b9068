//! SHA-256 digests of long documents.

use merlinrudder_core::units::ContentDigest;
use ring::digest::{SHA256, digest};

/// Computes the SHA-256 digest of a document, with the processor's instructions for it.
pub(crate) fn sha256(bytes: &[u8]) -> ContentDigest {
    let mut content = ContentDigest([0; 32]);
    content.0.copy_from_slice(digest(&SHA256, bytes).as_ref());
    content
}
