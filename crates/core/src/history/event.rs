//! What can happen in a recorded run.

use std::sync::Arc;

use super::Held;
use super::OperationId;
use super::RequestId;
use crate::InstanceId;
use crate::Stream;
use crate::Version;

/// One thing that happened, recorded by whoever saw it.
#[derive(Debug, Clone)]
pub enum Event {
    /// The platform published a version that binds.
    PublishedGood {
        /// Which value was published.
        stream: Stream,
        /// The version that it got.
        version: Version,
    },
    /// The platform published a version that doesn't bind.
    PublishedBad {
        /// Which value was published.
        stream: Stream,
        /// The version that it got.
        version: Version,
    },
    /// The source went into an outage or began to serve frozen versions.
    SourceLost,
    /// The source serves the newest versions again.
    SourceBack,
    /// A node stopped, was paused, or was parted from the others.
    NodeLost {
        /// Which node.
        node: InstanceId,
    },
    /// A node runs and can be reached.
    NodeBack {
        /// Which node.
        node: InstanceId,
    },
    /// A node put a snapshot in force; recorded after the swap.
    InForce {
        /// Which node.
        node: InstanceId,
        /// What the snapshot holds.
        held: Arc<Held>,
    },
    /// A node pinned its snapshot for a request; timed before it was read.
    Pinned {
        /// Which request.
        request: RequestId,
        /// Which node.
        node: InstanceId,
        /// The catalogue of the pinned snapshot.
        catalogue: Version,
        /// The instance list of the pinned snapshot.
        instances: Version,
    },
    /// A caller sent a request.
    Sent {
        /// Which request.
        request: RequestId,
        /// What the caller wants done.
        operation: OperationId,
        /// Whether that may be done more than once.
        repeatable: bool,
    },
    /// A caller got an answer.
    Answered {
        /// The request that the caller sent.
        request: RequestId,
        /// The request that the answer belongs to by its content.
        answers: RequestId,
        /// Whether the body was complete.
        whole: bool,
    },
    /// A caller was told that its request was not run.
    RefusedNotRun {
        /// Which request.
        request: RequestId,
    },
    /// A caller was told, or saw, that its request may or may not have run.
    Unknown {
        /// Which request.
        request: RequestId,
    },
    /// A caller went away before it had an answer.
    CallerLeft {
        /// Which request.
        request: RequestId,
    },
    /// A target began to run a request.
    RunStarted {
        /// Which request.
        request: RequestId,
        /// Which target.
        target: InstanceId,
    },
    /// A target finished a request and wrote its whole answer.
    RunFinished {
        /// Which request.
        request: RequestId,
        /// Which target.
        target: InstanceId,
    },
    /// A planned stop of a target and its node began.
    DrainBegan {
        /// Which target.
        target: InstanceId,
    },
    /// A planned stop ended.
    DrainEnded {
        /// Which target.
        target: InstanceId,
        /// How many requests its node says it cut.
        cut: u64,
    },
    /// A target died without a plan: its open runs end there.
    Crashed {
        /// Which target.
        target: InstanceId,
    },
}
