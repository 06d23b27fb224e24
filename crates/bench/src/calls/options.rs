//! What a run is asked for.

use std::time::Duration;

/// The options of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Instances, each with its node and a service of its own.
    pub nodes: usize,
    /// Calls a second that enter at each node.
    pub rate_per_node: f64,
    /// How long calls are measured.
    pub length: Duration,
    /// What the calls are drawn from.
    pub seed: u64,
    /// Bytes of each answer.
    pub answer_bytes: usize,
}
