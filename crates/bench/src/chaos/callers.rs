//! Behaviour of the callers in a chaos run.

use std::time::Duration;

use crate::load::RetryPolicy;

/// Retry policy of the callers.
pub const RETRY_POLICY: RetryPolicy = RetryPolicy {
    max_attempts: 3,
    pause: Duration::from_millis(150),
    overlapping_percent: 5,
    overlap_after: Duration::from_millis(30),
};

/// Request timeout that callers send to the node.
pub const TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long callers wait beyond [`TIMEOUT`]. A paused node may answer late,
/// but it has to answer.
pub const TIMEOUT_GRACE: Duration = Duration::from_millis(3_500);
