//! What is left of a demo to be judged.

use std::collections::BTreeMap;
use std::time::Duration;

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Result;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Violation;
use sassafrasspool_core::history::check;
use sassafrasspool_standin::platform::PlatformStats;
use serde::Deserialize;

use self::control::Control;
use super::fleet::Fleet;
use crate::chaos::events;
use crate::load;
use crate::load::CallRecord;
use crate::load::OpenLoop;
use crate::load::Verdict;

pub(super) mod control;
#[cfg(test)]
mod tests;

/// How long after it began to leave a target may start new work, and how long
/// a version may take.
const BOUNDS: Bounds = Bounds {
    leaving: Duration::from_secs(2),
    in_force: Duration::from_secs(11),
};

/// How many faults are told in words.
const TOLD: usize = 5;

/// What callers, targets, nodes and the platform say in the end.
#[derive(Debug)]
pub(super) struct Evidence {
    /// What became of the requests.
    pub(super) verdict: Verdict,
    /// Promises that were broken.
    pub(super) violations: Vec<Violation>,
    /// Why requests were refused or their outcome was unknown, and how often.
    pub(super) reasons: BTreeMap<String, u64>,
    /// Some of the attempts that went wrong, in words.
    pub(super) faults: Vec<String>,
    /// What keeping the nodes current cost.
    pub(super) control: Control,
    /// What the platform was asked.
    pub(super) platform: PlatformStats,
    /// Planned stops.
    pub(super) stops: usize,
}

impl Evidence {
    /// Takes what the nodes say, stops them as planned, reads the ledgers and
    /// judges.
    ///
    /// # Errors
    ///
    /// Fails if a node doesn't stop in time or a ledger can't be read.
    pub(super) async fn gather(fleet: &mut Fleet, load: OpenLoop) -> Result<Evidence> {
        let control = Control::of(&fleet.watch.now());
        let platform = fleet.publisher.stats().await?;
        fleet.stop().await?;
        let runs = fleet.runs().await?;
        let (_, outages) = fleet.log.copy();
        let joined = load::Evidence::new(&load.records, &runs, &outages);
        let names = fleet.members.iter().map(|member| member.id().clone());
        let names: Vec<InstanceId> = names.collect();
        let excused = |record: &CallRecord| joined.is_excused(record);
        let records = &load.records;
        let history = events::history(&fleet.log, records, &runs, &names, &fleet.stops, excused);
        let faults = joined.faults().take(TOLD);
        Ok(Evidence {
            verdict: joined.verdict(),
            violations: check(&history, &BOUNDS),
            reasons: reasons(records),
            faults: faults.map(|record| format!("{record:?}")).collect(),
            control,
            platform,
            stops: fleet.stops.len(),
        })
    }

    /// Whether every promise held.
    pub(super) fn held(&self) -> bool {
        self.violations.is_empty() && !self.verdict.has_fault()
    }
}

/// The body of an answer that no target gave, in part.
#[derive(Debug, Deserialize)]
struct RefusalBody {
    outcome: String,
    reason: String,
}

fn reasons(records: &[CallRecord]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for record in records {
        let body: serde_json::Result<RefusalBody> = serde_json::from_str(&record.detail);
        if let Ok(RefusalBody { outcome, reason }) = body {
            *counts.entry(format!("{outcome}: {reason}")).or_default() += 1;
        }
    }
    counts
}
