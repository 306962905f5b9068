//! Deterministic completions: a prompt gets the same text from every fake engine and attempt.

use sha2::{Digest as _, Sha256};

/// Bytes of prompt text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// The completion of one prompt, with tokens that are computed from its hash.
#[derive(Clone, Copy, Debug)]
pub struct FakeCompletion {
    seed: u64,
    len: u64,
}

impl FakeCompletion {
    /// Derives the completion of `prompt`, with between half and all of `max_tokens` tokens.
    #[must_use]
    pub fn new(prompt: &str, max_tokens: u64) -> Self {
        let digest = Sha256::digest(prompt.as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest[..8]);
        let seed = u64::from_le_bytes(bytes);
        let min_len = max_tokens.div_ceil(2).max(1);
        let spread = max_tokens.saturating_sub(min_len) + 1;
        Self {
            seed,
            len: (min_len + seed % spread).min(max_tokens),
        }
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether there are no tokens; true only where `max_tokens` was zero.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the text of the token at `index`, counted from zero.
    ///
    /// It is six hex digits and a space.
    #[must_use]
    pub fn token(&self, index: u64) -> String {
        let mixed = (self.seed ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15)).rotate_left(23);
        format!("{:06x} ", mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 40)
    }

    /// Returns the text of all tokens.
    #[must_use]
    pub fn text(&self) -> String {
        (0..self.len).map(|index| self.token(index)).collect()
    }
}

/// Returns the number of tokens of a prompt, rounded up to a whole token.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}
