//! How much more than they bear cold targets tolerate.

use std::time::Duration;

use crate::ColdLimit;
use crate::Tick;

/// Requests of the tolerated number that are left to what admission doesn't see, such as a
/// probe.
const MARGIN: u32 = 2;

/// The part of what may begin within a second that is given out evenly; the rest may begin
/// at once.
const EVEN_PERCENT: u32 = 75;

/// What a cold target tolerates within any second beyond the rate that it bears.
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
///     over_percent: 150,
///     slack: 8,
/// };
/// // Of 23 requests a second 21 are used: 15 evenly, and 6 at once.
/// let limit = tolerance.limit(10, Tick::from_millis(3_000));
/// assert_eq!(limit.per_s, 15);
/// assert_eq!(limit.burst, Duration::from_millis(400));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdTolerance {
    /// Requests within a second, in percent of the rate; at least 100.
    pub over_percent: u32,
    /// Requests within a second beyond that.
    pub slack: u32,
}

impl ColdTolerance {
    /// The limit on a target that bears that rate and is cold until then.
    pub fn limit(self, per_s: u32, until: Tick) -> ColdLimit {
        let most = u64::from(per_s) * u64::from(self.over_percent) / 100;
        let most = u32::try_from(most).unwrap_or(u32::MAX);
        let most = most.saturating_add(self.slack);
        let used = most.saturating_sub(MARGIN).max(1);
        let even = (used.saturating_mul(EVEN_PERCENT) / 100).max(1);
        let at_once = used.saturating_sub(even).max(1);
        ColdLimit {
            per_s: even,
            burst: Duration::from_secs(1) * at_once / even,
            until,
        }
    }
}

impl Default for ColdTolerance {
    fn default() -> ColdTolerance {
        ColdTolerance {
            over_percent: 150,
            slack: 0,
        }
    }
}
