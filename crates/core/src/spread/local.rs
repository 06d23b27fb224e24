//! The node's own identity and addresses.

use std::net::SocketAddr;

use crate::DomainName;
use crate::Incarnation;
use crate::InstanceId;

/// A node's own identity and addresses, from its settings.
#[derive(Debug, Clone)]
pub struct LocalNode {
    /// The instance beside which it runs.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for control messages.
    pub control: SocketAddr,
    /// The incarnation of this start of the node.
    pub incarnation: Incarnation,
    /// Control addresses that are called before the instance list is known; may
    /// be empty.
    pub seeds: Vec<SocketAddr>,
}
