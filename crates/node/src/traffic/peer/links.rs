//! All connections of one traffic thread to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use super::link::Link;

/// The links, by the address of the other node.
#[derive(Debug, Default)]
pub(in crate::traffic) struct Links(Mutex<HashMap<SocketAddr, Arc<Link>>>);

impl Links {
    /// The link to the node at `addr`; it connects when first used.
    pub(in crate::traffic) fn to(&self, addr: SocketAddr) -> Arc<Link> {
        let mut links = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links
            .entry(addr)
            .or_insert_with(|| Arc::new(Link::new(addr)));
        Arc::clone(link)
    }
}
