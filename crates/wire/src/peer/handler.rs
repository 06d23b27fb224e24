//! Who answers messages.

use std::net::SocketAddr;

use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;

/// Answers the messages of other nodes.
pub trait PeerHandler: Clone + Send + 'static {
    /// Answers a message that the instance `from` sent.
    fn answer(
        &self,
        from: InstanceId,
        message: PeerMessage,
    ) -> impl Future<Output = PeerReply> + Send;

    /// Takes note of a peer's fault: a message that doesn't decode or a
    /// connection over the bound. Nothing else comes of it.
    fn fault(&self, peer: SocketAddr, err: &Error);
}
