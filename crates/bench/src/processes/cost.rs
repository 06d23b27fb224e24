//! Report of a run.

use serde::Serialize;

/// Costs of one node's process, as means over all processes.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ProcessCost {
    /// Number of node processes.
    pub nodes: usize,
    /// Services in the catalogue.
    pub services: usize,
    /// Endpoints in the list.
    pub endpoints: usize,
    /// Resident memory in bytes, with the mapped program file.
    pub rss_bytes: f64,
    /// Anonymous resident memory in bytes.
    pub own_bytes: f64,
    /// Largest resident memory of a process, in bytes.
    pub rss_bytes_max: u64,
    /// Processor time of an idle process, in microseconds per second.
    pub idle_cpu_us_per_s: f64,
    /// Additional processor time per change, in microseconds.
    pub cpu_us_per_change: f64,
    /// Control traffic of an idle process, in bytes per second.
    pub idle_control_bytes_per_s: f64,
    /// Additional control traffic per change, in bytes.
    pub control_bytes_per_change: f64,
}
