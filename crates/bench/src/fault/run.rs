//! Run of the verb `fault`.

use std::collections::BTreeMap;
use std::time::Instant;

use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::check;

use super::Case;
use super::CaseReport;
use super::Options;
use super::Report;
use super::script;
use super::stage::Stage;

/// Maximum number of violations that a case's report has as text.
const EXAMPLES: usize = 5;

/// Runs the cases one after the other.
///
/// # Errors
///
/// Fails if a fleet can't be started or a node can't be restarted.
pub fn run(opts: &Options) -> miette::Result<Report> {
    let mut cases = Vec::new();
    for &case in &opts.cases {
        cases.push(run_case(case, opts)?);
    }
    Ok(Report {
        nodes: opts.fleet.nodes,
        seed: opts.fleet.shape.seed,
        violations: cases.iter().map(|case| case.violations).sum(),
        cases,
    })
}

fn run_case(case: Case, opts: &Options) -> miette::Result<CaseReport> {
    let mut stage = Stage::start(&opts.fleet, case as u64)?;
    let members = stage.len();
    let began = Instant::now();
    script::play(case, &mut stage)?;
    let seconds = began.elapsed().as_secs_f64();
    let finished = stage.finish();
    let found = check(&finished.history, &Bounds::default());
    let mut broken = BTreeMap::new();
    for violation in &found {
        *broken.entry(violation.guarantee().to_string()).or_default() += 1;
    }
    let examples = found.iter().take(EXAMPLES).map(ToString::to_string);
    let samples = finished.timing.samples(&finished.seen, members);
    Ok(CaseReport {
        case: case.as_str(),
        violations: found.len(),
        broken,
        examples: examples.collect(),
        convergence_ms: samples.summary(),
        source_reads_peak_per_s: finished.stats.reads_peak_per_s,
        source_reads: finished.stats.reads,
        applied: finished.seen.len(),
        seconds,
    })
}
