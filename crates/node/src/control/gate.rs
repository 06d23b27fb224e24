//! Holding a node's control side back.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// Parts a node from others or stops its control side for a while, so that
/// many nodes of one process can be tested as if the network or the scheduler
/// had done it. Open unless somebody closes it.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    parted: RwLock<HashSet<SocketAddr>>,
    platform_cut: AtomicBool,
    paused: watch::Sender<bool>,
}

impl Gate {
    /// Parts the node from the peers with these control addresses, and from
    /// no others. What it sends to them gets no answer.
    pub fn part(&self, peers: HashSet<SocketAddr>) {
        let parted = self.inner.parted.write();
        *parted.unwrap_or_else(PoisonError::into_inner) = peers;
    }

    /// Cuts the node from the platform, or ends that.
    pub fn cut_platform(&self, cut: bool) {
        self.inner.platform_cut.store(cut, Ordering::Relaxed);
    }

    /// Stops the control side, or lets it go on: it does nothing and answers
    /// nobody meanwhile, and finds what has come when it goes on.
    pub fn pause(&self, paused: bool) {
        self.inner.paused.send_replace(paused);
    }

    pub(super) fn parts_from(&self, peer: SocketAddr) -> bool {
        let parted = self.inner.parted.read();
        let parted = parted.unwrap_or_else(PoisonError::into_inner);
        parted.contains(&peer)
    }

    pub(super) fn cuts_platform(&self) -> bool {
        self.inner.platform_cut.load(Ordering::Relaxed)
    }

    /// Waits while the control side is stopped.
    pub(super) async fn pass(&self) {
        if *self.inner.paused.borrow() {
            let mut paused = self.inner.paused.subscribe();
            // The sender lives as long as this gate.
            let _ = paused.wait_for(|paused| !paused).await;
        }
    }
}
