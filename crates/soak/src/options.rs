//! What a run is asked for.

use std::time::Duration;

use miette::miette;

/// Instances at most; each is two processes and five links.
const MAX_NODES: usize = 150;

/// The longest run, in seconds.
const MAX_SECONDS: u64 = 3_600;

/// The options of one run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Instances, each with its node and its target.
    pub nodes: usize,
    /// How long calls are made.
    pub length: Duration,
    /// What calls and faults are drawn from.
    pub seed: u64,
    /// Calls a second for each instance.
    pub rate_per_node: f64,
    /// Processes that make calls.
    pub callers: usize,
    /// Whether the logs stay after a run that kept every promise.
    pub keep_logs: bool,
}

impl Options {
    /// These options if each is in its range.
    ///
    /// # Errors
    ///
    /// Names the first that isn't.
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
            0 => Err(miette!("there must be a process that makes calls")),
            _ => Ok(self),
        }
    }
}
