//! The service itself.

use sassafrasspool_core::InstanceId;

use super::Packed;

/// What a node answers to others.
#[tarpc::service]
pub trait Peer {
    /// Takes a packed `PeerMessage` of the instance `from` and gives a packed
    /// `PeerReply`.
    async fn exchange(from: InstanceId, message: Packed) -> Packed;
}
