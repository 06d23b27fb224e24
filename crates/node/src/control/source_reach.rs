//! Whether the platform is reached.

use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Stream;

use crate::reach::Change;
use crate::reach::Reach;

/// Whether the platform answers reads, each stream by itself: one can fail alone.
#[derive(Debug)]
pub(crate) struct SourceReach {
    catalogue: Reach,
    instances: Reach,
}

impl SourceReach {
    /// A platform that is taken to answer.
    pub(crate) const fn new() -> SourceReach {
        SourceReach {
            catalogue: Reach::new("platform"),
            instances: Reach::new("platform"),
        }
    }

    /// Notes how a read went.
    pub(super) fn note(&self, stream: Stream, result: &SourceResult) -> Option<Change> {
        let reach = match stream {
            Stream::Catalogue => &self.catalogue,
            Stream::Instances => &self.instances,
        };
        match result {
            SourceResult::Failed { reason } => {
                tracing::debug!(%stream, reason, "a read of the platform failed");
                reach.missed(stream, reason)
            }
            _ => reach.found(stream),
        }
    }
}
