//! Judges a run and builds its report.

use std::collections::BTreeMap;

use sassafrasspool_bench::chaos::count_by_guarantee;
use sassafrasspool_bench::chaos::events;
use sassafrasspool_bench::chaos::events::NodeStop;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::JoinedRecords;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_bench::load::Verdict;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::check;
use serde::Serialize;

use crate::callers::IrregularCallStats;
use crate::options::Options;
use crate::schedule::Schedule;

pub use self::cold_start::ColdStartVerdict;
pub use self::evacuation::EvacuationVerdict;
pub use self::evacuation::JudgedInstance;
pub use self::evacuation::PublishedCatalogue;
pub use self::quarantine::Impairment;
pub use self::quarantine::QuarantineVerdict;
pub use self::quarantine::crashed_runs;
pub use self::starvation::FaultSpan;
pub use self::starvation::StarvationVerdict;
pub use self::statement::STATED_LIMIT_PER_S;
pub use self::statement::StatedSpan;
pub use self::statement::Statement;
pub use self::statement::StatementVerdict;
pub use self::timeline::Timeline;

mod cold_start;
mod evacuation;
mod quarantine;
mod starvation;
mod statement;
#[cfg(test)]
mod tests;
mod timeline;
mod window;

/// The most violations that the report describes in full.
const MAX_DESCRIBED_VIOLATIONS: usize = 10;

/// The memory that a node may not have resident, in KiB: 128 MB, the limit of its process.
const MAX_NODE_KIB: u64 = 128_000_000 / 1_024;

/// The observations of a run, from which it is judged.
#[derive(Debug)]
pub struct RunObservations<'a> {
    /// The events of the run and the versions that nodes had in force.
    pub log: &'a Log,
    /// The call records of the callers.
    pub records: &'a [CallRecord],
    /// The counts of abandoned and pipelined requests.
    pub irregular: IrregularCallStats,
    /// The requests that targets ran.
    pub runs: &'a [LedgerRun],
    /// The ids of the instances in the order of their numbers.
    pub ids: &'a [InstanceId],
    /// The planned stops of nodes.
    pub stops: &'a [NodeStop],
    /// When faults kept nodes from receiving new versions.
    pub impairments: &'a [Impairment],
    /// When node processes were killed.
    pub kills: &'a [NodeStop],
    /// When nodes, their targets or the links between them were stalled.
    pub stalls: &'a [Impairment],
    /// The failure domains of the instances, in the order of their numbers.
    pub domains: &'a [&'a str],
    /// The valid catalogues that were published.
    pub catalogues: &'a [PublishedCatalogue],
    /// When targets stated something about themselves.
    pub stated: &'a [StatedSpan],
    /// When faults were injected and requests crashed targets.
    pub faults: &'a [FaultSpan],
    /// When a process waited for a processor for more than half of the time.
    pub processor_waits_us: &'a [(u64, u64)],
    /// The most memory that a node process had resident, in KiB.
    pub node_peak_kib: u64,
}

impl RunObservations<'_> {
    fn instances(&self) -> impl Iterator<Item = JudgedInstance<'_>> {
        let instances = self.ids.iter().zip(self.domains).enumerate();
        instances.map(|(number, (id, domain))| JudgedInstance { number, id, domain })
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
    #[serde(rename = "kept")]
    pub passed: bool,
    /// The outcomes of the calls.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The counts of abandoned and pipelined requests.
    #[serde(flatten)]
    pub irregular: IrregularCallStats,
    /// The verdict on the quarantine of the request that crashes targets.
    #[serde(flatten)]
    pub quarantine: QuarantineVerdict,
    /// The verdict on evacuations.
    #[serde(flatten)]
    pub evacuation: EvacuationVerdict,
    /// The verdict on targets that were cold after an evacuation.
    #[serde(flatten)]
    pub cold_start: ColdStartVerdict,
    /// The verdict on targets that stated something about themselves.
    #[serde(flatten)]
    pub statement: StatementVerdict,
    /// The verdict on kinds of requests that are starved.
    #[serde(flatten)]
    pub starvation: StarvationVerdict,
    /// The most memory that a node process had resident, in KiB.
    pub node_peak_kib: u64,
    /// The number of violations in the history, by guarantee.
    pub violations: BTreeMap<&'static str, u64>,
    /// The first violations in words, with the ids of the requests.
    #[serde(rename = "told")]
    pub first_violations: Vec<String>,
    /// The steps of the schedule, in milliseconds from the start of the calls.
    pub schedule: Vec<String>,
    /// The directory with settings, logs and records, if they were kept.
    #[serde(rename = "kept_in", skip_serializing_if = "Option::is_none")]
    pub files_dir: Option<String>,
}

impl Report {
    /// Judges the observations of a run.
    pub fn judge(
        opts: Options,
        schedule: &Schedule,
        observations: &RunObservations<'_>,
        bounds: &Bounds,
    ) -> Report {
        let (recorded, outages) = observations.log.history_and_outages();
        let joined = JoinedRecords::new(observations.records, observations.runs, &outages);
        let is_explained = |record: &CallRecord| joined.is_explained_by_outage(record);
        let history = events::build_history(
            observations.log,
            observations.records,
            observations.runs,
            observations.ids,
            observations.stops,
            is_explained,
        );
        let violations_found = check(&history, bounds);
        let faults = joined.faults().map(|record| format!("{record:?}"));
        let verdict = joined.verdict();
        let quarantine = QuarantineVerdict::judge(
            observations.records,
            observations.runs,
            observations.impairments,
        );
        let ends = [observations.kills, observations.stops].concat();
        let timeline = Timeline::new(
            observations.catalogues,
            &recorded,
            observations.runs,
            &ends,
            observations.stalls,
        );
        let evacuation = EvacuationVerdict::judge(observations.instances(), &timeline);
        let cold_start = ColdStartVerdict::judge(observations.instances(), &timeline);
        let statement = StatementVerdict::judge(
            observations.stated,
            observations.records,
            observations.runs,
            &timeline,
        );
        let starvation = StarvationVerdict::judge(
            observations.records,
            observations.faults,
            observations.processor_waits_us,
            observations.domains,
        );
        let too_cold = ColdStartVerdict::describe(observations.instances(), &timeline);
        let first_violations = too_cold.into_iter().chain(faults);
        let first_violations =
            first_violations.chain(violations_found.iter().map(ToString::to_string));
        let passed = !verdict.has_fault()
            && violations_found.is_empty()
            && quarantine.has_passed()
            && evacuation.has_passed()
            && cold_start.has_passed()
            && statement.has_passed()
            && starvation.has_passed()
            && observations.node_peak_kib < MAX_NODE_KIB;
        Report {
            seed: opts.seed,
            nodes: opts.nodes,
            seconds: opts.length.as_secs(),
            passed: passed && observations.irregular.out_of_order == 0,
            verdict,
            irregular: observations.irregular,
            quarantine,
            evacuation,
            cold_start,
            statement,
            starvation,
            node_peak_kib: observations.node_peak_kib,
            violations: count_by_guarantee(&violations_found),
            first_violations: first_violations.take(MAX_DESCRIBED_VIOLATIONS).collect(),
            schedule: schedule.steps.iter().map(ToString::to_string).collect(),
            files_dir: None,
        }
    }
}

/// Converts a count to the type of the report fields.
fn count(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}
