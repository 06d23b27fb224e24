//! How a node stops.

use std::time::Duration;

/// Bounds on a planned stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrainSettings {
    /// How long requests in flight may take to finish before they are cut.
    pub bound: Duration,
}

impl Default for DrainSettings {
    /// Half a minute.
    fn default() -> DrainSettings {
        DrainSettings {
            bound: Duration::from_secs(30),
        }
    }
}
