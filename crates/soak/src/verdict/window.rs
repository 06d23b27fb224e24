//! The span in which the requests of an instance are judged.

/// A half-open span from `from_us` to before `to_us`, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Window {
    pub(super) from_us: u64,
    pub(super) to_us: u64,
}
