//! Forwards messages from other nodes to the control task.

use std::net::SocketAddr;

use metrics::counter;
use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Step;
use sassafrasspool_wire::peer::PeerHandler;
use tokio::sync::oneshot;

use super::ControlCounts;
use super::ControlEvent;
use super::ControlHandle;
use crate::metrics::names;

/// Sends messages from peers to the control task and waits for the replies.
#[derive(Debug, Clone)]
pub(crate) struct PeerMessageHandler {
    me: InstanceId,
    control: ControlHandle,
    counts: ControlCounts,
}

impl PeerMessageHandler {
    pub(crate) fn new(
        me: InstanceId,
        control: ControlHandle,
        counts: ControlCounts,
    ) -> PeerMessageHandler {
        PeerMessageHandler {
            me,
            control,
            counts,
        }
    }

    /// Rejects a sender that has this node's own instance id.
    ///
    /// Two processes with the same instance id would overwrite each other's
    /// state without end. Each rejects the other's messages, and the counter of
    /// peer faults shows it.
    fn check_sender(&self, from: &InstanceId) -> Result<(), Error> {
        if *from == self.me {
            let reason = "the sender has this node's own instance id";
            return Err(Error::new(Step::Exchange, reason).at_peer(from));
        }
        Ok(())
    }
}

impl PeerHandler for PeerMessageHandler {
    async fn answer(&self, from: InstanceId, message: PeerMessage) -> PeerReply {
        self.counts.add_message();
        counter!(names::MESSAGES, "kind" => message.kind(), "direction" => "in").increment(1);
        if let Err(err) = self.check_sender(&from) {
            record_fault(&err);
            return PeerReply::Refused;
        }
        let (reply, answer) = oneshot::channel();
        let event = ControlEvent::Message {
            from,
            message,
            reply,
        };
        // A full queue means that the control task can't keep up. Refusing at
        // once does no harm: the peer compares versions again later.
        if !self.control.try_send(event) {
            return PeerReply::Refused;
        }
        answer.await.unwrap_or(PeerReply::Refused)
    }

    fn record_fault(&self, _: SocketAddr, err: &Error) {
        record_fault(err);
    }
}

fn record_fault(err: &Error) {
    counter!(names::PEER_FAULTS, "step" => err.step().as_str()).increment(1);
    tracing::debug!(%err, "faulty message from a peer");
}
