//! Run of the verb `spread`.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_core::history::SnapshotFacts;

use super::Options;
use super::Report;
use super::baseline::Mark;
use super::baseline::Spent;
use super::convergence::Convergence;
use super::convergence::Published;
use super::convergence::steps_back;
use crate::control_fleet::ControlFleet;
use crate::control_fleet::Member;
use crate::control_fleet::Publisher;
use crate::control_fleet::Watcher;
use crate::usage::ProcessUsage;

/// Timeout for the start of the fleet.
const START_BOUND: Duration = Duration::from_secs(60);

/// Timeout for a change to be in force everywhere, so that every run ends.
const CHANGE_BOUND: Duration = Duration::from_secs(30);

/// Wait after the start before the fleet counts as idle.
const SETTLE: Duration = Duration::from_secs(3);

/// How long the cost of a change is still counted after the change is in force
/// everywhere, to include its remaining traffic.
const TAIL: Duration = Duration::from_millis(500);

/// Number of threads that check snapshots.
const JUDGES: usize = 4;

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
    let first = publisher.expected()?.catalogue;
    fleet.until_in_force(first, START_BOUND)?;
    let watcher = Watcher::start(fleet.members().clone(), false);
    thread::sleep(SETTLE);
    let start_reads_peak = fleet.platform().stats().reads_peak_per_s;
    let idle = idle(&fleet, opts.idle)?;
    fleet.platform().reset_stats();
    let changes = publish_all(&fleet, &mut publisher, &watcher, opts)?;
    let peak = fleet.platform().stats().reads_peak_per_s;
    let after = ProcessUsage::of_self()?;
    let seen = watcher.take();
    let found = Convergence::of(&changes.published, &seen);
    let nodes = opts.fleet.nodes as f64;
    let per_change = |figure: &dyn Fn(&Spent) -> f64| {
        changes.spent.beyond(&idle, figure) / nodes / opts.changes as f64
    };
    let per_s = |figure: f64| figure / nodes / idle.seconds;
    Ok(Report {
        nodes: opts.fleet.nodes,
        services: opts.fleet.shape.services,
        endpoints: opts.fleet.shape.endpoints.max(opts.fleet.nodes),
        changes: opts.changes,
        seed: opts.fleet.shape.seed,
        naive: opts.fleet.naive,
        convergence_ms: found.nodes.summary(),
        everywhere_ms: found.everywhere.summary(),
        control_bytes_per_node_per_change: per_change(&|spent| spent.bytes),
        messages_per_node_per_change: per_change(&|spent| spent.messages),
        idle_control_bytes_per_node_per_s: per_s(idle.bytes),
        idle_messages_per_node_per_s: per_s(idle.messages),
        source_reads: changes.spent.source_reads,
        idle_source_reads_per_s: idle.source_reads as f64 / idle.seconds,
        source_reads_per_change: per_change(&|spent| spent.source_reads as f64) * nodes,
        source_reads_peak_per_s: peak,
        start_reads_peak_per_s: start_reads_peak,
        steps_back: steps_back(&seen),
        partial: changes.partial,
        cpu_us_per_node_per_change: per_change(&|spent| spent.cpu_us),
        idle_cpu_us_per_node_per_s: per_s(idle.cpu_us),
        rss_bytes_per_node: after.rss_bytes.saturating_sub(before.rss_bytes) as f64 / nodes,
    })
}

fn idle(fleet: &ControlFleet, length: Duration) -> miette::Result<Spent> {
    let from = Mark::now(fleet)?;
    thread::sleep(length);
    Ok(from.to(&Mark::now(fleet)?))
}

/// Results over all changes.
#[derive(Debug, Default)]
struct Changes {
    published: Vec<Published>,
    spent: Spent,
    partial: usize,
}

/// Publishes one change after the other. The cost of a change is measured from
/// its publication until it is in force everywhere, and for [`TAIL`] after.
/// Then every snapshot is checked, and the rest of the interval is waited for.
fn publish_all(
    fleet: &ControlFleet,
    publisher: &mut Publisher,
    watcher: &Watcher,
    opts: &Options,
) -> miette::Result<Changes> {
    let mut changes = Changes::default();
    for _ in 0..opts.changes {
        let due = Instant::now() + opts.pace;
        let from = Mark::now(fleet)?;
        let at = watcher.now();
        let version = publisher.change(fleet.platform())?;
        let revision = version.revision();
        changes.published.push(Published { at, revision });
        fleet.until_in_force(version, CHANGE_BOUND)?;
        thread::sleep(TAIL);
        changes.spent += from.to(&Mark::now(fleet)?);
        changes.partial += partial(fleet, &publisher.expected()?)?;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    Ok(changes)
}

/// Number of members whose snapshot differs from `expected`.
fn partial(fleet: &ControlFleet, expected: &SnapshotFacts) -> miette::Result<usize> {
    let members = fleet.members();
    let share = members.len().div_ceil(JUDGES).max(1);
    thread::scope(|scope| {
        let judge = |members| scope.spawn(move || partial_among(members, expected));
        let judges: Vec<_> = members.chunks(share).map(judge).collect();
        let judged = judges.into_iter().map(|judge| judge.join());
        let counts = judged.map(|judged| {
            judged.unwrap_or_else(|_| Err(miette!("a thread that checks snapshots panicked")))
        });
        counts.sum()
    })
}

fn partial_among(members: &[Member], expected: &SnapshotFacts) -> miette::Result<usize> {
    let mut partial = 0;
    for snapshot in members.iter().filter_map(Member::in_force) {
        if SnapshotFacts::of(&snapshot).into_diagnostic()? != *expected {
            partial += 1;
        }
    }
    Ok(partial)
}
