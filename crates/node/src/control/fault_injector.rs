//! Simulated network partitions and pauses of a node's control side.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// Simulates network partitions and scheduler pauses for one node's control
/// side, so that tests can run many nodes in one process. By default no fault
/// is injected.
#[derive(Debug, Clone, Default)]
pub struct FaultInjector {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    partitioned: RwLock<HashSet<SocketAddr>>,
    platform_cut: AtomicBool,
    paused: watch::Sender<bool>,
}

impl FaultInjector {
    /// Partitions the node from the peers with these control addresses; the
    /// set replaces the previous one. Calls to these peers get no answer.
    pub fn partition_from(&self, peers: HashSet<SocketAddr>) {
        let partitioned = self.inner.partitioned.write();
        *partitioned.unwrap_or_else(PoisonError::into_inner) = peers;
    }

    /// Disconnects the node from the platform, or reconnects it.
    pub fn set_platform_cut(&self, cut: bool) {
        self.inner.platform_cut.store(cut, Ordering::Relaxed);
    }

    /// Pauses or resumes the control side. While it is paused it handles no
    /// events and answers no messages; queued events are handled after it
    /// resumes.
    pub fn set_paused(&self, paused: bool) {
        self.inner.paused.send_replace(paused);
    }

    pub(super) fn is_partitioned_from(&self, peer: SocketAddr) -> bool {
        let partitioned = self.inner.partitioned.read();
        let partitioned = partitioned.unwrap_or_else(PoisonError::into_inner);
        partitioned.contains(&peer)
    }

    pub(super) fn is_platform_cut(&self) -> bool {
        self.inner.platform_cut.load(Ordering::Relaxed)
    }

    /// Waits while the control side is paused.
    pub(super) async fn wait_while_paused(&self) {
        if *self.inner.paused.borrow() {
            let mut paused = self.inner.paused.subscribe();
            // This can't fail: `self` keeps the sender alive.
            let _ = paused.wait_for(|paused| !paused).await;
        }
    }
}
