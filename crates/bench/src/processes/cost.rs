//! What is reported.

use serde::Serialize;

/// Costs of one node's process: means over all processes.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ProcessCost {
    /// Processes.
    pub nodes: usize,
    /// Services in the catalogue.
    pub services: usize,
    /// Endpoints in the list.
    pub endpoints: usize,
    /// Resident memory in bytes, the program's file included.
    pub rss_bytes: f64,
    /// Resident memory in bytes that is no file's.
    pub own_bytes: f64,
    /// The largest resident memory of a process.
    pub rss_bytes_max: u64,
    /// Processor time of an idle process in microseconds a second.
    pub idle_cpu_us_per_s: f64,
    /// Processor time for one change beyond that.
    pub cpu_us_per_change: f64,
    /// Control bytes of an idle process a second.
    pub idle_control_bytes_per_s: f64,
    /// Control bytes for one change beyond that.
    pub control_bytes_per_change: f64,
}
