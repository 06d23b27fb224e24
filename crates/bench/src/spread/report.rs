//! What a run reports.

use serde::Serialize;

use crate::summary::SummaryMs;

/// Figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Nodes that ran.
    pub nodes: usize,
    /// Services in the catalogue.
    pub services: usize,
    /// Endpoints in the list.
    pub endpoints: usize,
    /// Changes published.
    pub changes: usize,
    /// What random choices came from.
    pub seed: u64,
    /// Whether every node read the platform for itself.
    pub naive: bool,
    /// From publication until in force, over all nodes and changes.
    pub convergence_ms: SummaryMs,
    /// From publication until in force on the last node, over changes.
    pub everywhere_ms: SummaryMs,
    /// Bytes that a node's control sockets read and wrote for one change,
    /// beyond those of an idle fleet.
    pub control_bytes_per_node_per_change: f64,
    /// The same in messages.
    pub messages_per_node_per_change: f64,
    /// Bytes that an idle node's control sockets read and write a second.
    pub idle_control_bytes_per_node_per_s: f64,
    /// The same in messages.
    pub idle_messages_per_node_per_s: f64,
    /// Reads of the platform while changes were published.
    pub source_reads: u64,
    /// Reads of the platform by the idle fleet, a second.
    pub idle_source_reads_per_s: f64,
    /// Reads for one change beyond those of an idle fleet.
    pub source_reads_per_change: f64,
    /// The most reads within one second, the start not counted.
    pub source_reads_peak_per_s: u64,
    /// The most reads within one second while the fleet started.
    pub start_reads_peak_per_s: u64,
    /// Times that a node put an older version in force.
    pub steps_back: usize,
    /// Snapshots that weren't the whole version or had dangling references.
    pub partial: usize,
    /// Processor time of a node for one change beyond that of an idle one.
    pub cpu_us_per_node_per_change: f64,
    /// Processor time of an idle node in microseconds a second.
    pub idle_cpu_us_per_node_per_s: f64,
    /// Resident memory that one more node took.
    pub rss_bytes_per_node: f64,
}
