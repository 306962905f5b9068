//! Conversions of durations and refusals that several message types use.

use std::time::Duration;

use merlinrudder_core::outcome::{Refusal, RefusalReason, RunState};
use merlinrudder_core::time::duration_millis;
use serde::{Deserialize, Serialize};

use crate::error::DecodeError;

/// Converts to whole milliseconds, capped at `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    duration_millis(duration)
}

/// Refusal, with the run state reduced to whether anything may have run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct WireRefusal {
    reason: String,
    may_have_run: bool,
    retry_after_ms: Option<u64>,
}

impl From<Refusal> for WireRefusal {
    fn from(refusal: Refusal) -> Self {
        Self {
            reason: refusal.reason.code().to_owned(),
            may_have_run: refusal.run != RunState::NotRun,
            retry_after_ms: refusal.retry_after.map(millis),
        }
    }
}

impl TryFrom<WireRefusal> for Refusal {
    type Error = DecodeError;

    fn try_from(wire: WireRefusal) -> Result<Self, DecodeError> {
        let reason = RefusalReason::from_code(&wire.reason)
            .ok_or_else(|| DecodeError::new(format!("unknown refusal reason {}", wire.reason)))?;
        let run = if wire.may_have_run {
            RunState::MayHaveRun
        } else {
            RunState::NotRun
        };
        let retry_after = wire.retry_after_ms.map(Duration::from_millis);
        Ok(Self {
            reason,
            run,
            retry_after,
        })
    }
}

/// Encodes shared bytes in one piece; they are the same on the wire as a list of numbers.
pub(crate) mod shared_bytes {
    use std::fmt;
    use std::sync::Arc;

    use serde::de::{Error, Visitor};
    use serde::{Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(
        bytes: &Arc<[u8]>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<[u8]>, D::Error> {
        deserializer.deserialize_bytes(SharedBytes)
    }

    struct SharedBytes;

    impl Visitor<'_> for SharedBytes {
        type Value = Arc<[u8]>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            formatter.write_str("bytes")
        }

        fn visit_bytes<E: Error>(self, v: &[u8]) -> Result<Self::Value, E> {
            Ok(Arc::from(v))
        }
    }
}
