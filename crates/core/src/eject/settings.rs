//! Settings of ejection.

use std::time::Duration;

/// When an endpoint is left out, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EjectSettings {
    /// Failed connections in a row.
    pub connects: u32,
    /// Errors in a row, failed connections counted.
    pub errors: u32,
    /// Slow answers in a row.
    pub slow_answers: u32,
    /// An answer is slow if it took this many times the service's average.
    pub slow_factor: u32,
    /// No answer faster than this is slow.
    pub slow_floor: Duration,
    /// How long the first ejection lasts; each further one twice as long.
    pub first: Duration,
    /// The longest ejection; after twice this time without one it starts over.
    pub longest: Duration,
    /// The share of a service that is ejected at once at most, in percent.
    pub max_percent: u32,
}

impl Default for EjectSettings {
    fn default() -> EjectSettings {
        EjectSettings {
            connects: 2,
            errors: 5,
            slow_answers: 8,
            slow_factor: 5,
            slow_floor: Duration::from_millis(100),
            first: Duration::from_secs(1),
            longest: Duration::from_secs(30),
            max_percent: 50,
        }
    }
}
