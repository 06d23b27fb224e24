//! Limits of an entry.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// What a service may take, beside each of its targets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests a second that are admitted beside one target.
    pub rate_per_s: u32,
    /// Requests that run at once beside one target, if fewer than its slots.
    pub concurrency: u32,
    /// How long a request may take in all when its caller sets no deadline.
    pub deadline: Duration,
    /// Limits on trying again.
    pub retry: RetryLimits,
}

/// Limits on trying a request again.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetryLimits {
    /// Tries in all, the first one counted.
    pub attempts: u32,
    /// Retries as a share of first tries, in percent.
    pub budget_percent: u32,
    /// Retries that each node may save up.
    pub burst: u32,
}

impl Default for RetryLimits {
    /// One retry, of at most every tenth request.
    fn default() -> RetryLimits {
        RetryLimits {
            attempts: 2,
            budget_percent: 10,
            burst: 100,
        }
    }
}
