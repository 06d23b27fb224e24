//! What callers ask for.

use std::time::Duration;

use sassafrasspool_core::Class;

/// Requests a second by class, over some time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) per_s: [f64; Class::ALL.len()],
    pub(crate) time: Duration,
}

impl Load {
    /// A third of each class.
    pub(crate) fn mixed(per_s: f64, time: Duration) -> Load {
        Load {
            per_s: [per_s / 3.0; Class::ALL.len()],
            time,
        }
    }
}
