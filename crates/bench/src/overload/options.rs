//! Options of a run.

use std::time::Duration;

/// The options of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of instances, each with its node.
    pub nodes: usize,
    /// Offered load as a multiple of the capacity of the slots.
    pub factor: f64,
    /// Duration of the load in each of the two runs.
    pub length: Duration,
    /// Seed of the random calls.
    pub seed: u64,
}
