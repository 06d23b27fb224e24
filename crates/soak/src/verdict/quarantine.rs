//! Checks that a request that crashes targets was quarantined, and no other request.

use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_core::CRASHES_TO_QUARANTINE;
use sassafrasspool_core::Reason;
use sassafrasspool_standin::target::RunEnd;
use serde::Serialize;

use super::count;
use crate::callers::CRASHING_PATH;

/// How long the reports of crashes may take to reach every node, in microseconds. Counts
/// from the third crash on, and for an impaired node from the end of its impairment.
const MAX_REPORT_SPREAD_US: u64 = 3_000_000;

/// How often the request may be handed to a target after that.
const MAX_LATE_RUNS: u64 = 3;

/// A span in which a fault impaired an instance, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Impairment {
    /// The number of the instance.
    pub instance: usize,
    /// When it began.
    pub from_us: u64,
    /// When it ended.
    pub to_us: u64,
}

/// The verdict on the quarantine of a request that crashes targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct QuarantineVerdict {
    /// Crashes of targets that ran the request.
    pub crashes: u64,
    /// How often a node that wasn't impaired handed the request to a target too late.
    #[serde(rename = "crashing_later")]
    pub late_runs: u64,
    /// Other requests that were refused as quarantined.
    #[serde(rename = "harmless_refused")]
    pub wrongly_refused: u64,
}

impl QuarantineVerdict {
    /// Judges the requests that targets ran and the records of other requests.
    pub fn judge(
        records: &[CallRecord],
        runs: &[LedgerRun],
        impairments: &[Impairment],
    ) -> QuarantineVerdict {
        let mut crashes: Vec<u64> = crashed_runs(runs).map(|(at_us, _)| at_us).collect();
        crashes.sort_unstable();
        let reported_us = crashes
            .get(CRASHES_TO_QUARANTINE - 1)
            .map(|third| third + MAX_REPORT_SPREAD_US);
        let is_late = |run: &&LedgerRun| {
            let at_us = run.run.started_us;
            let was_impaired = |impairment: &Impairment| {
                let until_us = impairment.to_us.saturating_add(MAX_REPORT_SPREAD_US);
                impairment.instance == run.instance
                    && impairment.from_us <= at_us
                    && at_us < until_us
            };
            reported_us.is_some_and(|reported_us| at_us > reported_us)
                && !impairments.iter().any(was_impaired)
        };
        let crashing_requests = runs.iter().filter(is_crashing_request);
        let refused = |record: &&CallRecord| record.detail.contains(Reason::Quarantined.as_str());
        QuarantineVerdict {
            crashes: count(crashes.len()),
            late_runs: count(crashing_requests.filter(is_late).count()),
            wrongly_refused: count(records.iter().filter(refused).count()),
        }
    }

    /// Whether the request was quarantined in time, and no other request was.
    pub fn has_passed(&self) -> bool {
        self.late_runs <= MAX_LATE_RUNS && self.wrongly_refused == 0
    }
}

/// The crashes that such a request caused: the time, in microseconds since the Unix epoch,
/// and the run that caused it.
pub fn crashed_runs(runs: &[LedgerRun]) -> impl Iterator<Item = (u64, &LedgerRun)> {
    let crashed = |run: &&LedgerRun| run.run.end == RunEnd::Crashed;
    let crashing_requests = runs.iter().filter(is_crashing_request).filter(crashed);
    crashing_requests.filter_map(|run| Some((run.run.ended_us?, run)))
}

fn is_crashing_request(run: &&LedgerRun) -> bool {
    run.run.path == CRASHING_PATH
}
