//! Report of a run.

use serde::Serialize;

use crate::summary::SummaryMs;

/// The report of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the verb.
    pub verb: &'static str,
    /// Number of instances.
    pub nodes: usize,
    /// Calls per second that were offered to each node.
    pub rate_per_node: f64,
    /// Duration of the measured load, in seconds.
    pub seconds: f64,
    /// Pairs of which both calls were answered.
    pub pairs: u64,
    /// Pairs of which at least one call wasn't answered.
    pub unanswered: u64,
    /// Latency that the nodes added, by pair: the latency through the nodes
    /// minus the direct one. It contains the jitter of both.
    pub added_ms: SummaryMs,
    /// Difference of the two distributions at the same percentiles.
    pub added_at_percentile_ms: SummaryMs,
    /// Latency of direct calls to the target.
    pub direct_ms: SummaryMs,
    /// Latency of calls through two nodes.
    pub via_ms: SummaryMs,
    /// Answered calls through the nodes per second, over all nodes.
    pub calls_per_s: f64,
    /// Processor time of all nodes per answered call, in microseconds. It
    /// covers both hops and the control threads.
    pub cpu_us_per_call: f64,
    /// Largest number of open connections of a node at the end.
    pub connections_per_node: usize,
    /// Delay between the planned and the actual start of pairs.
    pub release_late_ms: SummaryMs,
    /// Load average of the machine at the start.
    pub load_average: String,
}
