//! The platform's number of an accepted change.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Result;
use crate::Step;

/// The number that the platform assigned to an accepted change; it grows with each change.
///
/// # Invariants
///
/// At least one, since zero would mean that nothing was published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u64")]
pub struct Revision(u64);

impl Revision {
    /// Creates a revision from its number.
    ///
    /// # Errors
    ///
    /// Fails on zero.
    pub fn new(n: u64) -> Result<Revision> {
        if n == 0 {
            return Err(Error::new(Step::Check, "a revision is at least 1"));
        }
        // INVARIANT: Zero was rejected above.
        Ok(Revision(n))
    }

    /// The revision as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl TryFrom<u64> for Revision {
    type Error = Error;

    fn try_from(n: u64) -> Result<Revision> {
        Revision::new(n)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
