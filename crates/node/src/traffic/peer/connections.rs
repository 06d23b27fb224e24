//! The connections of one traffic thread to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use super::connection::PeerConnection;

/// Connections by the address of the other node.
#[derive(Debug, Default)]
pub(in crate::traffic) struct PeerConnections(Mutex<HashMap<SocketAddr, Arc<PeerConnection>>>);

impl PeerConnections {
    /// The connection to the node at `addr`, which is opened on first use.
    pub(in crate::traffic) fn connection_to(&self, addr: SocketAddr) -> Arc<PeerConnection> {
        let mut connections = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let connection = connections
            .entry(addr)
            .or_insert_with(|| Arc::new(PeerConnection::new(addr)));
        Arc::clone(connection)
    }
}
