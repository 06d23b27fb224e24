//! Counts open connections and enforces their limit.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::counters::increment;
use super::shared::Shared;

/// Counts one open connection until it is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection(Arc<Shared>);

impl OpenConnection {
    /// Counts one more connection; `None` if that is over the limit.
    pub(super) fn open(shared: &Arc<Shared>) -> Option<OpenConnection> {
        let counters = &shared.counters;
        let open = increment(&counters.connections);
        let connection = OpenConnection(Arc::clone(shared));
        if open > u64::from(shared.cfg.connections.get()) {
            increment(&counters.connections_refused);
            return None;
        }
        counters.connections_peak.fetch_max(open, Ordering::Relaxed);
        Some(connection)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.counters.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
