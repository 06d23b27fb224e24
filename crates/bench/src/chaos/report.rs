//! Report of a run.

use std::collections::BTreeMap;

use sassafrasspool_core::history::Violation;
use serde::Serialize;

use crate::load::Verdict;
use crate::summary::SummaryMs;

/// The report of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the verb.
    pub verb: &'static str,
    /// Number of instances.
    pub nodes: usize,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Seed of the random calls and faults.
    pub seed: u64,
    /// Whether callers used the naive proxy.
    pub naive: bool,
    /// The scripted faults, with milliseconds from the start of the calls.
    pub faults: Vec<String>,
    /// Outcomes of the calls.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Number of attempts without an answer of the target, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Number of violations by guarantee, as found by the history checker.
    pub violations: BTreeMap<&'static str, u64>,
    /// The first violations as text.
    pub first_violations: Vec<String>,
    /// The first attempts that were lost or cut, as text.
    pub first_faults: Vec<String>,
    /// Latency of answered attempts.
    pub latency_ms: SummaryMs,
    /// Delay between the planned and the actual start of calls.
    pub release_late_ms: SummaryMs,
    /// When the first call was sent, in microseconds since the Unix epoch.
    pub began_us: u64,
    /// Calls that were not made because too many were in flight.
    pub dropped: u64,
    /// Directory of the nodes' logs, if they were kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub logs: Option<String>,
}

/// Counts violations by the names of their guarantees.
pub fn count_by_guarantee(violations: &[Violation]) -> BTreeMap<&'static str, u64> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.guarantee().as_str()).or_default() += 1;
    }
    counts
}
