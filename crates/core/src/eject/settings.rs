//! Settings of outlier ejection.

use std::time::Duration;

/// When an endpoint is ejected, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EjectSettings {
    /// Consecutive failed connections that eject an endpoint.
    pub connect_failures: u32,
    /// Consecutive errors that eject an endpoint, failed connections included.
    pub errors: u32,
    /// Consecutive slow answers that eject an endpoint.
    pub slow_answers: u32,
    /// An answer is slow if it took more than this many times the service's average.
    pub slow_factor: u32,
    /// An answer faster than this is never slow.
    pub slow_floor: Duration,
    /// Duration of the first ejection; each further one lasts twice as long.
    pub first_ejection: Duration,
    /// The longest ejection. After more than twice this time without one, the next ejection
    /// lasts `first_ejection` again.
    pub max_ejection: Duration,
    /// The greatest share of a service that is ejected at the same time, in percent.
    pub max_ejected_percent: u32,
}

impl Default for EjectSettings {
    fn default() -> EjectSettings {
        EjectSettings {
            connect_failures: 2,
            errors: 5,
            slow_answers: 8,
            slow_factor: 5,
            slow_floor: Duration::from_millis(100),
            first_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            max_ejected_percent: 50,
        }
    }
}
