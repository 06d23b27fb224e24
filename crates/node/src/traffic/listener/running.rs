//! A traffic side that was started.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::traffic::hub::Hub;
use crate::traffic::listener::listeners::TrafficAddrs;

/// A traffic side that runs until its token is cancelled.
#[derive(Debug)]
pub struct RunningTraffic {
    addrs: TrafficAddrs,
    hub: Arc<Hub>,
    /// Each is closed by a thread's end.
    threads: Vec<oneshot::Receiver<()>>,
}

impl RunningTraffic {
    pub(in crate::traffic) fn new(
        addrs: TrafficAddrs,
        hub: Arc<Hub>,
        threads: Vec<oneshot::Receiver<()>>,
    ) -> RunningTraffic {
        RunningTraffic {
            addrs,
            hub,
            threads,
        }
    }

    /// The addresses that were bound.
    pub fn addrs(&self) -> TrafficAddrs {
        self.addrs
    }

    /// Waits, once its token is cancelled, until every connection was closed
    /// gracefully and every thread has ended.
    pub async fn stopped(self) {
        self.hub.closing.cancelled().await;
        self.hub.connections.close();
        self.hub.connections.wait().await;
        self.hub.pool.clear();
        for thread in self.threads {
            // It is closed, not sent to.
            let _ = thread.await;
        }
    }

    /// The same, but cuts what is still in flight after `bound`; returns how
    /// many requests that were.
    pub async fn stopped_within(self, bound: Duration) -> u64 {
        let in_flight = self.hub.shared.in_flight().clone();
        let cut = self.hub.cut.clone();
        let mut stopped = std::pin::pin!(self.stopped());
        if tokio::time::timeout(bound, stopped.as_mut()).await.is_ok() {
            return 0;
        }
        let left = in_flight.count();
        cut.cancel();
        stopped.await;
        left
    }
}
