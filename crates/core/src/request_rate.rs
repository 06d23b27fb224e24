//! A rate of requests.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Result;
use crate::Step;

#[cfg(test)]
mod tests;

/// The unit of a stored rate: thousandths of a request a second.
const UNITS_PER_REQUEST: f64 = 1_000.0;

/// A rate of requests, exact to a thousandth of a request a second.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::RequestRate;
///
/// let rate = RequestRate::parse("8.7")?;
/// assert_eq!(rate.per_s(), 8.7);
/// assert_eq!(rate.to_string(), "8.7");
/// assert!(RequestRate::parse("-1").is_err());
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    milli_per_s: u32,
}

impl RequestRate {
    /// The highest rate, in requests a second.
    pub const MAX_PER_S: f64 = 1_000_000.0;

    /// Creates a rate of `per_s` requests a second.
    ///
    /// # Errors
    ///
    /// Fails if it isn't between 0 and [`RequestRate::MAX_PER_S`].
    pub fn new(per_s: f64) -> Result<RequestRate> {
        if !(0.0..=RequestRate::MAX_PER_S).contains(&per_s) {
            let reason = format!("{per_s} is no rate of requests");
            return Err(Error::new(Step::Check, reason));
        }
        // The product is in the range of the type.
        let milli_per_s = (per_s * UNITS_PER_REQUEST).round() as u32;
        Ok(RequestRate { milli_per_s })
    }

    /// Parses a decimal number of requests a second.
    ///
    /// # Errors
    ///
    /// Fails if the text is no number or out of range.
    pub fn parse(text: &str) -> Result<RequestRate> {
        let per_s: f64 = text.trim().parse().map_err(|_| {
            let reason = format!("{text:?} is no rate of requests");
            Error::new(Step::Check, reason)
        })?;
        RequestRate::new(per_s)
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / UNITS_PER_REQUEST
    }

    /// Thousandths of a request a second.
    pub(crate) const fn milli_per_s(self) -> u32 {
        self.milli_per_s
    }

    /// The rate of this many thousandths of a request a second.
    pub(crate) const fn from_milli_per_s(milli_per_s: u32) -> RequestRate {
        RequestRate { milli_per_s }
    }

    /// The time between two requests at this rate; [`Duration::MAX`] if it is zero.
    pub(crate) fn interval(self) -> Duration {
        let seconds = UNITS_PER_REQUEST / f64::from(self.milli_per_s);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_s().fmt(f)
    }
}
