//! Counts of a link since the node's start.

/// What was sent over a link and refused for lack of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkTotals {
    /// Bytes of large answers.
    pub large_bytes: u64,
    /// Bytes of other traffic that were recorded.
    pub other_bytes: u64,
    /// Requests that were refused because their answer couldn't be delivered in time.
    pub refusals: u64,
}
