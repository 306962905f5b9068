//! Faults of a fake engine or application that are switched on at run time.

use serde::{Deserialize, Serialize};

/// Body of `POST /faults`. It replaces all faults; an omitted field is switched off.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched on its own"
)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Crash on a prompt or request body that contains this text.
    pub crash_on: Option<String>,
    /// Accept requests and send no response while this fault is on.
    pub hang: bool,
    /// Extra delay before a request is processed, in milliseconds.
    pub late_ms: u64,
    /// Send each event of a stream twice.
    pub duplicate: bool,
    /// Send an event with another request id before each event of a stream.
    pub foreign: bool,
    /// Refuse all requests with 503, marked as not executed.
    pub refuse: bool,
    /// Close a stream before the event that would exceed this many bytes.
    pub drop_at_byte: Option<usize>,
    /// Execute a plain call, then close the connection without a response.
    pub lose_answer: bool,
    /// Accept cancel requests and keep running the request.
    pub ignore_cancel: bool,
}
