//! Newtypes for token counts, request and attempt ids, and content digests.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};

use sha2::{Digest as _, Sha256};

/// A count of model tokens; addition and subtraction saturate.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Returns `self * part / whole`, rounded down.
    ///
    /// The product saturates; `whole` must not be zero.
    #[must_use]
    pub const fn scale(self, part: u64, whole: u64) -> Self {
        Self(self.0.saturating_mul(part) / whole)
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Tokens {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.saturating_sub(rhs)
    }
}

/// Id of a caller's request, unique in a deployment.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Number of an attempt to run a request; the first attempt is 1.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u32);

impl AttemptId {
    /// Returns the number of the following attempt.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// First bytes of the digests of prompt parts.
const PART_MARKER: [u8; 8] = *b"part\0\0\0\0";

/// SHA-256 digest of a request, a document, a token or a part of a prompt.
///
/// The digest of a prompt part begins with `PART_MARKER`, and that of anything else does not.
/// Wherever digests are stored or sent, this tells parts from whole requests without a field.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Computes the digest of a sequence of parts.
    ///
    /// The length of each part is included, so that no two sequences have the same input.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }

    /// Computes the digest of a prompt part of a service, marked as such.
    #[must_use]
    pub fn of_prompt_part(service: &str, part: &str) -> Self {
        let Self(mut digest) = Self::of_parts(&[service.as_bytes(), part.as_bytes()]);
        digest[..PART_MARKER.len()].copy_from_slice(&PART_MARKER);
        Self(digest)
    }

    /// Whether this is the digest of a prompt part, not of a whole request.
    #[must_use]
    pub fn is_prompt_part(&self) -> bool {
        self.0.starts_with(&PART_MARKER)
    }

    /// Parses 64 hexadecimal digits; returns `None` for any other text.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        if bytes.len() != 64 {
            return None;
        }
        let mut digest = [0; 32];
        for (byte, pair) in digest.iter_mut().zip(bytes.chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(Self(digest))
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ContentDigest({self})")
    }
}
