//! What happens to a node.

use std::net::SocketAddr;
use std::time::Duration;

use crate::CallId;
use crate::CatalogueItem;
use crate::Instance;
use crate::PeerReply;
use crate::Phase;
use crate::Revision;
use crate::Sighting;
use crate::Stream;

/// Something that happened.
#[derive(Debug, Clone)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed.
    Wakeup,
    /// A peer answered a call.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: PeerReply,
    },
    /// A call failed, or its answer didn't come in time.
    CallFailed {
        /// The call.
        call: CallId,
    },
    /// A read of the platform ended.
    SourceRead {
        /// What was read.
        stream: Stream,
        /// How it ended.
        result: SourceResult,
    },
    /// The endpoint beside this node entered a phase.
    LocalPhase(Phase),
    /// The endpoint beside this node was seen to do something, so long ago.
    Sighted {
        /// What it did.
        sighting: Sighting,
        /// How long ago.
        ago: Duration,
    },
    /// Other control addresses are to be asked before the list is known.
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
    /// A catalogue that was published in another form than its text, with what
    /// was read from it.
    Items {
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
    /// A value that can't be read as what it should be.
    Malformed {
        /// Its revision.
        revision: Revision,
        /// What is wrong with it.
        reason: String,
    },
    /// Nothing newer was published.
    Unchanged {
        /// The newest revision that the platform knows of; lower than asked
        /// for if the platform is stale.
        newest: Option<Revision>,
    },
    /// Nothing was ever published.
    Nothing,
    /// The platform's read budget is used up.
    Busy {
        /// When it may be asked again.
        retry_after: Option<Duration>,
    },
    /// The platform couldn't be reached or failed.
    Failed {
        /// Why.
        reason: String,
    },
}
