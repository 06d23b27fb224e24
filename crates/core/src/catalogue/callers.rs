//! What callers may send.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Bounds on what a caller may send, and how long it may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: u32,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// How long a head may take once its first byte came.
    pub head_timeout: Duration,
    /// How long a connection may be kept without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Bounds for a catalogue that names none: generous, since callers of
    /// unknown habits are cut by them.
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 32 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
