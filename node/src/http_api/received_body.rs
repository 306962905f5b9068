//! Bodies of requests, read whole within their limits.

use std::sync::Arc;
use std::time::{Duration, Instant};

use merlinrudder_core::outcome::{Refusal, RefusalReason};

use super::listener::LIMIT_RETRY_AFTER;
use super::request::Request;
use crate::memory_budget::{MemoryBudget, MemoryShare};

/// Copies of a body that are held at once: as received, as parsed and as sent.
const BODY_COPIES: usize = 3;

/// Whole body of a request, with the memory that it takes.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The body.
    pub bytes: Vec<u8>,
    /// Memory of the body and of the copies that are made of it.
    pub share: MemoryShare,
}

/// Reads a body of at most `max_bytes`, which must arrive completely within `timeout`.
///
/// Its memory, and that of its copies, is taken from `budget`.
///
/// # Errors
/// Returns a refusal if the body is too large, arrives too slowly or ends early, or if other bodies
/// take the budget; a failed read counts as too slow.
pub fn read_body(
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
    budget: &Arc<MemoryBudget>,
) -> Result<ReceivedBody, Refusal> {
    let refusal = |reason| Refusal::not_run(reason, None);
    let start = Instant::now();
    let mut share = MemoryShare::new(budget);
    let mut bytes = Vec::new();
    if request
        .body_length()
        .is_some_and(|length| length > max_bytes as u64)
    {
        return Err(refusal(RefusalReason::BodyTooLarge));
    }
    loop {
        let part = request.read_part();
        let part = part.map_err(|_error| refusal(RefusalReason::SlowBody))?;
        let Some(part) = part else {
            return Ok(ReceivedBody { bytes, share });
        };
        if bytes.len() + part.len() > max_bytes {
            return Err(refusal(RefusalReason::BodyTooLarge));
        }
        let no_memory = Refusal::not_run(RefusalReason::VmLimit, Some(LIMIT_RETRY_AFTER));
        let taken = share.grow(part.len() * BODY_COPIES);
        taken.map_err(|_exhausted| no_memory)?;
        bytes.extend_from_slice(&part);
        if start.elapsed() > timeout {
            return Err(refusal(RefusalReason::SlowBody));
        }
    }
}
