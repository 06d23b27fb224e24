//! Epochs of the platform's data.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The number of times that the platform has returned from an older copy of its data.
///
/// Within an epoch the platform gives out each revision once. In the next epoch it gives out
/// some of them again, with other contents. A platform that doesn't report epochs stays in
/// the first one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(u64);

impl Epoch {
    /// The epoch of a platform that doesn't report epochs.
    pub const FIRST: Epoch = Epoch(0);

    /// Creates an epoch from its number.
    pub const fn new(n: u64) -> Epoch {
        Epoch(n)
    }

    /// The epoch as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
