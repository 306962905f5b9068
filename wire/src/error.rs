//! Error of decoding bytes from a socket or from disk.

use std::error::Error;
use std::fmt;

/// Bytes or values that are not a valid message or record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    detail: String,
}

impl DecodeError {
    /// Creates an error; `detail` says what is invalid.
    #[must_use]
    pub fn new(detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot decode: {}", self.detail)
    }
}

impl Error for DecodeError {}

impl From<postcard::Error> for DecodeError {
    fn from(source: postcard::Error) -> Self {
        Self::new(source.to_string())
    }
}
