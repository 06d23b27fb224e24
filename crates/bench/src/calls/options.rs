//! Options of a run.

use std::time::Duration;

/// The options of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of instances, each with its node and its own service.
    pub nodes: usize,
    /// Calls per second that are sent to each node.
    pub rate_per_node: f64,
    /// Duration of the measured load.
    pub length: Duration,
    /// Seed of the random calls.
    pub seed: u64,
    /// Upper limit of the size of an answer, in bytes.
    pub answer_bytes: usize,
}
