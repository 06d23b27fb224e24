//! Report of a run.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::summary::SummaryMs;

/// Figures of all cases of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Number of running nodes in each case.
    pub nodes: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of violations over all cases.
    pub violations: usize,
    /// Figures by case.
    pub cases: Vec<CaseReport>,
}

/// Figures of one case.
#[derive(Debug, Clone, Serialize)]
pub struct CaseReport {
    /// The case's name.
    pub case: &'static str,
    /// Number of violations that the history checker found.
    pub violations: usize,
    /// Number of violations by guarantee.
    pub broken: BTreeMap<String, usize>,
    /// The first violations as text.
    pub examples: Vec<String>,
    /// Time until a version was in force, over nodes and versions. It is
    /// measured from the publication or, if that was later, from the return of
    /// the node or of the source.
    pub convergence_ms: SummaryMs,
    /// Largest number of platform reads within one second.
    pub source_reads_peak_per_s: u64,
    /// Number of platform reads.
    pub source_reads: u64,
    /// Number of observed changes of the snapshot in force.
    pub applied: usize,
    /// Duration of the case, in seconds.
    pub seconds: f64,
}
