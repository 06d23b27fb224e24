//! Settings of admission control.

use std::time::Duration;

/// How a target's slots are assigned to requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests per slot.
    pub queue_per_slot: u32,
    /// The longest time that a request waits for a slot.
    pub max_wait: Duration,
    /// How many standard requests go before a waiting background request.
    pub standard_weight: u32,
    /// For how long the unused part of a rate limit accumulates, to admit a burst.
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
