//! The start of a node that a record belongs to.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A number that grows with each start of a node.
///
/// Nodes store nothing across a restart and there is no central counter, so the
/// number is the start time in milliseconds since 1970, raised above the highest
/// incarnation that peers still hold for this node. A clock that was set back
/// therefore can't make a restarted node look older than its previous start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates the incarnation of a node that started at `ms` milliseconds since 1970.
    pub const fn from_start_millis(ms: u64) -> Incarnation {
        Incarnation(ms)
    }

    /// The incarnation as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The next higher incarnation.
    #[must_use]
    pub const fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
