//! Report of a run.

use serde::Serialize;

use crate::summary::SummaryMs;

/// Figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Number of running nodes.
    pub nodes: usize,
    /// Services in the catalogue.
    pub services: usize,
    /// Endpoints in the list.
    pub endpoints: usize,
    /// Number of published changes.
    pub changes: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether every node read the platform itself.
    pub naive: bool,
    /// Time from publication until in force, over all nodes and changes.
    pub convergence_ms: SummaryMs,
    /// Time from publication until in force on the last node, over changes.
    pub everywhere_ms: SummaryMs,
    /// Bytes that a node's control sockets read and wrote per change, beyond
    /// those of an idle fleet.
    pub control_bytes_per_node_per_change: f64,
    /// Messages that a node sent and received per change, beyond those of an
    /// idle fleet.
    pub messages_per_node_per_change: f64,
    /// Bytes that an idle node's control sockets read and write per second.
    pub idle_control_bytes_per_node_per_s: f64,
    /// Messages that an idle node sends and receives per second.
    pub idle_messages_per_node_per_s: f64,
    /// Platform reads while changes were published.
    pub source_reads: u64,
    /// Platform reads per second of the whole idle fleet.
    pub idle_source_reads_per_s: f64,
    /// Platform reads per change, beyond those of an idle fleet.
    pub source_reads_per_change: f64,
    /// Largest number of platform reads within one second while changes were
    /// published.
    pub source_reads_peak_per_s: u64,
    /// Largest number of platform reads within one second during the start.
    pub start_reads_peak_per_s: u64,
    /// Number of times that a node put an older version in force.
    pub steps_back: usize,
    /// Number of snapshots that weren't the whole version or had dangling
    /// references.
    pub partial: usize,
    /// Processor time of a node per change beyond that of an idle node, in
    /// microseconds.
    pub cpu_us_per_node_per_change: f64,
    /// Processor time of an idle node, in microseconds per second.
    pub idle_cpu_us_per_node_per_s: f64,
    /// Growth of this process's resident memory per node, in bytes.
    pub rss_bytes_per_node: f64,
}
