//! Messages of other nodes on their way to the control task.

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

/// Hands messages over and waits for their answers.
#[derive(Debug, Clone)]
pub(crate) struct Inbound {
    me: InstanceId,
    control: ControlHandle,
    counts: ControlCounts,
}

impl Inbound {
    pub(crate) fn new(me: InstanceId, control: ControlHandle, counts: ControlCounts) -> Inbound {
        Inbound {
            me,
            control,
            counts,
        }
    }

    /// Refuses what can't be from another node.
    ///
    /// Two processes that were given one instance's name would undo each
    /// other's words for ever. Each refuses the other, and the counter of
    /// faults shows it.
    fn check(&self, from: &InstanceId) -> Result<(), Error> {
        if *from == self.me {
            let reason = "the sender has this node's own name";
            return Err(Error::new(Step::Exchange, reason).at_peer(from));
        }
        Ok(())
    }
}

impl PeerHandler for Inbound {
    async fn answer(&self, from: InstanceId, message: PeerMessage) -> PeerReply {
        self.counts.add_message();
        counter!(names::MESSAGES, "kind" => message.kind(), "direction" => "in").increment(1);
        if let Err(err) = self.check(&from) {
            note(&err);
            return PeerReply::Refused;
        }
        let (reply, answer) = oneshot::channel();
        let event = ControlEvent::Message {
            from,
            message,
            reply,
        };
        // A full queue means that the control task can't keep up. Refusing at
        // once costs the peer nothing: it compares again later.
        if !self.control.try_send(event) {
            return PeerReply::Refused;
        }
        answer.await.unwrap_or(PeerReply::Refused)
    }

    fn fault(&self, _: SocketAddr, err: &Error) {
        note(err);
    }
}

fn note(err: &Error) {
    counter!(names::PEER_FAULTS, "step" => err.step().as_str()).increment(1);
    tracing::debug!(%err, "a peer's fault");
}
