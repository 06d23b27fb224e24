//! What "within seconds" means to the checker.

use std::time::Duration;

/// Bounds in time that a run is judged by.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How long after a target began to leave it may still start new work.
    pub leaving: Duration,
    /// How long a good version may take until it is in force on a node that
    /// is up and reachable while the source answers.
    pub in_force: Duration,
}

impl Default for Bounds {
    /// Two seconds for a leaving target, eleven for a version.
    fn default() -> Bounds {
        Bounds {
            leaving: Duration::from_secs(2),
            in_force: Duration::from_secs(11),
        }
    }
}
