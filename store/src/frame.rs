//! On-disk format of a record: a header with a checksum, then the payload.
//!
//! The journal is a sequence of records; the identity file is a single one.

/// Start marker of a record, which helps to find records after a corrupted one.
const MAGIC: [u8; 4] = *b"mrj1";
/// Size of the header: magic, payload length, sequence number and checksum.
pub(crate) const HEADER_BYTES: usize = 4 + 4 + 8 + 4;
/// Maximum size of a payload; larger ones are rejected before they are written.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 512 * 1024 * 1024;

/// A valid record in encoded data.
#[derive(Debug)]
pub(crate) struct Frame<'a> {
    pub(crate) sequence: u64,
    pub(crate) payload: &'a [u8],
}

impl Frame<'_> {
    /// Returns the encoded size of the record in bytes, with its header.
    pub(crate) fn len(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Appends an encoded record to `buffer`.
pub(crate) fn write_frame(buffer: &mut Vec<u8>, sequence: u64, payload: &[u8]) {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&sequence.to_le_bytes());
    buffer.extend_from_slice(&checksum(length, sequence, payload).to_le_bytes());
    buffer.extend_from_slice(payload);
}

/// Decodes the record at the start of `bytes`; `None` if incomplete or invalid.
pub(crate) fn read_frame(bytes: &[u8]) -> Option<Frame<'_>> {
    let header = bytes.get(..HEADER_BYTES)?;
    if !header.starts_with(&MAGIC) {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let sequence = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let stored = u32::from_le_bytes(header[16..20].try_into().ok()?);
    let end = HEADER_BYTES + usize::try_from(length).ok()?;
    let payload = bytes.get(HEADER_BYTES..end)?;
    (checksum(length, sequence, payload) == stored).then_some(Frame { sequence, payload })
}

/// Returns whether a valid record starts anywhere in `bytes`.
pub(crate) fn contains_frame(bytes: &[u8]) -> bool {
    let starts = bytes
        .windows(MAGIC.len())
        .enumerate()
        .filter(|(_, window)| *window == MAGIC);
    starts
        .map(|(offset, _)| &bytes[offset..])
        .any(|rest| read_frame(rest).is_some())
}

/// Computes the CRC-32 of the length, the sequence number and the payload.
fn checksum(length: u32, sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&sequence.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
