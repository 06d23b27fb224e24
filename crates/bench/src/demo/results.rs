//! Collects the results of a demo and checks its guarantees.

use std::collections::BTreeMap;
use std::time::Duration;

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Result;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Violation;
use sassafrasspool_core::history::check;
use sassafrasspool_standin::platform::PlatformStats;
use serde::Deserialize;

use self::control_cost::ControlCost;
use super::fleet::Fleet;
use crate::chaos::events;
use crate::load;
use crate::load::CallRecord;
use crate::load::OpenLoop;
use crate::load::Verdict;

pub(super) mod control_cost;
#[cfg(test)]
mod tests;

/// How long after its drain began a target may still start new work, and how long
/// a version may take until it is in force.
const BOUNDS: Bounds = Bounds {
    leaving: Duration::from_secs(2),
    in_force: Duration::from_secs(11),
};

/// Most faulty attempts that the report shows.
const MAX_FAULTS_SHOWN: usize = 5;

/// The results from callers, targets, nodes and the platform.
#[derive(Debug)]
pub(super) struct DemoResults {
    /// Counts of the requests' outcomes.
    pub(super) verdict: Verdict,
    /// Violated guarantees.
    pub(super) violations: Vec<Violation>,
    /// How often requests were refused or had an unknown outcome, by reason.
    pub(super) reasons: BTreeMap<String, u64>,
    /// Some of the faulty attempts, as text.
    pub(super) faults: Vec<String>,
    /// Control traffic of the nodes.
    pub(super) control: ControlCost,
    /// Reads that the platform received.
    pub(super) platform: PlatformStats,
    /// Number of nodes that were drained.
    pub(super) stops: usize,
}

impl DemoResults {
    /// Takes the nodes' statuses, drains the nodes, reads the ledgers and checks
    /// the guarantees.
    ///
    /// # Errors
    ///
    /// Fails if a node doesn't stop in time or a ledger can't be read.
    pub(super) async fn gather(fleet: &mut Fleet, load: OpenLoop) -> Result<DemoResults> {
        let control = ControlCost::new(&fleet.poller.statuses());
        let platform = fleet.publisher.stats().await?;
        fleet.drain_all().await?;
        let runs = fleet.ledger_runs().await?;
        let (_, outages) = fleet.log.history_and_outages();
        let joined = load::JoinedRecords::new(&load.records, &runs, &outages);
        let names = fleet.members.iter().map(|member| member.id().clone());
        let names: Vec<InstanceId> = names.collect();
        let is_explained = |record: &CallRecord| joined.is_explained_by_outage(record);
        let records = &load.records;
        let history = events::build_history(
            &fleet.log,
            records,
            &runs,
            &names,
            &fleet.stops,
            is_explained,
        );
        let faults = joined.faults().take(MAX_FAULTS_SHOWN);
        Ok(DemoResults {
            verdict: joined.verdict(),
            violations: check(&history, &BOUNDS),
            reasons: reasons(records),
            faults: faults.map(|record| format!("{record:?}")).collect(),
            control,
            platform,
            stops: fleet.stops.len(),
        })
    }

    /// Whether all guarantees held.
    pub(super) fn passed(&self) -> bool {
        self.violations.is_empty() && !self.verdict.has_fault()
    }
}

/// The fields of a node's refusal that are counted.
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
