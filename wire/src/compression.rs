//! Compression of documents, alone or as the difference from an earlier version.

use std::io::{self, Read, Write};

use zstd::stream::{read, write};

use crate::error::DecodeError;

/// Largest document that is expanded, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// Fastest level; higher ones make the documents of operators hardly smaller.
const LEVEL: i32 = 1;
/// Smallest and largest window that the encoding allows, as powers of two.
const WINDOW_LOGS: (u32, u32) = (10, 27);

/// Compresses `bytes` as the difference from `base`, which is empty for a document alone.
///
/// # Panics
/// Panics if the library refuses its own parameters, which does not occur with those set here.
#[must_use]
pub fn compress(bytes: &[u8], base: &[u8]) -> Vec<u8> {
    try_compress(bytes, base).expect("compression into memory succeeds")
}

fn try_compress(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.set_pledged_src_size(Some(bytes.len() as u64))?;
    let (min_log, max_log) = WINDOW_LOGS;
    // The window must reach from the end of the document to the beginning of the base.
    let span = (bytes.len() + base.len()).max(1).next_power_of_two();
    encoder.window_log(span.ilog2().clamp(min_log, max_log))?;
    // Finds what is far apart: most of a document stands in its base at the same place.
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.include_checksum(true)?;
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Restores a document of `length` bytes from its compressed form and its base.
///
/// # Errors
/// Fails if the bytes are damaged, belong to another base, or expand to another length.
pub fn expand(compressed: &[u8], base: &[u8], length: usize) -> Result<Vec<u8>, DecodeError> {
    if length > MAX_DOCUMENT_BYTES {
        return Err(DecodeError::new(format!("a document of {length} bytes")));
    }
    let invalid = |error: io::Error| DecodeError::new(error.to_string());
    let decoder = read::Decoder::with_ref_prefix(compressed, base).map_err(invalid)?;
    let mut bytes = Vec::with_capacity(length);
    // One byte more, to tell a longer document.
    let mut limited = decoder.take(length as u64 + 1);
    limited.read_to_end(&mut bytes).map_err(invalid)?;
    if bytes.len() != length {
        return Err(DecodeError::new("a document of another length"));
    }
    Ok(bytes)
}
