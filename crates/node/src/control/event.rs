//! Events of the control task.

use sassafrasspool_core::AuditEvent;
use sassafrasspool_core::Event;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::SpreadStatus;
use tokio::sync::oneshot;

/// An event for the control task.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// An event that is passed to dissemination unchanged.
    Spread(Event),
    /// A message from another node.
    Message {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: PeerMessage,
        /// The channel for the reply.
        reply: oneshot::Sender<PeerReply>,
    },
    /// A change of state that the traffic side observed, for the audit trail.
    Audit(AuditEvent),
    /// The target answered its readiness probe with 200.
    TargetReady,
    /// The endpoint is to drain.
    Drain,
    /// The node is to drain and then stop.
    Stop,
    /// The traffic side has closed all its connections.
    TrafficStopped {
        /// Requests that were cut at the end of the drain timeout.
        requests_cut: u64,
    },
    /// A query of the dissemination status.
    Status(oneshot::Sender<SpreadStatus>),
}
