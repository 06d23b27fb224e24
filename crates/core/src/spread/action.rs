//! What a node is to do.

use std::sync::Arc;
use std::time::Duration;

use crate::AuditEvent;
use crate::Call;
use crate::Catalogue;
use crate::EndpointState;
use crate::Freshness;
use crate::InstanceList;
use crate::Origin;
use crate::Revision;
use crate::Snapshot;
use crate::Stream;
use crate::Verdicts;
use crate::Version;

/// Something that the node carries out.
#[derive(Debug, Clone)]
#[non_exhaustive]
pub enum Action {
    /// Call a peer.
    Send(Box<Call>),
    /// Read the platform; at most one read of a stream is under way.
    ReadSource {
        /// What to read.
        stream: Stream,
        /// Only answer with something newer than this; absent: with whatever
        /// is newest.
        after: Option<Revision>,
        /// How long the platform may hold the call until there is something
        /// newer.
        wait: Duration,
        /// How new the answer has to be.
        freshness: Freshness,
        /// The instance list that is held: a platform that publishes changes of
        /// it needn't be asked for all of it again.
        list: Option<Arc<InstanceList>>,
        /// The same of the catalogue.
        catalogue: Option<Arc<Catalogue>>,
    },
    /// Put a snapshot in force, at once and whole.
    Apply(Applied),
    /// The first snapshot is in force and was compared with what peers and
    /// the platform hold: requests may be taken.
    Joined,
    /// An endpoint's state is news here.
    Endpoint(EndpointState),
    /// Keep other requests from targets than before.
    Quarantine(Arc<Verdicts>),
    /// Write a line of the audit trail.
    Audit(AuditEvent),
}

/// A snapshot that comes into force.
#[derive(Debug, Clone)]
pub struct Applied {
    /// Catalogue and instance list, bound.
    pub snapshot: Arc<Snapshot>,
    /// The stream that changed; the first snapshot is told as the catalogue's.
    pub stream: Stream,
    /// The version of that stream.
    pub version: Version,
    /// Where it came from.
    pub origin: Origin,
}
