//! Counts of what became of the calls.

use std::collections::BTreeMap;

use serde::Serialize;

/// The counts of a run. Every attempt is in exactly one of `answered`,
/// `refused_not_run`, `unknown`, `failed`, `lost`, `cut` and `not_sent`.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Attempts that callers made.
    pub sent: u64,
    /// Attempts that got their own whole answer.
    pub answered: u64,
    /// Attempts refused as not run.
    pub refused_not_run: u64,
    /// Attempts whose caller was told, or could see by the death of the
    /// process that it spoke to, that nobody knows.
    pub unknown: u64,
    /// Of those, the ones that no answer told: the process that was asked, or
    /// that ran the request, was killed or stood still.
    pub unknown_by_death: u64,
    /// Attempts answered with a failure and without an outcome.
    pub failed: u64,
    /// Attempts that never got any answer though nothing on their way was
    /// hurt, or got an answer though no target ran them.
    pub lost: u64,
    /// Attempts whose answer was short or another's, or broke off though
    /// nothing on their way was hurt.
    pub cut: u64,
    /// Attempts that no node took a connection for.
    pub not_sent: u64,
    /// Requests that may not be repeated and began more than once.
    pub doubled: u64,
    /// Attempts refused as not run that a target began to run.
    pub false_refusals: u64,
    /// Attempts refused as not run though an earlier attempt of their call
    /// had begun, and whose caller may take the refusal for the whole call.
    pub refused_after_run: u64,
    /// The weight of the calls answered over the weight of all calls made.
    pub served_weighted: f64,
    /// The same by kind, with the counts of calls.
    pub served_weighted_by_kind: BTreeMap<&'static str, KindCount>,
}

/// The calls of one kind, attempts of one call counted once.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct KindCount {
    /// How much one answered call counts.
    pub weight: u32,
    /// Calls made.
    pub calls: u64,
    /// Calls answered in one of their attempts.
    pub answered: u64,
    /// The weight of those.
    pub served: u64,
}

impl Verdict {
    /// Whether any request was lost, cut, doubled or falsely refused.
    pub fn has_fault(&self) -> bool {
        self.lost + self.cut + self.doubled + self.false_refusals > 0
    }
}
