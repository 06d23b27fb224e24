//! Handler of received messages.

use std::net::SocketAddr;

use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;

/// Handles the messages of other nodes.
pub trait PeerHandler: Clone + Send + 'static {
    /// Answers a message sent by the instance `from`.
    fn answer(
        &self,
        from: InstanceId,
        message: PeerMessage,
    ) -> impl Future<Output = PeerReply> + Send;

    /// Records a peer's fault: a message that doesn't decode or a connection over the
    /// limit. It has no other effect.
    fn record_fault(&self, peer: SocketAddr, err: &Error);
}
