//! What a run is asked for.

use std::time::Duration;

/// The options of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Instances, each with its node.
    pub nodes: usize,
    /// How long calls are made.
    pub length: Duration,
    /// What calls and faults are drawn from.
    pub seed: u64,
    /// Calls a second for each instance.
    pub rate_per_node: f64,
    /// Whether callers use the naive version instead of nodes.
    pub naive: bool,
    /// Whether nodes' logs are kept after a run that broke a promise.
    pub keep_logs: bool,
}
