//! Limits of a catalogue entry.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Limits of a service, applied at each of its targets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests per second that are admitted at one target.
    pub rate_per_s: u32,
    /// Requests that run at once at one target, if that is fewer than its slots.
    pub concurrency: u32,
    /// Total time of a request whose caller sets no deadline.
    pub deadline: Duration,
    /// Limits on retries.
    pub retry: RetryLimits,
}

/// Limits on the retries of requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetryLimits {
    /// Maximum number of attempts, including the first.
    pub attempts: u32,
    /// Retries as a share of first attempts, in percent.
    pub budget_percent: u32,
    /// Unused retries that each node may accumulate.
    pub burst: u32,
}

impl Default for RetryLimits {
    /// One retry per request, for at most every tenth request.
    fn default() -> RetryLimits {
        RetryLimits {
            attempts: 2,
            budget_percent: 10,
            burst: 100,
        }
    }
}
