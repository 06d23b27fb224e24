//! Run of the verb `overload`.

use std::collections::HashMap;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Class;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::ServiceTimes;

use super::Goodput;
use super::Options;
use super::Report;
use crate::calls;
use crate::load::CallKind;
use crate::load::Caller;
use crate::load::Client;
use crate::load::EntryNodes;
use crate::load::Fleet;
use crate::load::FleetSpec;
use crate::load::InstanceSpec;
use crate::load::Keys;
use crate::load::LedgerRun;
use crate::load::NaiveProxy;
use crate::load::OpenLoop;
use crate::load::Plan;
use crate::load::RetryPolicy;
use crate::load::SystemUnderTest;

/// Slots of each target.
const SLOTS: NonZeroU32 = NonZeroU32::new(10).unwrap();

/// Service time of each request, in microseconds.
const SERVICE_US: u64 = 40_000;

/// Request timeout that callers send to the node.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long callers wait beyond [`CALL_TIMEOUT`] for the answer that it has expired.
const TIMEOUT_GRACE: Duration = Duration::from_millis(500);

/// Timeout for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of attempts of the naive proxy.
const NAIVE_MAX_ATTEMPTS: u32 = 3;

/// One kind for each class. At a load of twice the capacity, the critical
/// calls alone need six tenths of the slots.
const KINDS: [CallKind; 3] = [
    kind("approval", "/approvals", Class::Critical, 3),
    kind("lookup", "/lookups", Class::Standard, 4),
    kind("archive", "/archive", Class::Background, 3),
];

const fn kind(name: &'static str, path: &'static str, class: Class, share: u32) -> CallKind {
    CallKind {
        name,
        path,
        class,
        weight: 1,
        idempotent: true,
        keys: Keys::None,
        share,
        answer_bytes: 500,
        request_bytes: 0,
    }
}

/// Runs the same calls through the nodes and through the naive proxy.
///
/// # Errors
///
/// Fails if a fleet can't be started.
pub async fn run(opts: Options) -> miette::Result<Report> {
    let load_average = calls::load_average();
    let with = measure_goodput(opts, true).await?;
    let without = measure_goodput(opts, false).await?;
    Ok(Report {
        verb: "overload",
        nodes: opts.nodes,
        factor: opts.factor,
        seconds: opts.length.as_secs_f64(),
        with,
        without,
        load_average,
    })
}

async fn measure_goodput(opts: Options, with_nodes: bool) -> miette::Result<Goodput> {
    let fleet = Fleet::start(&fleet_spec(opts, with_nodes)).await?;
    let slots = SLOTS.get() * u32::try_from(opts.nodes).unwrap_or(u32::MAX);
    let service = Duration::from_micros(SERVICE_US);
    let rate = opts.factor * f64::from(slots) / service.as_secs_f64();
    let plan = Plan::new(&KINDS, rate, opts.length, opts.seed);
    let load = OpenLoop::run(plan, Arc::new(caller(&fleet, with_nodes))).await;
    let runs = fleet.ledger_runs();
    let run_time = mean_run_time(&runs).unwrap_or(service);
    Ok(Goodput::new(
        &load,
        opts.length,
        slots,
        run_time,
        runs.len(),
    ))
}

fn fleet_spec(opts: Options, with_nodes: bool) -> FleetSpec {
    let target = TargetSettings {
        slots: SLOTS,
        service: ServiceTimes {
            default_us: SERVICE_US,
            ..ServiceTimes::default()
        },
        ..TargetSettings::default()
    };
    let instance_spec = |n| InstanceSpec::new(n, "desk", target.clone());
    FleetSpec {
        instances: (0..opts.nodes).map(instance_spec).collect(),
        catalogue: catalogue(),
        with_nodes,
        extra_settings: "",
        with_links: false,
        ready_timeout: READY_TIMEOUT,
    }
}

fn catalogue() -> String {
    let mut text = String::from("kinds:\n");
    for kind in &KINDS {
        let CallKind { name, weight, .. } = kind;
        text += &format!("  {name}: {{weight: {weight}}}\n");
    }
    text += "services:\n  desk:\n    owner: team\n    class: standard\n    \
             limits: {rate_per_s: 100000, concurrency: 1000, deadline_ms: 500}\n    routes:\n";
    for kind in &KINDS {
        let CallKind {
            name, path, class, ..
        } = kind;
        text +=
            &format!("      - {{path: {path}, kind: {name}, class: {class}, idempotent: true}}\n");
    }
    text
}

fn caller(fleet: &Fleet, with_nodes: bool) -> Caller {
    let system = match with_nodes {
        true => SystemUnderTest::Nodes(EntryNodes::new(fleet.entry_addrs())),
        false => SystemUnderTest::Naive(naive(fleet)),
    };
    Caller {
        client: Client::default(),
        system,
        kinds: KINDS.to_vec(),
        run_id: "o".to_owned(),
        retry_policy: RetryPolicy::NONE,
        timeout: CALL_TIMEOUT,
        grace: TIMEOUT_GRACE,
    }
}

fn naive(fleet: &Fleet) -> NaiveProxy {
    let targets: Vec<_> = fleet.members.iter().map(|m| m.target.addr()).collect();
    let of_path = KINDS.iter().map(|kind| (kind.path, targets.clone()));
    NaiveProxy {
        targets: HashMap::from_iter(of_path),
        max_attempts: NAIVE_MAX_ATTEMPTS,
        attempt_timeout: CALL_TIMEOUT,
    }
}

/// Mean time for which a finished run occupied its slot; `None` without any.
fn mean_run_time(runs: &[LedgerRun]) -> Option<Duration> {
    let times = runs.iter().filter(|run| run.run.finished);
    let times = times.filter_map(|run| Some(run.run.ended_us? - run.run.started_us));
    let times: Vec<u64> = times.collect();
    let count = u64::try_from(times.len()).ok().filter(|count| *count > 0)?;
    Some(Duration::from_micros(times.iter().sum::<u64>() / count))
}
