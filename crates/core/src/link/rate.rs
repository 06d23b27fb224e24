//! The bandwidth of a link.

use std::time::Duration;

use crate::Error;
use crate::Result;
use crate::Step;

/// The percentage of a link that large answers may use. The rest is for packet headers and
/// acknowledgements, which nobody counts.
const USABLE_PERCENT: u64 = 90;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The rate at which a link carries payload, in bytes a second.
///
/// # Invariants
///
/// It is at least one byte a second, and low enough that a product with microseconds of an
/// hour doesn't overflow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRate {
    bytes_per_s: u64,
}

impl LinkRate {
    /// The payload rate of a link with a bandwidth in megabits a second.
    ///
    /// # Errors
    ///
    /// Fails unless the bandwidth is from 0.01 to 1,000,000.
    ///
    /// # Example
    ///
    /// ```
    /// use sassafrasspool_core::LinkRate;
    ///
    /// assert_eq!(LinkRate::from_mbps(20.0)?.bytes_per_s(), 2_250_000);
    /// assert!(LinkRate::from_mbps(0.0).is_err());
    /// # Ok::<(), sassafrasspool_core::Error>(())
    /// ```
    pub fn from_mbps(mbps: f64) -> Result<LinkRate> {
        if !(0.01..=1_000_000.0).contains(&mbps) {
            let reason = format!("the bandwidth of {mbps} Mbit/s is out of range");
            return Err(Error::new(Step::Check, reason));
        }
        let bytes_per_s = (mbps * 1e6 / 8.0) as u64 * USABLE_PERCENT / 100;
        Ok(LinkRate {
            bytes_per_s: bytes_per_s.max(1),
        })
    }

    /// The rate in bytes a second.
    pub const fn bytes_per_s(self) -> u64 {
        self.bytes_per_s
    }

    /// The rate less that of other traffic, which may take up to `max_percent` of it.
    pub(super) fn less(self, other_bytes_per_s: u64, max_percent: u64) -> LinkRate {
        let max = self.bytes_per_s * max_percent / 100;
        let left = self.bytes_per_s - other_bytes_per_s.min(max);
        LinkRate {
            bytes_per_s: left.max(1),
        }
    }

    /// The time that so many bytes take.
    pub(super) fn time_for(self, bytes: u64) -> Duration {
        let micros = u128::from(bytes) * u128::from(MICROS_PER_SECOND);
        let micros = micros / u128::from(self.bytes_per_s);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
