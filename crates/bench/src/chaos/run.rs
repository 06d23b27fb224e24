//! Run of the verb `chaos`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::KindName;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::check;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::ServiceTimes;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::Options;
use super::Report;
use super::bounds::IN_FORCE_BOUND;
use super::bounds::KEY_OWNERS_SETTLE_TIME;
use super::bounds::NODE_SETTINGS;
use super::bounds::SETTLE_TIME;
use super::callers::RETRY_POLICY;
use super::callers::TIMEOUT;
use super::callers::TIMEOUT_GRACE;
use super::catalogue;
use super::catalogue::KINDS;
use super::catalogue::SERVICES;
use super::driver::Driver;
use super::events;
use super::log::Log;
use super::observer::record_snapshots;
use super::operators::Operators;
use super::report::count_by_guarantee;
use super::script::Script;
use crate::load::CallRecord;
use crate::load::Caller;
use crate::load::Client;
use crate::load::Ending;
use crate::load::EntryNodes;
use crate::load::Fleet;
use crate::load::FleetSpec;
use crate::load::InstanceSpec;
use crate::load::JoinedRecords;
use crate::load::NaiveProxy;
use crate::load::OpenLoop;
use crate::load::Plan;
use crate::load::SystemUnderTest;
use crate::summary::Samples;

/// Slots of each target.
const SLOTS: NonZeroU32 = NonZeroU32::new(10).unwrap();

/// Duration of each target's cold start, in milliseconds.
const COLD_START_MS: u64 = 100;

/// Service times by kind, in microseconds.
const SERVICE_US: [(&str, u64); 4] = [
    ("approval", 20_000),
    ("claim", 15_000),
    ("lookup", 5_000),
    ("archive", 30_000),
];

/// Timeout for the fleet to become ready before the run.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of violations, and of faults, that a report has as text.
const MAX_EXAMPLES: usize = 5;

/// Runs the load and the script of `opts.seed` and evaluates the outcome.
///
/// # Errors
///
/// Fails if the fleet can't be started, a fault can't be injected or a process
/// can't be restarted. Violations are reported and are no error.
pub async fn run(opts: Options) -> miette::Result<Report> {
    let fleet_spec = fleet_spec(opts);
    let fleet = Arc::new(Fleet::start(&fleet_spec).await?);
    if !opts.naive {
        tokio::time::sleep(KEY_OWNERS_SETTLE_TIME).await;
    }
    let log = Arc::new(Log::default());
    let list = fleet.members.iter().map(|m| m.instance.clone()).collect();
    let driver = Arc::new(Driver {
        fleet: Arc::clone(&fleet),
        operators: Operators::new(list, &log)?,
        log: Arc::clone(&log),
        with_nodes: !opts.naive,
        stops: Mutex::default(),
        fault_locks: fleet.members.iter().map(|_| Default::default()).collect(),
    });
    for member in &fleet.members {
        let node = member.instance.id.clone();
        log.record(Event::NodeBack { node });
    }
    let cancel = CancellationToken::new();
    let mut observers = JoinSet::new();
    if !opts.naive {
        for member in &fleet.members {
            let id = member.instance.id.clone();
            let log = Arc::clone(&log);
            observers.spawn(record_snapshots(member.admin, id, log, cancel.clone()));
        }
    }
    let script = Script::draw(opts.nodes, opts.length, opts.seed);
    let rate = opts.rate_per_node * opts.nodes as f64;
    let plan = Plan::new(&KINDS, rate, opts.length, opts.seed);
    let load = OpenLoop::run(plan, Arc::new(caller(opts, &fleet)));
    let (load, script_result) = tokio::join!(load, driver.run_script(&script));
    script_result?;
    tokio::time::sleep(SETTLE_TIME).await;
    cancel.cancel();
    while observers.join_next().await.is_some() {}
    let report = build_report(opts, &script, &load, &driver);
    drop(driver);
    keep_logs_if_faulty(opts, report, fleet, &load.records)
}

fn fleet_spec(opts: Options) -> FleetSpec {
    let kinds = SERVICE_US.iter();
    let kinds = kinds.filter_map(|&(kind, us)| Some((KindName::new(kind).ok()?, us)));
    let target = TargetSettings {
        slots: SLOTS,
        cold_start_ms: COLD_START_MS,
        service: ServiceTimes {
            kinds_us: kinds.collect(),
            ..ServiceTimes::default()
        },
        ..TargetSettings::default()
    };
    let instance_spec = |n| InstanceSpec::new(n, SERVICES[n % SERVICES.len()], target.clone());
    FleetSpec {
        instances: (0..opts.nodes).map(instance_spec).collect(),
        catalogue: catalogue::text(0),
        with_nodes: !opts.naive,
        extra_settings: NODE_SETTINGS,
        with_links: !opts.naive,
        ready_timeout: READY_TIMEOUT,
    }
}

fn caller(opts: Options, fleet: &Fleet) -> Caller {
    let system = match opts.naive {
        true => SystemUnderTest::Naive(naive(fleet)),
        false => SystemUnderTest::Nodes(EntryNodes::new(fleet.entry_addrs())),
    };
    Caller {
        client: Client::default(),
        system,
        kinds: KINDS.to_vec(),
        run_id: format!("c{}", opts.seed),
        retry_policy: RETRY_POLICY,
        timeout: TIMEOUT,
        grace: TIMEOUT_GRACE,
    }
}

fn naive(fleet: &Fleet) -> NaiveProxy {
    let mut targets: HashMap<&'static str, Vec<_>> = HashMap::new();
    for kind in &KINDS {
        let service = SERVICES[catalogue::service_of(kind)];
        let members = fleet.members.iter();
        let serving = members.filter(|m| m.instance.service.as_str() == service);
        targets.insert(kind.path, serving.map(|m| m.target.addr()).collect());
    }
    NaiveProxy {
        targets,
        max_attempts: 3,
        attempt_timeout: TIMEOUT / 3,
    }
}

fn build_report(opts: Options, script: &Script, load: &OpenLoop, driver: &Driver) -> Report {
    let runs = driver.fleet.ledger_runs();
    let (_, outages) = driver.log.history_and_outages();
    let joined = JoinedRecords::new(&load.records, &runs, &outages);
    let members = driver.fleet.members.iter();
    let names: Vec<InstanceId> = members.map(|m| m.instance.id.clone()).collect();
    let stops = driver.stops.lock().unwrap_or_else(PoisonError::into_inner);
    let is_explained = |record: &CallRecord| joined.is_explained_by_outage(record);
    let history = events::build_history(
        &driver.log,
        &load.records,
        &runs,
        &names,
        &stops,
        is_explained,
    );
    let bounds = Bounds {
        in_force: IN_FORCE_BOUND,
        ..Bounds::default()
    };
    let violations = check(&history, &bounds);
    let answered = load.records.iter();
    let answered = answered.filter(|record| record.ending == Ending::Answered);
    let latency: Samples = answered.map(|record| record.latency).collect();
    Report {
        verb: "chaos",
        nodes: opts.nodes,
        seconds: opts.length.as_secs_f64(),
        seed: opts.seed,
        naive: opts.naive,
        faults: script.steps.iter().map(ToString::to_string).collect(),
        verdict: joined.verdict(),
        reasons: reasons(&load.records),
        violations: count_by_guarantee(&violations),
        first_violations: first_examples(violations.iter().map(ToString::to_string)),
        first_faults: first_examples(joined.faults().map(|record| format!("{record:?}"))),
        latency_ms: latency.summary(),
        release_late_ms: load.lateness.summary(),
        began_us: load.records.iter().map(|r| r.sent_us).min().unwrap_or(0),
        dropped: load.dropped,
        logs: None,
    }
}

/// Counts attempts without an answer by the reason in the response body or, if
/// there is none, by the caller's detail.
fn reasons(records: &[CallRecord]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for record in records {
        if record.ending == Ending::Answered {
            continue;
        }
        let body: Option<Value> = serde_json::from_str(&record.detail).ok();
        let reason = body.as_ref().and_then(|body| body["reason"].as_str());
        let reason = reason.unwrap_or(&record.detail);
        let ending = record.ending;
        *counts.entry(format!("{ending:?}: {reason}")).or_default() += 1;
    }
    counts
}

fn first_examples(examples: impl Iterator<Item = String>) -> Vec<String> {
    examples.take(MAX_EXAMPLES).collect()
}

fn keep_logs_if_faulty(
    opts: Options,
    mut report: Report,
    fleet: Arc<Fleet>,
    records: &[CallRecord],
) -> miette::Result<Report> {
    let is_faulty = report.verdict.has_fault() || report.verdict.refused_after_run > 0;
    if opts.keep_logs && (is_faulty || !report.violations.is_empty()) {
        fleet
            .write_json_lines("records.json", records)
            .into_diagnostic()?;
        let fleet = Arc::into_inner(fleet).ok_or_else(|| miette!("the fleet is still in use"))?;
        report.logs = Some(fleet.keep_logs().display().to_string());
    }
    Ok(report)
}
