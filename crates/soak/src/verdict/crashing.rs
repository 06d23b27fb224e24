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
const TOLD_WITHIN_US: u64 = 3_000_000;

/// How often the request may be handed to a target after that.
const MOST_LATER: u64 = 3;

/// A span in which a fault impaired an instance, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hurt {
    /// The number of the instance.
    pub instance: usize,
    /// When it began.
    pub from_us: u64,
    /// When it ended.
    pub to_us: u64,
}

/// The verdict on the quarantine of a request that crashes targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Crashing {
    /// Crashes of targets that ran the request.
    pub crashes: u64,
    /// How often a node that wasn't impaired handed the request to a target too late.
    pub crashing_later: u64,
    /// Other requests that were refused as quarantined.
    pub harmless_refused: u64,
}

impl Crashing {
    /// Judges the requests that targets ran and the records of other requests.
    pub fn judge(records: &[CallRecord], runs: &[LedgerRun], hurt: &[Hurt]) -> Crashing {
        let mut crashes: Vec<u64> = crashes(runs).map(|(at_us, _)| at_us).collect();
        crashes.sort_unstable();
        let told_us = crashes
            .get(CRASHES_TO_QUARANTINE - 1)
            .map(|third| third + TOLD_WITHIN_US);
        let is_late = |run: &&LedgerRun| {
            let at_us = run.run.started_us;
            let lately = |hurt: &Hurt| {
                let until_us = hurt.to_us.saturating_add(TOLD_WITHIN_US);
                hurt.instance == run.instance && hurt.from_us <= at_us && at_us < until_us
            };
            told_us.is_some_and(|told_us| at_us > told_us) && !hurt.iter().any(lately)
        };
        let of_it = runs.iter().filter(is_of_it);
        let refused = |record: &&CallRecord| record.detail.contains(Reason::Quarantined.as_str());
        Crashing {
            crashes: count(crashes.len()),
            crashing_later: count(of_it.filter(is_late).count()),
            harmless_refused: count(records.iter().filter(refused).count()),
        }
    }

    /// Whether the request was quarantined in time, and no other request was.
    pub fn is_kept(&self) -> bool {
        self.crashing_later <= MOST_LATER && self.harmless_refused == 0
    }
}

/// The crashes that such a request caused: the time, in microseconds since the Unix epoch,
/// and the run that caused it.
pub fn crashes(runs: &[LedgerRun]) -> impl Iterator<Item = (u64, &LedgerRun)> {
    let crashed = |run: &&LedgerRun| run.run.end == RunEnd::Crashed;
    let of_it = runs.iter().filter(is_of_it).filter(crashed);
    of_it.filter_map(|run| Some((run.run.ended_us?, run)))
}

fn is_of_it(run: &&LedgerRun) -> bool {
    run.run.path == CRASHING_PATH
}
