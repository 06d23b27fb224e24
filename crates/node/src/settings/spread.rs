//! How versions travel between nodes.

use std::time::Duration;

/// Parameters of dissemination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpreadSettings {
    /// Peers that hear of a new version at once.
    pub fanout: u32,
    /// Time between two exchanges with a random peer.
    pub interval: Duration,
    /// How long a new version is held back so that a burst goes as one.
    pub linger: Duration,
}

impl Default for SpreadSettings {
    fn default() -> SpreadSettings {
        SpreadSettings {
            fanout: 3,
            interval: Duration::from_secs(2),
            linger: Duration::ZERO,
        }
    }
}
