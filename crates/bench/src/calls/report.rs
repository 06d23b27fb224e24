//! What a run prints.

use serde::Serialize;

use crate::summary::SummaryMs;

/// The report of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The verb.
    pub verb: &'static str,
    /// Instances.
    pub nodes: usize,
    /// Calls a second that were to enter at each node.
    pub rate_per_node: f64,
    /// How long calls were measured, in seconds.
    pub seconds: f64,
    /// Pairs whose calls were both answered.
    pub pairs: u64,
    /// Calls of pairs that weren't answered.
    pub unanswered: u64,
    /// What the nodes added: by pair, the call through the nodes less the
    /// direct one. The jitter of both is in it.
    pub added_ms: SummaryMs,
    /// The difference of the two distributions at the same percentiles.
    pub added_at_percentile_ms: SummaryMs,
    /// Calls straight to the target.
    pub direct_ms: SummaryMs,
    /// Calls through two nodes.
    pub via_ms: SummaryMs,
    /// Answered calls through the nodes a second, over all nodes.
    pub calls_per_s: f64,
    /// Processor time of all nodes for each of those calls, over both hops
    /// and with the control thread, in microseconds.
    pub cpu_us_per_call: f64,
    /// The most connections that a node had open in the end.
    pub connections_per_node: usize,
    /// By how much pairs were released late.
    pub release_late_ms: SummaryMs,
    /// The machine's load average at the start.
    pub load_average: String,
}
