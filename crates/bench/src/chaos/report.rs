//! What a run prints.

use std::collections::BTreeMap;

use sassafrasspool_core::history::Violation;
use serde::Serialize;

use crate::load::Verdict;
use crate::summary::SummaryMs;

/// The report of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The verb.
    pub verb: &'static str,
    /// Instances.
    pub nodes: usize,
    /// How long calls were made, in seconds.
    pub seconds: f64,
    /// The seed.
    pub seed: u64,
    /// Whether callers used the naive version.
    pub naive: bool,
    /// What was done, with milliseconds from the start of the calls.
    pub faults: Vec<String>,
    /// What became of the calls.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Attempts that weren't answered, by what their answers gave as reason.
    pub reasons: BTreeMap<String, u64>,
    /// Violations by promise, as the history checker found them.
    pub violations: BTreeMap<&'static str, u64>,
    /// The first violations, for a person.
    pub first_violations: Vec<String>,
    /// The first attempts that were lost or cut, for a person.
    pub first_faults: Vec<String>,
    /// Latency of answered attempts.
    pub latency_ms: SummaryMs,
    /// By how much calls were released late.
    pub release_late_ms: SummaryMs,
    /// When the calls began, in microseconds since the Unix epoch.
    pub began_us: u64,
    /// Calls that were never made since too many were under way.
    pub dropped: u64,
    /// Where the nodes' logs are, if they were kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub logs: Option<String>,
}

/// Violations counted by the names of their promises.
pub fn by_promise(violations: &[Violation]) -> BTreeMap<&'static str, u64> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.guarantee().as_str()).or_default() += 1;
    }
    counts
}
