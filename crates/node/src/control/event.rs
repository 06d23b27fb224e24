//! What reaches the control task.

use sassafrasspool_core::Event;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::SpreadStatus;
use tokio::sync::oneshot;

/// Something for the control task.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// Something that the decisions are told as it is.
    Spread(Event),
    /// Another node's message, and where its answer goes.
    Message {
        /// Who sent it.
        from: InstanceId,
        /// What it says.
        message: PeerMessage,
        /// Where the answer goes.
        reply: oneshot::Sender<PeerReply>,
    },
    /// The target answered its probe.
    TargetReady,
    /// The endpoint is to take nothing new.
    Drain,
    /// The node is to end once it has drained.
    Stop,
    /// The traffic side has closed all its connections.
    TrafficStopped {
        /// Requests that were cut at the bound.
        cut: u64,
    },
    /// Somebody asks how the spreading of versions is.
    Status(oneshot::Sender<SpreadStatus>),
}
