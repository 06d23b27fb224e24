//! Rendezvous hashing, the same on every node.

use crate::Digest;

/// A hashed name that is drawn against others.
///
/// Nodes of different builds must agree on who owns a key: the score is fixed
/// by the two names alone and doesn't depend on a hasher of the library.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Score(u64);

impl Score {
    /// The hash of a name.
    pub(crate) fn of(name: &str) -> Score {
        Score::of_digest(&Digest::of(name.as_bytes()))
    }

    /// The hash within a digest.
    pub(crate) fn of_digest(digest: &Digest) -> Score {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest.as_bytes()[..8]);
        Score(u64::from_le_bytes(bytes))
    }

    /// The score of this name for another; the highest wins.
    pub(crate) const fn against(self, other: Score) -> Score {
        Score(mix(self.0 ^ mix(other.0)))
    }
}

/// A bijective mix after which every bit depends on every other.
const fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
