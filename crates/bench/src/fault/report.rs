//! What a run reports.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::summary::SummaryMs;

/// Figures of all cases of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Nodes that ran in each case.
    pub nodes: usize,
    /// What random choices came from.
    pub seed: u64,
    /// Violations over all cases.
    pub violations: usize,
    /// The cases.
    pub cases: Vec<CaseReport>,
}

/// Figures of one case.
#[derive(Debug, Clone, Serialize)]
pub struct CaseReport {
    /// The case's name.
    pub case: &'static str,
    /// Violations that the history checker found.
    pub violations: usize,
    /// How many of each promise, if any.
    pub broken: BTreeMap<String, usize>,
    /// Some of them in words.
    pub examples: Vec<String>,
    /// From when a version was published, or the node or the source came
    /// back, until it was in force; over nodes and versions.
    pub convergence_ms: SummaryMs,
    /// The most reads of the platform within one second.
    pub source_reads_peak_per_s: u64,
    /// All reads of the platform.
    pub source_reads: u64,
    /// Snapshots that were seen to come into force.
    pub applied: usize,
    /// How long the case took in seconds.
    pub seconds: f64,
}
