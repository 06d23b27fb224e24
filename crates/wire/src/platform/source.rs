//! Reading the platform, whatever it speaks.

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
pub struct SourceAsk {
    /// What to read.
    pub stream: Stream,
    /// Only answer with something newer than this; absent: with whatever is
    /// newest.
    pub after: Option<Revision>,
    /// How long the platform may hold the call until there is something newer.
    pub wait: Duration,
    /// How new the answer has to be. A platform that has no cheaper answers gives
    /// the newest.
    pub freshness: Freshness,
    /// The instance list that is held, for platforms that publish changes.
    pub list: Option<Arc<InstanceList>>,
    /// The same of the catalogue.
    pub catalogue: Option<Arc<Catalogue>>,
}

/// What publishes the catalogue and the instance list.
///
/// Each protocol of a platform is one implementation; a node has one of them
/// and nothing else speaks to its platform.
pub trait Source: Debug + Send + Sync {
    /// Reads a stream once. Whatever goes wrong is a result like others, since
    /// the reader goes on with what it holds.
    fn read(&self, ask: SourceAsk) -> BoxFuture<'_, SourceResult>;
}
