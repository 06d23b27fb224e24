//! Figures about reads.

use serde::Deserialize;
use serde::Serialize;

/// What readers have asked for since the start or the last reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Calls on the read port, whatever their answer; a watch is one call.
    pub reads: u64,
    /// The most calls within one second, refused ones among them.
    pub reads_peak_per_s: u64,
    /// Calls over the budget.
    pub refused: u64,
    /// Watches that wait right now.
    pub waiting: u64,
}
