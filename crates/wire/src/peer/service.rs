//! The RPC service of nodes.

use sassafrasspool_core::InstanceId;

use super::Packed;

/// The service that a node offers to its peers.
#[tarpc::service]
pub trait Peer {
    /// Receives a packed `PeerMessage` of the instance `from` and returns a packed
    /// `PeerReply`.
    async fn exchange(from: InstanceId, message: Packed) -> Packed;
}
