//! Run of the verb `spread`.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_core::history::SnapshotFacts;

use super::Options;
use super::Report;
use super::convergence::Convergence;
use super::convergence::Publication;
use super::convergence::steps_back;
use super::cost::Cost;
use super::cost::CounterSnapshot;
use crate::control_fleet::ControlFleet;
use crate::control_fleet::Member;
use crate::control_fleet::Publisher;
use crate::control_fleet::Watcher;
use crate::usage::ProcessUsage;

/// Timeout for the start of the fleet.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for a change to be in force everywhere, so that every run ends.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Wait after the start before the fleet counts as idle.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// How long the cost of a change is still counted after the change is in force
/// everywhere, to include its remaining traffic.
const TAIL_TIME: Duration = Duration::from_millis(500);

/// Number of threads that check snapshots.
const CHECK_THREADS: usize = 4;

/// Starts a fleet, measures it while idle and during changes, and reports the
/// cost.
///
/// # Errors
///
/// Fails if the fleet can't be started, or a change isn't in force everywhere
/// within half a minute.
pub fn run(opts: &Options) -> miette::Result<Report> {
    let before = ProcessUsage::of_self()?;
    let (fleet, mut publisher) = ControlFleet::start(&opts.fleet)?;
    let first = publisher.expected_facts()?.catalogue;
    fleet.wait_until_in_force(first, START_TIMEOUT)?;
    let watcher = Watcher::start(fleet.members().clone(), false);
    thread::sleep(SETTLE_TIME);
    let start_reads_peak = fleet.platform().stats().reads_peak_per_s;
    let idle = measure_idle(&fleet, opts.idle_time)?;
    fleet.platform().reset_stats();
    let changes = publish_all(&fleet, &mut publisher, &watcher, opts)?;
    let peak = fleet.platform().stats().reads_peak_per_s;
    let after = ProcessUsage::of_self()?;
    let observations = watcher.take_observations();
    let convergence = Convergence::of(&changes.published, &observations);
    let nodes = opts.fleet.nodes as f64;
    let per_change = |figure: &dyn Fn(&Cost) -> f64| {
        changes.cost.beyond_idle(&idle, figure) / nodes / opts.changes as f64
    };
    let per_s = |figure: f64| figure / nodes / idle.seconds;
    Ok(Report {
        nodes: opts.fleet.nodes,
        services: opts.fleet.shape.services,
        endpoints: opts.fleet.shape.endpoints.max(opts.fleet.nodes),
        changes: opts.changes,
        seed: opts.fleet.shape.seed,
        naive: opts.fleet.naive,
        convergence_ms: convergence.by_node.summary(),
        everywhere_ms: convergence.by_change.summary(),
        control_bytes_per_node_per_change: per_change(&|cost| cost.bytes),
        messages_per_node_per_change: per_change(&|cost| cost.messages),
        idle_control_bytes_per_node_per_s: per_s(idle.bytes),
        idle_messages_per_node_per_s: per_s(idle.messages),
        source_reads: changes.cost.source_reads,
        idle_source_reads_per_s: idle.source_reads as f64 / idle.seconds,
        source_reads_per_change: per_change(&|cost| cost.source_reads as f64) * nodes,
        source_reads_peak_per_s: peak,
        start_reads_peak_per_s: start_reads_peak,
        steps_back: steps_back(&observations),
        partial: changes.partial,
        cpu_us_per_node_per_change: per_change(&|cost| cost.cpu_us),
        idle_cpu_us_per_node_per_s: per_s(idle.cpu_us),
        rss_bytes_per_node: after.rss_bytes.saturating_sub(before.rss_bytes) as f64 / nodes,
    })
}

fn measure_idle(fleet: &ControlFleet, length: Duration) -> miette::Result<Cost> {
    let from = CounterSnapshot::now(fleet)?;
    thread::sleep(length);
    Ok(from.cost_until(&CounterSnapshot::now(fleet)?))
}

/// Results over all changes.
#[derive(Debug, Default)]
struct Changes {
    published: Vec<Publication>,
    cost: Cost,
    partial: usize,
}

/// Publishes one change after the other. The cost of a change is measured from
/// its publication until it is in force everywhere, and for [`TAIL_TIME`] after.
/// Then every snapshot is checked, and the rest of the interval is waited for.
fn publish_all(
    fleet: &ControlFleet,
    publisher: &mut Publisher,
    watcher: &Watcher,
    opts: &Options,
) -> miette::Result<Changes> {
    let mut changes = Changes::default();
    for _ in 0..opts.changes {
        let due = Instant::now() + opts.change_interval;
        let from = CounterSnapshot::now(fleet)?;
        let at = watcher.now();
        let version = publisher.publish_change(fleet.platform())?;
        let revision = version.revision();
        changes.published.push(Publication { at, revision });
        fleet.wait_until_in_force(version, CHANGE_TIMEOUT)?;
        thread::sleep(TAIL_TIME);
        changes.cost += from.cost_until(&CounterSnapshot::now(fleet)?);
        changes.partial += count_partial(fleet, &publisher.expected_facts()?)?;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    Ok(changes)
}

/// Number of members whose snapshot differs from `expected`.
fn count_partial(fleet: &ControlFleet, expected: &SnapshotFacts) -> miette::Result<usize> {
    let members = fleet.members();
    let share = members.len().div_ceil(CHECK_THREADS).max(1);
    thread::scope(|scope| {
        let check = |members| scope.spawn(move || count_partial_among(members, expected));
        let threads: Vec<_> = members.chunks(share).map(check).collect();
        let results = threads.into_iter().map(|thread| thread.join());
        let counts = results.map(|result| {
            result.unwrap_or_else(|_| Err(miette!("a thread that checks snapshots panicked")))
        });
        counts.sum()
    })
}

fn count_partial_among(members: &[Member], expected: &SnapshotFacts) -> miette::Result<usize> {
    let mut partial = 0;
    for snapshot in members.iter().filter_map(Member::snapshot_in_force) {
        if SnapshotFacts::of(&snapshot).into_diagnostic()? != *expected {
            partial += 1;
        }
    }
    Ok(partial)
}
