//! A probe of a target for its remaining cold time.

/// What was known of a target when a probe of its cold time was begun.
#[derive(Debug, Clone, Copy)]
pub struct ColdProbe {
    /// Events until then that may have made the target cold.
    pub(super) events: u64,
}
