//! One published value.

use bytes::Bytes;
use sassafrasspool_core::Revision;
use tokio::time::Instant;

/// A value as it was published; cloning shares the body.
#[derive(Debug, Clone)]
pub(super) struct PublishedValue {
    /// The revision that it was accepted at.
    pub(super) revision: Revision,
    /// The whole value.
    pub(super) body: Bytes,
    /// When readers begin to see it.
    pub(super) visible_at: Instant,
}
