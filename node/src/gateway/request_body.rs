//! Bodies of callers' requests, read whole within the memory that all of them share.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use tokio::time::timeout;

use super::refusal::{DEFAULT_RETRY_AFTER, retryable};
use super::state::Gateway;
use crate::memory_budget::MemoryShare;

/// Memory for the bodies of all requests together, beyond the own part of each, in bytes.
pub(super) const BODY_MEMORY_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that each body may take, whatever the others take.
const OWN_BYTES: usize = 4 * 1024;

/// Reads the body of at most `max_bytes` within `time_limit`; also returns the memory it takes.
///
/// # Errors
/// Returns the refusal of a body that is too large, too slow or cut off, or for which the other
/// bodies leave no memory.
pub(super) async fn read(
    gateway: &Gateway,
    body: Incoming,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<(Bytes, MemoryShare), Refusal> {
    let share = MemoryShare::new(&gateway.body_memory);
    let reading = timeout(time_limit, read_parts(body, max_bytes, share)).await;
    let slow = |_elapsed| Refusal::not_run(RefusalReason::SlowBody, Some(DEFAULT_RETRY_AFTER));
    reading.map_err(slow)?
}

async fn read_parts(
    mut body: Incoming,
    max_bytes: usize,
    mut share: MemoryShare,
) -> Result<(Bytes, MemoryShare), Refusal> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let gone = |_error| Refusal::not_run(RefusalReason::CallerGone, None);
        let Ok(part) = frame.map_err(gone)?.into_data() else {
            continue;
        };
        let length = bytes.len() + part.len();
        if length > max_bytes {
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge, None));
        }
        let taken = share.grow_to(length.saturating_sub(OWN_BYTES));
        taken.map_err(|_exhausted| retryable(RefusalReason::VmLimit))?;
        bytes.extend_from_slice(&part);
    }
    Ok((bytes.freeze(), share))
}
