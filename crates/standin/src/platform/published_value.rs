//! A published value of a stream.

use bytes::Bytes;
use sassafrasspool_core::Revision;
use tokio::time::Instant;

/// A published value; clones share the body.
#[derive(Debug, Clone)]
pub(super) struct PublishedValue {
    /// The revision at which it was published.
    pub(super) revision: Revision,
    /// The complete value.
    pub(super) body: Bytes,
    /// When it becomes visible to readers.
    pub(super) visible_at: Instant,
}
