//! One traffic thread's own state.

use std::sync::Arc;

use super::hub::Hub;
use super::peer::Links;
use super::target::WorkerIndex;

/// A traffic thread: it has its own connections to other nodes, so that a
/// request needs no other thread on its way.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) hub: Arc<Hub>,
    pub(super) index: WorkerIndex,
    pub(super) links: Links,
}

impl Worker {
    pub(super) fn new(hub: Arc<Hub>, index: WorkerIndex) -> Worker {
        Worker {
            hub,
            index,
            links: Links::default(),
        }
    }
}
