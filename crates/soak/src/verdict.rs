//! What the judges say of a run, and what is printed of it.

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

/// How many broken promises the report tells in words.
const TOLD: usize = 10;

/// What was seen in a run.
#[derive(Debug)]
pub struct Seen<'a> {
    /// What was done and what nodes had in force.
    pub log: &'a Log,
    /// What callers saw.
    pub records: &'a [CallRecord],
    /// What callers saw that leave or send several requests at once.
    pub rude: Rude,
    /// What targets ran.
    pub runs: &'a [LedgerRun],
    /// The instances in the order of their numbers.
    pub names: &'a [InstanceId],
    /// The planned stops.
    pub stops: &'a [Stopped],
    /// When nodes were kept from following.
    pub hurt: &'a [Hurt],
    /// When nodes' processes were killed.
    pub kills: &'a [Stopped],
    /// When nodes, their targets or the links between them stood still.
    pub stalled: &'a [Hurt],
    /// The failure domains of the instances, in the order of their numbers.
    pub domains: &'a [&'a str],
    /// The catalogues that bind.
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

/// What is printed of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Draws the same schedule and calls again.
    pub seed: u64,
    /// Instances.
    pub nodes: usize,
    /// How long calls were made, in seconds.
    pub seconds: u64,
    /// Whether every promise was kept.
    pub kept: bool,
    /// What became of the calls.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// What callers saw that leave or send several requests at once.
    #[serde(flatten)]
    pub rude: Rude,
    /// What became of a request that crashes targets.
    #[serde(flatten)]
    pub crashing: Crashing,
    /// What became of evacuations.
    #[serde(flatten)]
    pub evacuated: Evacuated,
    /// What became of targets that turned cold.
    #[serde(flatten)]
    pub cold: ColdReturns,
    /// Broken promises of the history by their names.
    pub violations: BTreeMap<&'static str, u64>,
    /// The first broken promises in words, with the ids of the requests.
    pub told: Vec<String>,
    /// What was done, with milliseconds from the start of the calls.
    pub schedule: Vec<String>,
    /// Where settings, logs and records lie, if they were kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kept_in: Option<String>,
}

impl Report {
    /// Judges what was seen.
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

/// A number of things as reports have it.
fn count(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}
