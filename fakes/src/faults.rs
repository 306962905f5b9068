//! Faults that can be switched on over HTTP.

use serde::{Deserialize, Serialize};

/// Body of `POST /faults`; fields left out are switched off.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched on its own"
)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Die when a prompt or body holds this text.
    pub crash_on: Option<String>,
    /// Take requests and answer nothing.
    pub hang: bool,
    /// Extra time before an answer, in milliseconds.
    pub late_ms: u64,
    /// Send each event twice.
    pub duplicate: bool,
    /// Send an event of another request before each event.
    pub foreign: bool,
    /// Refuse all work and say that nothing ran.
    pub refuse: bool,
    /// Close the connection after this many bytes of an answer.
    pub drop_at_byte: Option<usize>,
    /// Do the work of a plain call, then close the connection without an answer.
    pub lose_answer: bool,
    /// Ignore cancels.
    pub ignore_cancel: bool,
}
