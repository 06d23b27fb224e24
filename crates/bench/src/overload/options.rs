//! What a run is asked for.

use std::time::Duration;

/// The options of a run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Instances, each with its node.
    pub nodes: usize,
    /// Calls offered over what the slots can do.
    pub factor: f64,
    /// How long calls are made, with and without each.
    pub length: Duration,
    /// What the calls are drawn from.
    pub seed: u64,
}
