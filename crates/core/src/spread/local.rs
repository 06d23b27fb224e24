//! What a node knows of itself.

use std::net::SocketAddr;

use crate::DomainName;
use crate::Incarnation;
use crate::InstanceId;

/// A node's own place, from its settings.
#[derive(Debug, Clone)]
pub struct LocalNode {
    /// The instance beside which it runs.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it takes control messages.
    pub control: SocketAddr,
    /// This start of the node.
    pub incarnation: Incarnation,
    /// Control addresses to ask before the instance list is known; may be
    /// empty.
    pub seeds: Vec<SocketAddr>,
}
