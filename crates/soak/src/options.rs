//! The options of a run and their ranges.

use std::time::Duration;

use miette::miette;

/// The most instances. Each one has two processes and five links.
const MAX_NODES: usize = 150;

/// The longest duration of the calls, in seconds.
const MAX_SECONDS: u64 = 3_600;

/// The options of one run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Instances, each with its node and its target.
    pub nodes: usize,
    /// How long calls are made.
    pub length: Duration,
    /// The seed of calls and faults.
    pub seed: u64,
    /// Calls per second for each instance.
    pub rate_per_node: f64,
    /// The number of caller processes.
    pub callers: usize,
    /// Whether the logs are kept after a run without a violation too.
    pub keep_logs: bool,
}

impl Options {
    /// Returns these options if each one is in its range.
    ///
    /// # Errors
    ///
    /// Names the first option that is out of range.
    pub fn checked(self) -> miette::Result<Options> {
        if !(2..=MAX_NODES).contains(&self.nodes) {
            return Err(miette!("nodes must be 2 to {MAX_NODES}"));
        }
        if !(1..=MAX_SECONDS).contains(&self.length.as_secs()) {
            return Err(miette!("seconds must be 1 to {MAX_SECONDS}"));
        }
        if self.rate_per_node.is_nan() || self.rate_per_node <= 0.0 {
            return Err(miette!("the rate must be above 0"));
        }
        match self.callers {
            0 => Err(miette!("callers must be at least 1")),
            _ => Ok(self),
        }
    }
}
