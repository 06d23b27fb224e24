//! Events that a node passes to dissemination.

use std::net::SocketAddr;
use std::time::Duration;

use crate::CallId;
use crate::CatalogueItem;
use crate::Instance;
use crate::Observation;
use crate::PeerReply;
use crate::Phase;
use crate::Revision;
use crate::Stream;

/// An event with which the state machine is advanced.
#[derive(Debug, Clone)]
#[non_exhaustive]
pub enum Event {
    /// The wakeup time has come.
    Wakeup,
    /// A peer answered a call.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: PeerReply,
    },
    /// A call failed, or its reply didn't arrive in time.
    CallFailed {
        /// The call.
        call: CallId,
    },
    /// A read of the platform ended.
    SourceRead {
        /// The stream that was read.
        stream: Stream,
        /// How the read ended.
        result: SourceResult,
    },
    /// The local endpoint entered a phase.
    LocalPhase(Phase),
    /// A crash or an answer of the local target was observed, or an operator
    /// released a request.
    Observed {
        /// What was observed.
        observation: Observation,
        /// How long ago it was observed.
        age: Duration,
    },
    /// Replaces the control addresses that are called before the list is known.
    Seeds(Vec<SocketAddr>),
}

/// How a read of the platform ended.
#[derive(Debug, Clone)]
pub enum SourceResult {
    /// A catalogue's text.
    Catalogue {
        /// Its revision.
        revision: Revision,
        /// The text as published.
        text: String,
    },
    /// A catalogue that the platform publishes as items instead of as a text.
    CatalogueItems {
        /// Its revision.
        revision: Revision,
        /// Its items.
        items: Vec<CatalogueItem>,
    },
    /// An instance list.
    Instances {
        /// Its revision.
        revision: Revision,
        /// All instances.
        instances: Vec<Instance>,
    },
    /// A value that can't be parsed.
    Malformed {
        /// Its revision.
        revision: Revision,
        /// The parse error.
        reason: String,
    },
    /// Nothing newer was published.
    Unchanged {
        /// The newest revision of the platform; lower than the requested one if
        /// the platform is stale.
        newest: Option<Revision>,
    },
    /// Nothing was published yet.
    NothingPublished,
    /// The platform's read budget is exhausted.
    Busy {
        /// Time after which the read may be retried.
        retry_after: Option<Duration>,
    },
    /// The platform couldn't be reached or returned an error.
    Failed {
        /// The cause.
        reason: String,
    },
}

impl SourceResult {
    /// Replaces the revision that the platform reported, if it reported one.
    pub(crate) fn map_revision(mut self, map: impl FnOnce(Revision) -> Revision) -> SourceResult {
        match &mut self {
            SourceResult::Catalogue { revision, .. }
            | SourceResult::CatalogueItems { revision, .. }
            | SourceResult::Instances { revision, .. }
            | SourceResult::Malformed { revision, .. }
            | SourceResult::Unchanged {
                newest: Some(revision),
            } => *revision = map(*revision),
            SourceResult::Unchanged { newest: None }
            | SourceResult::NothingPublished
            | SourceResult::Busy { .. }
            | SourceResult::Failed { .. } => {}
        }
        self
    }

    /// The revision that the platform reported, if it reported one.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            SourceResult::Catalogue { revision, .. }
            | SourceResult::CatalogueItems { revision, .. }
            | SourceResult::Instances { revision, .. }
            | SourceResult::Malformed { revision, .. } => Some(*revision),
            SourceResult::Unchanged { newest } => *newest,
            SourceResult::NothingPublished
            | SourceResult::Busy { .. }
            | SourceResult::Failed { .. } => None,
        }
    }
}
