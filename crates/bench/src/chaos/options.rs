//! Options of a run.

use std::time::Duration;

/// The options of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of instances, each with its node.
    pub nodes: usize,
    /// Duration of the load.
    pub length: Duration,
    /// Seed of the random calls and faults.
    pub seed: u64,
    /// Calls per second and instance.
    pub rate_per_node: f64,
    /// Whether callers use the naive proxy instead of nodes.
    pub naive: bool,
    /// Whether the nodes' logs are kept after a run that violated a guarantee.
    pub keep_logs: bool,
}
