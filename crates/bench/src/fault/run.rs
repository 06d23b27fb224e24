//! Run of the verb `fault`.

use std::collections::BTreeMap;
use std::time::Instant;

use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::check;

use super::Case;
use super::CaseReport;
use super::Options;
use super::Report;
use super::case_fleet::CaseFleet;
use super::script;

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
    let mut fleet = CaseFleet::start(&opts.fleet, case as u64)?;
    let members = fleet.len();
    let began = Instant::now();
    script::run_case(case, &mut fleet)?;
    let seconds = began.elapsed().as_secs_f64();
    let records = fleet.finish();
    let violations = check(&records.history, &Bounds::default());
    let mut broken = BTreeMap::new();
    for violation in &violations {
        *broken.entry(violation.guarantee().to_string()).or_default() += 1;
    }
    let examples = violations.iter().take(EXAMPLES).map(ToString::to_string);
    let samples = records
        .timing
        .convergence_samples(&records.observations, members);
    Ok(CaseReport {
        case: case.as_str(),
        violations: violations.len(),
        broken,
        examples: examples.collect(),
        convergence_ms: samples.summary(),
        source_reads_peak_per_s: records.stats.reads_peak_per_s,
        source_reads: records.stats.reads,
        applied: records.observations.len(),
        seconds,
    })
}
