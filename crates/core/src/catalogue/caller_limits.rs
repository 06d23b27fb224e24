//! Limits on requests and connections of callers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Bounds on the size and duration of what a caller sends, and on its idle time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: u32,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Time limit for the rest of a head after its first byte arrived.
    pub head_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Bounds for a catalogue that sets none. They are generous, because they cut off
    /// callers whose requests are not known in advance.
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 32 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
