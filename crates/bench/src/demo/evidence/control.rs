//! The cost of keeping the nodes current.

use sassafrasspool_wire::admin::Status;

use crate::demo::watch::Seen;

/// Control traffic of the nodes that run, since their starts.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::demo) struct Control {
    /// Bytes of a node, read and written, on average.
    pub(in crate::demo) bytes: u64,
    /// The same by the second.
    pub(in crate::demo) bytes_per_s: u64,
}

impl Control {
    /// Sums up what the nodes say.
    pub(in crate::demo) fn of(seen: &Seen) -> Control {
        let bytes = |status: &Status| status.control.bytes_in + status.control.bytes_out;
        let nodes = u64::try_from(seen.len()).unwrap_or(0).max(1);
        let total: u64 = seen.values().map(bytes).sum();
        let uptime_ms: u64 = seen.values().map(|status| status.uptime_ms).sum();
        Control {
            bytes: total / nodes,
            bytes_per_s: total * 1_000 / uptime_ms.max(1),
        }
    }
}
