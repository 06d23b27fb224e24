//! Settings of admission.

use std::time::Duration;

/// How a target's slots are given out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that may wait, per slot.
    pub queue_per_slot: u32,
    /// The longest that a request waits for a slot.
    pub max_wait: Duration,
    /// How many standard requests go before one of the background that waits.
    pub standard_weight: u32,
    /// How long a rate may be exceeded by work that came in a burst.
    pub burst: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            queue_per_slot: 3,
            max_wait: Duration::from_millis(250),
            standard_weight: 8,
            burst: Duration::from_millis(500),
        }
    }
}
