//! Rendezvous hashing, the same on every node.

use crate::Digest;

/// The hash of a name for rendezvous hashing.
///
/// Nodes of different builds must agree on the owner of a key: the score depends on the two
/// names alone and not on a hasher of the standard library.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Score(u64);

impl Score {
    /// The hash of a name.
    pub(crate) fn of(name: &str) -> Score {
        Score::of_digest(&Digest::of(name.as_bytes()))
    }

    /// The hash from the first bytes of a digest.
    pub(crate) fn of_digest(digest: &Digest) -> Score {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest.as_bytes()[..8]);
        Score(u64::from_le_bytes(bytes))
    }

    /// The score of this name for `other`; the name with the highest score is chosen.
    pub(crate) const fn combine(self, other: Score) -> Score {
        Score(mix(self.0 ^ mix(other.0)))
    }
}

/// A bijective mix: each bit of the result depends on all bits of the argument.
const fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
