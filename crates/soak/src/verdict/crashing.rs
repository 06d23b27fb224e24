//! Whether a request that crashes targets was kept from them, and no other.

use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_core::CRASHES_TO_QUARANTINE;
use sassafrasspool_core::Reason;
use sassafrasspool_standin::target::RunEnd;
use serde::Serialize;

use super::count;
use crate::callers::CRASHING_PATH;

/// How long nodes have to tell one another of it, in microseconds, from the third crash on
/// and from when a node that was hurt is whole again.
const TOLD_WITHIN_US: u64 = 3_000_000;

/// How often it may be handed to a target after that.
const MOST_LATER: u64 = 3;

/// When something kept a node from following, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hurt {
    /// Which instance's.
    pub instance: usize,
    /// When it began.
    pub from_us: u64,
    /// When it ended.
    pub to_us: u64,
}

/// What became of such a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Crashing {
    /// Targets that crashed under it.
    pub crashes: u64,
    /// How often it was handed to a target too late, by a node that was well.
    pub crashing_later: u64,
    /// Other requests that were refused for it.
    pub harmless_refused: u64,
}

impl Crashing {
    /// Judges what targets ran and what callers of other requests saw.
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

    /// Whether it was kept from targets in time, and nothing else was.
    pub fn is_kept(&self) -> bool {
        self.crashing_later <= MOST_LATER && self.harmless_refused == 0
    }
}

/// The crashes under such a request: when, in microseconds since the Unix epoch, and the
/// run that brought each about.
pub fn crashes(runs: &[LedgerRun]) -> impl Iterator<Item = (u64, &LedgerRun)> {
    let crashed = |run: &&LedgerRun| run.run.end == RunEnd::Crashed;
    let of_it = runs.iter().filter(is_of_it).filter(crashed);
    of_it.filter_map(|run| Some((run.run.ended_us?, run)))
}

fn is_of_it(run: &&LedgerRun) -> bool {
    run.run.path == CRASHING_PATH
}
