//! The state of one traffic thread.

use std::sync::Arc;

use super::hub::Hub;
use super::peer::PeerConnections;
use super::target::WorkerIndex;

/// The state of one traffic thread. Each thread has its own connections to other nodes, so
/// that a request is served without another thread.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) hub: Arc<Hub>,
    pub(super) index: WorkerIndex,
    pub(super) peer_connections: PeerConnections,
}

impl Worker {
    pub(super) fn new(hub: Arc<Hub>, index: WorkerIndex) -> Worker {
        Worker {
            hub,
            index,
            peer_connections: PeerConnections::default(),
        }
    }
}
