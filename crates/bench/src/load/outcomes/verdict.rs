//! Counts of the calls' outcomes.

use std::collections::BTreeMap;

use serde::Serialize;

/// The counts of a run. Every attempt is in exactly one of `answered`,
/// `refused_not_run`, `unknown`, `failed`, `lost`, `cut` and `not_sent`.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Attempts that callers made.
    pub sent: u64,
    /// Attempts that got their own complete answer, from a run that finished.
    pub answered: u64,
    /// Attempts refused as not run.
    pub refused_not_run: u64,
    /// Attempts of which it is unknown whether they ran, either by the outcome in
    /// their answer or because of an outage.
    pub unknown: u64,
    /// Of those, attempts without a complete answer that an outage explains: the
    /// node that they were sent to, or the instance that ran them, had failed.
    #[serde(rename = "unknown_by_death")]
    pub unknown_by_outage: u64,
    /// Attempts answered with an error status and without an outcome.
    pub failed: u64,
    /// Attempts that got no answer though no outage explains it, or that got an
    /// answer though no target finished a run of them.
    pub lost: u64,
    /// Attempts whose answer was too short, belonged to another request or broke
    /// off though no outage explains it.
    pub cut: u64,
    /// Attempts for which no node accepted a connection.
    pub not_sent: u64,
    /// Requests that aren't idempotent and began more than once.
    pub doubled: u64,
    /// Attempts refused as not run though a target began to run them.
    pub false_refusals: u64,
    /// Attempts refused as not run though another attempt of their call had begun
    /// to run. The caller may take such a refusal as one of the whole call.
    pub refused_after_run: u64,
    /// Weight of the answered calls divided by the weight of all calls.
    pub served_weighted: f64,
    /// Counts and served weight of calls by kind.
    pub served_weighted_by_kind: BTreeMap<&'static str, KindCount>,
}

/// The calls of one kind. Attempts of one call count as one.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct KindCount {
    /// Weight of one answered call.
    pub weight: u32,
    /// Calls made.
    pub calls: u64,
    /// Calls of which an attempt was answered.
    pub answered: u64,
    /// Total weight of the answered calls.
    pub served: u64,
}

impl Verdict {
    /// Whether any request was lost, cut, doubled or falsely refused.
    pub fn has_fault(&self) -> bool {
        self.lost + self.cut + self.doubled + self.false_refusals > 0
    }
}
