//! Control traffic, the cost of keeping the nodes up to date.

use sassafrasspool_wire::admin::Status;

use crate::demo::status_poller::Statuses;

/// Average control traffic of the running nodes since their starts.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::demo) struct ControlCost {
    /// Bytes read and written by a node.
    pub(in crate::demo) bytes: u64,
    /// The same per second of uptime.
    pub(in crate::demo) bytes_per_s: u64,
}

impl ControlCost {
    /// Averages the nodes' counts.
    pub(in crate::demo) fn new(statuses: &Statuses) -> ControlCost {
        let bytes = |status: &Status| status.control.bytes_in + status.control.bytes_out;
        let nodes = u64::try_from(statuses.len()).unwrap_or(0).max(1);
        let total: u64 = statuses.values().map(bytes).sum();
        let uptime_ms: u64 = statuses.values().map(|status| status.uptime_ms).sum();
        ControlCost {
            bytes: total / nodes,
            bytes_per_s: total * 1_000 / uptime_ms.max(1),
        }
    }
}
