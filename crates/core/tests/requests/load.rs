//! The load that callers offer.

use std::time::Duration;

use sassafrasspool_core::Class;

/// A rate of requests per class, for some time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) per_s: [f64; Class::ALL.len()],
    pub(crate) duration: Duration,
}

impl Load {
    /// A load with a third of the requests in each class.
    pub(crate) fn mixed(per_s: f64, duration: Duration) -> Load {
        Load {
            per_s: [per_s / 3.0; Class::ALL.len()],
            duration,
        }
    }
}
