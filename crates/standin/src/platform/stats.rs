//! Statistics of reads.

use serde::Deserialize;
use serde::Serialize;

/// Counts of reads since the start or the last reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Calls on the read port, regardless of their answer; a watch is one call.
    pub reads: u64,
    /// The maximum number of calls within one second, including refused ones.
    pub reads_peak_per_s: u64,
    /// Calls over the budget.
    pub refused: u64,
    /// Watches that wait now.
    pub waiting: u64,
}
