//! Run of the verb `calls`.

use std::time::Duration;

use sassafrasspool_core::Class;
use sassafrasspool_standin::TargetSettings;

use super::Options;
use super::Report;
use super::pairs::Destination;
use super::pairs::Measurements;
use super::pairs::measure;
use super::process;
use crate::load::CallKind;
use crate::load::Fleet;
use crate::load::FleetSpec;
use crate::load::InstanceSpec;
use crate::load::Keys;
use crate::load::Plan;
use crate::summary::SummaryMs;
use crate::usage::ProcessUsage;

/// Duration of the warm-up, which opens connections and fills caches before
/// the measured load.
const WARM_UP_TIME: Duration = Duration::from_secs(1);

/// Timeout for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Makes the pairs of calls and reports the overhead of the nodes.
///
/// # Errors
///
/// Fails if the fleet can't be started.
pub async fn run(opts: Options) -> miette::Result<Report> {
    let load_average = process::load_average();
    let fleet = Fleet::start(&fleet_spec(opts)).await?;
    let destinations = destinations(&fleet);
    measure("warm", plan(opts, WARM_UP_TIME), &destinations).await;
    let pids = node_pids(&fleet).await;
    let cpu_before = cpu_time(&pids);
    let measured = measure("calls", plan(opts, opts.length), &destinations).await;
    let cpu_us = (cpu_time(&pids) - cpu_before).as_micros();
    let connections = pids
        .iter()
        .filter_map(|pid| process::count_connections(*pid));
    let connections = connections.max().unwrap_or(0);
    Ok(report(opts, &measured, cpu_us, connections, load_average))
}

fn plan(opts: Options, length: Duration) -> Plan {
    let kind = CallKind {
        name: "lookup",
        path: "/",
        class: Class::Standard,
        weight: 1,
        idempotent: true,
        keys: Keys::None,
        share: 1,
        answer_bytes: opts.answer_bytes,
        request_bytes: 0,
    };
    let rate = opts.rate_per_node * opts.nodes as f64;
    Plan::new(&[kind], rate, length, opts.seed)
}

fn fleet_spec(opts: Options) -> FleetSpec {
    let instance_spec = |n| InstanceSpec::new(n, service(n), TargetSettings::default());
    FleetSpec {
        instances: (0..opts.nodes).map(instance_spec).collect(),
        catalogue: catalogue(opts.nodes),
        with_nodes: true,
        extra_settings: "",
        with_links: false,
        ready_timeout: READY_TIMEOUT,
    }
}

fn service(n: usize) -> String {
    format!("desk-{n}")
}

fn path(n: usize) -> String {
    format!("/desk-{n}")
}

fn catalogue(nodes: usize) -> String {
    let mut text = String::from("kinds:\n  lookup: {weight: 1}\nservices:\n");
    for n in 0..nodes {
        let service = service(n);
        let path = path(n);
        text += &format!(
            "  {service}:\n    owner: team\n    class: standard\n    \
             limits: {{rate_per_s: 100000, concurrency: 1000, deadline_ms: 5000}}\n    \
             routes:\n      - {{path: {path}, kind: lookup, idempotent: true}}\n"
        );
    }
    text
}

/// Calls to each instance enter at the node of the next one, so that every
/// call takes both hops. The paths are leaked: there are as many as instances.
fn destinations(fleet: &Fleet) -> Vec<Destination> {
    let members = &fleet.members;
    let destination = |n: usize| Destination {
        target: members[n].target.addr(),
        entry: members[(n + 1) % members.len()].ingress,
        path: path(n).leak(),
    };
    (0..members.len()).map(destination).collect()
}

async fn node_pids(fleet: &Fleet) -> Vec<u32> {
    let mut pids = Vec::new();
    for member in &fleet.members {
        let node = member.node.lock().await;
        pids.extend(node.as_ref().and_then(|node| node.pid()));
    }
    pids
}

fn cpu_time(pids: &[u32]) -> Duration {
    let usage = pids.iter().filter_map(|pid| ProcessUsage::of(*pid).ok());
    usage.map(|usage| usage.cpu).sum()
}

fn report(
    opts: Options,
    measured: &Measurements,
    cpu_us: u128,
    connections: usize,
    load_average: String,
) -> Report {
    let pairs = measured.via.len();
    let seconds = opts.length.as_secs_f64();
    let direct_ms = measured.direct.summary();
    let via_ms = measured.via.summary();
    Report {
        verb: "calls",
        nodes: opts.nodes,
        rate_per_node: opts.rate_per_node,
        seconds,
        pairs,
        unanswered: measured.unanswered,
        added_ms: measured.added.summary(),
        added_at_percentile_ms: SummaryMs {
            p50: via_ms.p50 - direct_ms.p50,
            p99: via_ms.p99 - direct_ms.p99,
            max: via_ms.max - direct_ms.max,
        },
        direct_ms,
        via_ms,
        calls_per_s: pairs as f64 / seconds,
        cpu_us_per_call: cpu_us as f64 / pairs.max(1) as f64,
        connections_per_node: connections,
        release_late_ms: measured.lateness.summary(),
        load_average,
    }
}
