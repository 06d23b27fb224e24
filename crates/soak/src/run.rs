//! One run, from the start of the fleet to the report.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_bench::chaos::bounds::IN_FORCE_BOUND;
use sassafrasspool_bench::chaos::bounds::KEY_OWNERS_SETTLE_TIME;
use sassafrasspool_bench::chaos::bounds::SETTLE_TIME;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::chaos::observer::record_snapshots;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::history::Bounds;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::callers;
use crate::callers::CallerJob;
use crate::callers::IrregularCallStats;
use crate::child::Child;
use crate::driver::Driver;
use crate::fleet::Fleet;
use crate::options::Options;
use crate::processor_time::peak_kib;
use crate::processor_time::record_processor_time;
use crate::processor_time::waits_us;
use crate::schedule::Schedule;
use crate::verdict::Report;
use crate::verdict::RunObservations;

/// The name of this program.
const OWN_PROGRAM: &str = "sassafrasspool-soak";

/// The file of the requests that targets ran, among the kept files.
const RUNS_FILE: &str = "runs.json";

/// The file of the processor times of all processes, among the kept files.
const PROCESSOR_TIME_FILE: &str = "processor-time.json";

/// Injects the faults of the schedule of `opts.seed` while callers make calls, and judges
/// the run.
///
/// # Errors
///
/// Fails if a process can't be started, a fault can't be applied, or a result can't be read.
/// A violation isn't an error.
pub async fn run(opts: Options) -> miette::Result<Report> {
    let fleet = Arc::new(Fleet::start(opts.nodes).await?);
    tokio::time::sleep(KEY_OWNERS_SETTLE_TIME).await;
    let log = Arc::new(Log::default());
    let driver = Arc::new(Driver::new(Arc::clone(&fleet), Arc::clone(&log))?);
    let cancel = CancellationToken::new();
    let mut observers = JoinSet::new();
    for member in &fleet.members {
        let id = member.instance.id.clone();
        observers.spawn(record_snapshots(
            member.admin,
            id,
            Arc::clone(&log),
            cancel.clone(),
        ));
    }
    let samples = Arc::new(Mutex::new(Vec::new()));
    let sampled = Arc::clone(&samples);
    let until = cancel.clone();
    observers.spawn(async move {
        until
            .run_until_cancelled(record_processor_time(&sampled))
            .await;
    });
    let schedule = Schedule::draw(opts.nodes, opts.length, opts.seed);
    let caller_processes = start_callers(opts, &fleet)?;
    driver.run_schedule(&schedule).await?;
    let mut records = Vec::new();
    let mut irregular = IrregularCallStats::default();
    for (child, job) in caller_processes {
        let status = child.wait().await.into_diagnostic()?;
        if !status.success() {
            return Err(miette!("a caller process failed with {status}"));
        }
        records.extend(callers::read_records(&job.records)?);
        irregular = irregular.merge(callers::read_irregular(&job.irregular)?);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    cancel.cancel();
    while observers.join_next().await.is_some() {}
    let runs = fleet.ledger_runs().await?;
    driver.record_crashes(&runs);
    let members = fleet.members.iter();
    let ids: Vec<InstanceId> = members.map(|member| member.instance.id.clone()).collect();
    let domains = fleet.members.iter();
    let domains: Vec<&str> = domains.map(|it| it.instance.domain.as_str()).collect();
    let observations = RunObservations {
        log: &log,
        records: &records,
        irregular,
        runs: &runs,
        ids: &ids,
        stops: &driver.stops(),
        impairments: &driver.impairments(),
        kills: &driver.kills(),
        stalls: &driver.stalls(),
        domains: &domains,
        catalogues: &driver.catalogues().await,
        stated: &driver.stated(),
        faults: &driver.faults(),
        processor_waits_us: &waits_us(&samples),
        node_peak_kib: peak_kib(&samples, &ids),
    };
    let bounds = Bounds {
        in_force: IN_FORCE_BOUND,
        ..Bounds::default()
    };
    let mut report = Report::judge(opts, &schedule, &observations, &bounds);
    drop(driver);
    if !report.passed || opts.keep_logs {
        let fleet = Arc::into_inner(fleet).ok_or_else(|| miette!("the fleet is still in use"))?;
        let runs = runs.iter().map(|run| (run.instance, &run.run));
        write_json_lines(&fleet.dir().join(RUNS_FILE), runs)?;
        let samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
        write_json_lines(&fleet.dir().join(PROCESSOR_TIME_FILE), samples.iter())?;
        report.files_dir = Some(fleet.keep_files().display().to_string());
    }
    Ok(report)
}

/// Writes one line of JSON for each item. The lines of [`RUNS_FILE`] have the number of an
/// instance and the entry of its target's ledger.
fn write_json_lines(
    file: &Path,
    items: impl Iterator<Item = impl Serialize>,
) -> miette::Result<()> {
    let mut out = BufWriter::new(File::create(file).into_diagnostic()?);
    for item in items {
        serde_json::to_writer(&mut out, &item).into_diagnostic()?;
        out.write_all(b"\n").into_diagnostic()?;
    }
    out.flush().into_diagnostic()
}

/// Starts the caller processes, and returns each with its job.
fn start_callers(opts: Options, fleet: &Fleet) -> miette::Result<Vec<(Child, CallerJob)>> {
    let members = fleet.members.iter();
    // Every second process connects through the links.
    let entries: [Vec<_>; 2] = [
        members.clone().map(|member| member.ingress).collect(),
        members.map(|member| member.linked_ingress).collect(),
    ];
    let processes = u32::try_from(opts.callers).into_diagnostic()?;
    let rate = opts.rate_per_node * opts.nodes as f64;
    let start = |number: u32| {
        let file = |what: &str| fleet.dir().join(format!("{what}-{number}.json"));
        let job = CallerJob {
            number: number.into(),
            seed: opts.seed,
            rate_per_s: rate / f64::from(processes),
            length_ms: u64::try_from(opts.length.as_millis()).into_diagnostic()?,
            entries: entries[number as usize % entries.len()].clone(),
            records: file("records"),
            irregular: file("rude"),
        };
        let args = job.write_args(&file("part"))?;
        let log = fleet.dir().join(format!("callers-{number}.log"));
        let child = Child::start(OWN_PROGRAM, &args, &log).into_diagnostic()?;
        Ok((child, job))
    };
    (0..processes).map(start).collect()
}
