//! How many requests cold targets tolerate beyond the rate that they can serve.

use std::time::Duration;

use crate::ColdLimit;
use crate::Tick;

/// Requests of the tolerated number that are left unused, for requests that admission
/// control doesn't see, such as probes.
const MARGIN_REQUESTS: u32 = 2;

/// The part of the requests within a second that is admitted at an even rate, in percent;
/// the rest may start as a burst.
const STEADY_PERCENT: u32 = 75;

/// What a cold target tolerates within any second beyond the rate that it can serve.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::ColdTolerance;
/// use sassafrasspool_core::Tick;
///
/// let tolerance = ColdTolerance {
///     max_rate_percent: 150,
///     slack_requests: 8,
/// };
/// // Of 23 requests a second 21 are used: 15 at an even rate, and 6 as a burst.
/// let limit = tolerance.limit(10, Tick::from_millis(3_000));
/// assert_eq!(limit.per_s, 15);
/// assert_eq!(limit.burst, Duration::from_millis(400));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdTolerance {
    /// Requests tolerated within a second, in percent of the rate; at least 100.
    pub max_rate_percent: u32,
    /// Requests tolerated within a second beyond that percentage.
    pub slack_requests: u32,
}

impl ColdTolerance {
    /// The limit for a target that can serve `per_s` requests a second and is cold until
    /// `until`.
    pub fn limit(self, per_s: u32, until: Tick) -> ColdLimit {
        let max_requests = u64::from(per_s) * u64::from(self.max_rate_percent) / 100;
        let max_requests = u32::try_from(max_requests).unwrap_or(u32::MAX);
        let max_requests = max_requests.saturating_add(self.slack_requests);
        let used = max_requests.saturating_sub(MARGIN_REQUESTS).max(1);
        let steady = (used.saturating_mul(STEADY_PERCENT) / 100).max(1);
        let burst = used.saturating_sub(steady).max(1);
        ColdLimit {
            per_s: steady,
            burst: Duration::from_secs(1) * burst / steady,
            until,
        }
    }
}

impl Default for ColdTolerance {
    fn default() -> ColdTolerance {
        ColdTolerance {
            max_rate_percent: 150,
            slack_requests: 0,
        }
    }
}
