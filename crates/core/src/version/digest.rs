//! Content digests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Result;
use crate::Step;

/// Length of a digest.
const DIGEST_BYTES: usize = 16;

/// The first 16 bytes of a blake3 hash.
///
/// Peers are not adversaries: the digest only guards against mixed-up and damaged
/// content, and sixteen bytes keep the heads that contain it small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of some bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest::from_hash(&blake3::hash(bytes))
    }

    /// Computes the digest of an ordered sequence of digests.
    pub fn of_all<'a>(parts: impl IntoIterator<Item = &'a Digest>) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&part.0);
        }
        Digest::from_hash(&hasher.finalize())
    }

    /// Parses the hexadecimal form that [`fmt::Display`] writes.
    ///
    /// # Errors
    ///
    /// Fails unless the text consists of 32 hexadecimal digits.
    pub fn parse(text: &str) -> Result<Digest> {
        let invalid = || Error::new(Step::Check, format!("{text:?} isn't a digest"));
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| invalid())?;
        }
        Ok(Digest(bytes))
    }

    /// The bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// The first eight bytes as a number, for uses that don't need all sixteen.
    pub(crate) fn prefix_u64(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }

    /// Truncates a blake3 hash to a digest.
    pub(crate) fn from_hash(hash: &blake3::Hash) -> Digest {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
        Digest(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
