//! Events of a recorded run.

use std::sync::Arc;

use super::OperationId;
use super::RequestId;
use super::SnapshotFacts;
use crate::Epoch;
use crate::InstanceId;
use crate::Revision;
use crate::Stream;
use crate::Version;

/// One event, recorded by the process that observed it.
#[derive(Debug, Clone)]
pub enum Event {
    /// The platform published a valid version, from which a snapshot can be
    /// built.
    PublishedGood {
        /// The stream of the version.
        stream: Stream,
        /// The version.
        version: Version,
    },
    /// The platform published an invalid version, from which no snapshot can be
    /// built.
    PublishedBad {
        /// The stream of the version.
        stream: Stream,
        /// The version.
        version: Version,
    },
    /// The source returned from an older copy of its data, in the next epoch.
    Restored(Restore),
    /// An outage of the source began, or it began to serve stale versions.
    SourceLost,
    /// The source serves the newest versions again.
    SourceBack,
    /// A node stopped, was paused, or was partitioned from the others.
    NodeLost {
        /// The node.
        node: InstanceId,
    },
    /// A node runs and is reachable.
    NodeBack {
        /// The node.
        node: InstanceId,
    },
    /// A node put a snapshot in force. Recorded after the swap.
    InForce {
        /// The node.
        node: InstanceId,
        /// The facts of the snapshot.
        held: Arc<SnapshotFacts>,
    },
    /// A node pinned its snapshot for a request. Its time is taken before the
    /// snapshot is read.
    Pinned {
        /// The request.
        request: RequestId,
        /// The node.
        node: InstanceId,
        /// The catalogue version of the pinned snapshot.
        catalogue: Version,
        /// The instance list version of the pinned snapshot.
        instances: Version,
    },
    /// A caller sent a request.
    Sent {
        /// The request.
        request: RequestId,
        /// The operation that it is for.
        operation: OperationId,
        /// Whether the operation may run more than once.
        repeatable: bool,
    },
    /// A caller received an answer.
    Answered {
        /// The request that the caller sent.
        request: RequestId,
        /// The request to which the answer belongs by its content.
        answers: RequestId,
        /// Whether the body was complete.
        whole: bool,
    },
    /// A caller received a refusal which states that its request was not run.
    RefusedNotRun {
        /// The request.
        request: RequestId,
    },
    /// A request ended without the caller knowing whether it ran: by such an
    /// answer or, for example, by a broken connection.
    Unknown {
        /// The request.
        request: RequestId,
    },
    /// A caller disconnected before it received an answer.
    CallerLeft {
        /// The request.
        request: RequestId,
    },
    /// A target began to run a request.
    RunStarted {
        /// The request.
        request: RequestId,
        /// The target.
        target: InstanceId,
    },
    /// A target finished a request and wrote its whole answer.
    RunFinished {
        /// The request.
        request: RequestId,
        /// The target.
        target: InstanceId,
    },
    /// A planned stop of a target and its node began.
    DrainBegan {
        /// The target.
        target: InstanceId,
    },
    /// A planned stop ended.
    DrainEnded {
        /// The target.
        target: InstanceId,
        /// The number of requests that its node reports as cut.
        cut: u64,
    },
    /// A target ended unplanned, and with it the requests that it ran.
    Crashed {
        /// The target.
        target: InstanceId,
    },
}

/// A return of the source from an older copy of its data.
///
/// It still has the versions up to the given numbers, and gives out later ones again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restore {
    /// The epoch that begins.
    pub epoch: Epoch,
    /// The number of the newest catalogue of the copy.
    pub catalogue: u64,
    /// The number of the newest instance list of the copy.
    pub instances: u64,
}

impl Restore {
    /// The revision that a version of the epoch before has in the new one, if the copy has
    /// that version.
    pub fn copied(&self, stream: Stream, before: Revision) -> Option<Revision> {
        let newest = match stream {
            Stream::Catalogue => self.catalogue,
            Stream::Instances => self.instances,
        };
        let is_copied = before.epoch().get() + 1 == self.epoch.get() && before.get() <= newest;
        let copied = is_copied.then(|| Revision::in_epoch(self.epoch, before.get()));
        copied?.ok()
    }
}
