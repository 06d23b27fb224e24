//! A span in which a promise is judged.

/// A span, in microseconds since the Unix epoch; its end is no part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Window {
    pub(super) from_us: u64,
    pub(super) to_us: u64,
}
