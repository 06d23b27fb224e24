//! Reads of the platform, independent of its protocol.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Freshness;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Stream;

/// One read of a stream.
#[derive(Debug, Clone)]
pub struct SourceRequest {
    /// The stream to read.
    pub stream: Stream,
    /// The answer must be newer than this revision; if absent, the newest is
    /// returned.
    pub after: Option<Revision>,
    /// How long the platform may delay the answer until there is something newer.
    pub wait: Duration,
    /// How recent the answer has to be. A platform without cheaper, older answers returns
    /// the newest.
    pub freshness: Freshness,
    /// The stored instance list, for platforms that publish changes.
    pub list: Option<Arc<InstanceList>>,
    /// The stored catalogue, for platforms that publish changes.
    pub catalogue: Option<Arc<Catalogue>>,
}

/// The publisher of the catalogue and the instance list.
///
/// Each platform protocol is one implementation. A node has one of them, and only this
/// one communicates with its platform.
pub trait Source: Debug + Send + Sync {
    /// Reads a stream once. Failures are returned as results, since the reader continues
    /// with the version in force.
    fn read(&self, req: SourceRequest) -> BoxFuture<'_, SourceResult>;
}
