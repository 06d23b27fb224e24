//! The handle of a started traffic side.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::traffic::hub::Hub;
use crate::traffic::listener::listeners::TrafficAddrs;

/// A started traffic side, which runs until its token is cancelled.
#[derive(Debug)]
pub struct RunningTraffic {
    addrs: TrafficAddrs,
    hub: Arc<Hub>,
    /// Each channel closes when its thread ends.
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

    /// Waits until the token is cancelled, every connection is closed gracefully and every
    /// thread has ended.
    pub async fn wait_stopped(self) {
        self.hub.closing.cancelled().await;
        self.hub.connections.close();
        self.hub.connections.wait().await;
        self.hub.pool.close_idle();
        for thread in self.threads {
            // The channel closes without a message.
            let _ = thread.await;
        }
    }

    /// Like [`wait_stopped`](RunningTraffic::wait_stopped), but aborts the requests that are in
    /// flight after `bound`. Returns their number.
    pub async fn wait_stopped_or_abort(self, bound: Duration) -> u64 {
        let in_flight = self.hub.shared.in_flight().clone();
        let abort = self.hub.abort.clone();
        let mut stopped = std::pin::pin!(self.wait_stopped());
        if tokio::time::timeout(bound, stopped.as_mut()).await.is_ok() {
            return 0;
        }
        let aborted = in_flight.count();
        abort.cancel();
        stopped.await;
        aborted
    }
}
