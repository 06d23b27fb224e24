//! Actions that dissemination requests of its node.

use std::sync::Arc;
use std::time::Duration;

use crate::AuditEvent;
use crate::Call;
use crate::Catalogue;
use crate::EndpointState;
use crate::Freshness;
use crate::InstanceList;
use crate::Origin;
use crate::QuarantineState;
use crate::Revision;
use crate::Snapshot;
use crate::Stream;
use crate::Version;

/// An action that the node carries out.
#[derive(Debug, Clone)]
#[non_exhaustive]
pub enum Action {
    /// Send a message to a peer.
    Send(Box<Call>),
    /// Read the platform; at most one read of a stream is in flight.
    ReadSource {
        /// The stream to read.
        stream: Stream,
        /// Answer only with a revision newer than this; absent: with the
        /// newest.
        after: Option<Revision>,
        /// How long the platform may hold the call until a newer revision
        /// exists.
        wait: Duration,
        /// How new the answer has to be.
        freshness: Freshness,
        /// The held instance list: a platform that publishes changes of the
        /// list needn't send the whole list again.
        list: Option<Arc<InstanceList>>,
        /// The held catalogue, for the same purpose.
        catalogue: Option<Arc<Catalogue>>,
    },
    /// Put a snapshot in force atomically.
    Apply(Applied),
    /// The first snapshot is in force and was compared with the versions of
    /// peers and the platform: requests may be accepted.
    Joined,
    /// A newer state of an endpoint was received.
    Endpoint(EndpointState),
    /// Replace the set of requests that are withheld from targets.
    Quarantine(Arc<QuarantineState>),
    /// Write a record of the audit trail.
    Audit(AuditEvent),
}

/// A snapshot that comes into force.
#[derive(Debug, Clone)]
pub struct Applied {
    /// The snapshot, bound from catalogue and instance list.
    pub snapshot: Arc<Snapshot>,
    /// The stream that changed; the first snapshot is attributed to the
    /// catalogue.
    pub stream: Stream,
    /// The version of that stream.
    pub version: Version,
    /// Where that version came from.
    pub origin: Origin,
}
