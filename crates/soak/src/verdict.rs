//! Judges a run and builds its report.

use std::collections::BTreeMap;

use sassafrasspool_bench::chaos::by_promise;
use sassafrasspool_bench::chaos::events;
use sassafrasspool_bench::chaos::events::Stopped;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::Evidence;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_bench::load::Verdict;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::check;
use serde::Serialize;

use crate::callers::Rude;
use crate::options::Options;
use crate::schedule::Schedule;

pub use self::cold::ColdReturns;
pub use self::crashing::Crashing;
pub use self::crashing::Hurt;
pub use self::crashing::crashes;
pub use self::evacuated::Evacuated;
pub use self::evacuated::Evacuee;
pub use self::evacuated::PublishedCatalogue;
pub use self::facts::Facts;

mod cold;
mod crashing;
mod evacuated;
mod facts;
#[cfg(test)]
mod tests;
mod window;

/// The most violations that the report describes in full.
const TOLD: usize = 10;

/// The observations of a run, from which it is judged.
#[derive(Debug)]
pub struct Seen<'a> {
    /// The events of the run and the versions that nodes had in force.
    pub log: &'a Log,
    /// The call records of the callers.
    pub records: &'a [CallRecord],
    /// The counts of abandoned and pipelined requests.
    pub rude: Rude,
    /// The requests that targets ran.
    pub runs: &'a [LedgerRun],
    /// The ids of the instances in the order of their numbers.
    pub names: &'a [InstanceId],
    /// The planned stops of nodes.
    pub stops: &'a [Stopped],
    /// When faults kept nodes from receiving new versions.
    pub hurt: &'a [Hurt],
    /// When node processes were killed.
    pub kills: &'a [Stopped],
    /// When nodes, their targets or the links between them were stalled.
    pub stalled: &'a [Hurt],
    /// The failure domains of the instances, in the order of their numbers.
    pub domains: &'a [&'a str],
    /// The valid catalogues that were published.
    pub catalogues: &'a [PublishedCatalogue],
}

impl Seen<'_> {
    fn evacuees(&self) -> impl Iterator<Item = Evacuee<'_>> {
        let instances = self.names.iter().zip(self.domains).enumerate();
        instances.map(|(instance, (id, domain))| Evacuee {
            instance,
            id,
            domain,
        })
    }
}

/// The printed report of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed, which draws the same schedule and calls again.
    pub seed: u64,
    /// The number of instances.
    pub nodes: usize,
    /// How long calls were made, in seconds.
    pub seconds: u64,
    /// Whether no guarantee was violated.
    pub kept: bool,
    /// The outcomes of the calls.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The counts of abandoned and pipelined requests.
    #[serde(flatten)]
    pub rude: Rude,
    /// The verdict on the quarantine of the request that crashes targets.
    #[serde(flatten)]
    pub crashing: Crashing,
    /// The verdict on evacuations.
    #[serde(flatten)]
    pub evacuated: Evacuated,
    /// The verdict on targets that were cold after an evacuation.
    #[serde(flatten)]
    pub cold: ColdReturns,
    /// The number of violations in the history, by guarantee.
    pub violations: BTreeMap<&'static str, u64>,
    /// The first violations in words, with the ids of the requests.
    pub told: Vec<String>,
    /// The steps of the schedule, in milliseconds from the start of the calls.
    pub schedule: Vec<String>,
    /// The directory with settings, logs and records, if they were kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kept_in: Option<String>,
}

impl Report {
    /// Judges the observations of a run.
    pub fn judge(opts: Options, schedule: &Schedule, seen: &Seen<'_>, bounds: &Bounds) -> Report {
        let (observed, outages) = seen.log.copy();
        let evidence = Evidence::new(seen.records, seen.runs, &outages);
        let excused = |record: &CallRecord| evidence.is_excused(record);
        let history = events::history(
            seen.log,
            seen.records,
            seen.runs,
            seen.names,
            seen.stops,
            excused,
        );
        let found = check(&history, bounds);
        let faults = evidence.faults().map(|record| format!("{record:?}"));
        let told = faults.chain(found.iter().map(ToString::to_string));
        let verdict = evidence.verdict();
        let crashing = Crashing::judge(seen.records, seen.runs, seen.hurt);
        let ends = [seen.kills, seen.stops].concat();
        let facts = Facts::new(seen.catalogues, &observed, seen.runs, &ends, seen.stalled);
        let evacuated = Evacuated::judge(seen.evacuees(), &facts);
        let cold = ColdReturns::judge(seen.evacuees(), &facts);
        let kept = !verdict.has_fault()
            && found.is_empty()
            && crashing.is_kept()
            && evacuated.is_kept()
            && cold.is_kept();
        Report {
            seed: opts.seed,
            nodes: opts.nodes,
            seconds: opts.length.as_secs(),
            kept: kept && seen.rude.out_of_order == 0,
            verdict,
            rude: seen.rude,
            crashing,
            evacuated,
            cold,
            violations: by_promise(&found),
            told: told.take(TOLD).collect(),
            schedule: schedule.steps.iter().map(ToString::to_string).collect(),
            kept_in: None,
        }
    }
}

/// Converts a count to the type of the report fields.
fn count(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}
