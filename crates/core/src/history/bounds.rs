//! Time bounds of the checker.

use std::time::Duration;

/// Time bounds that a run is checked against.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How long after it began to leave a target may still start new work.
    pub leaving: Duration,
    /// The longest time until a valid version is in force on a node that is
    /// up and reachable while the source answers.
    pub in_force: Duration,
}

impl Default for Bounds {
    /// 2 s for a leaving target, 11 s for a version.
    fn default() -> Bounds {
        Bounds {
            leaving: Duration::from_secs(2),
            in_force: Duration::from_secs(11),
        }
    }
}
