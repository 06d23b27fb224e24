use std::iter::Once;
use std::sync::Arc;

use rstest::rstest;
use sassafrasspool_bench::chaos::events::Stopped;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_core::Digest;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Version;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::SnapshotFacts;

use super::name;
use super::run;
use crate::verdict::ColdReturns;
use crate::verdict::Evacuated;
use crate::verdict::Evacuee;
use crate::verdict::Facts;
use crate::verdict::Hurt;
use crate::verdict::PublishedCatalogue;

/// The event that a node has a catalogue revision in force, at a time in seconds.
fn in_force(at_s: u64, revision: u64) -> (u64, Event) {
    let revision = Revision::new(revision).expect("a revision");
    let version = Version::new(revision, Digest::of(b""));
    let held = SnapshotFacts {
        catalogue: version,
        instances: version,
        content: Digest::of(b""),
        dangling: Vec::new(),
    };
    let held = Arc::new(held);
    let node = name(0);
    (at_s, Event::InForce { node, held })
}

/// A catalogue that is published at `at_s`, in seconds.
fn catalogue(revision: u64, at_s: u64, evacuated: &[&'static str]) -> PublishedCatalogue {
    PublishedCatalogue {
        revision,
        at_us: 1_000_000 * at_s,
        evacuated: evacuated.to_vec(),
    }
}

/// Judges an instance in `north` by the versions that its node had in force, the times at
/// which its target started requests, in milliseconds, and the ends and stalls in between.
fn judge<T>(
    catalogues: &[PublishedCatalogue],
    in_force: &[(u64, Event)],
    begun_ms: impl Iterator<Item = u64>,
    killed_s: Option<u64>,
    stalled: &[Hurt],
    judge: impl FnOnce(Once<Evacuee<'_>>, &Facts<'_>) -> T,
) -> T {
    let log = Log::default();
    for (at_s, event) in in_force {
        log.record_at(1_000_000 * at_s, event.clone());
    }
    let runs = begun_ms.map(|at_ms| {
        let mut run = run(0, 0);
        run.run.started_us = 1_000 * at_ms;
        run
    });
    let runs: Vec<LedgerRun> = runs.collect();
    let ends = killed_s.map(|at_s| Stopped {
        instance: 0,
        at_us: 1_000_000 * at_s,
    });
    let ends = Vec::from_iter(ends);
    let (history, _) = log.copy();
    let facts = Facts::new(catalogues, &history, &runs, &ends, stalled);
    let id = name(0);
    let evacuee = Evacuee {
        instance: 0,
        id: &id,
        domain: "north",
    };
    judge(std::iter::once(evacuee), &facts)
}

/// A request that a target starts at a time, in milliseconds, and the earlier events of its
/// node.
#[derive(Debug)]
struct Begun {
    in_force: Vec<(u64, Event)>,
    at_ms: u64,
    /// When the node's process is killed, in seconds.
    killed_s: Option<u64>,
    stalled: &'static [Hurt],
    kept: bool,
}

fn begun(at_ms: u64, in_force: Vec<(u64, Event)>, kept: bool) -> Begun {
    Begun {
        in_force,
        at_ms,
        killed_s: None,
        stalled: &[],
        kept,
    }
}

/// Guards against a verdict that misses requests in an evacuated failure domain, or reports
/// allowed ones. The second catalogue evacuates it from 10 s on, the fourth ends that at
/// 20 s.
#[rstest]
#[case::before(begun(9_000, vec![in_force(1, 1), in_force(10, 2)], true))]
#[case::on_its_way(begun(10_900, vec![in_force(10, 2)], true))]
#[case::while_evacuated(begun(12_000, vec![in_force(10, 2)], false))]
#[case::under_a_later_catalogue(begun(15_500, vec![in_force(10, 2), in_force(14, 3)], false))]
#[case::not_known_to_its_node(begun(12_000, vec![in_force(1, 1)], true))]
#[case::taken_back(begun(20_100, vec![in_force(10, 2)], true))]
#[case::after_a_restart(Begun {
    killed_s: Some(12),
    ..begun(15_000, vec![in_force(10, 2)], true)
})]
#[case::known_after_a_restart(Begun {
    killed_s: Some(12),
    ..begun(18_000, vec![in_force(10, 2), in_force(13, 3)], false)
})]
#[case::held_up(Begun {
    stalled: &[Hurt { instance: 0, from_us: 9_000_000, to_us: 11_500_000 }],
    ..begun(12_000, vec![in_force(10, 2)], true)
})]
#[case::held_up_before(Begun {
    stalled: &[Hurt { instance: 0, from_us: 9_000_000, to_us: 10_500_000 }],
    ..begun(12_000, vec![in_force(10, 2)], false)
})]
#[case::held_up_elsewhere(Begun {
    stalled: &[Hurt { instance: 1, from_us: 9_000_000, to_us: 11_500_000 }],
    ..begun(12_000, vec![in_force(10, 2)], false)
})]
fn work_in_an_evacuated_domain_breaks_a_promise(#[case] case: Begun) {
    let catalogues = [
        catalogue(1, 0, &[]),
        catalogue(2, 10, &["north"]),
        catalogue(3, 14, &["south", "north"]),
        catalogue(4, 20, &["south"]),
    ];
    let judged = judge(
        &catalogues,
        &case.in_force,
        std::iter::once(case.at_ms),
        case.killed_s,
        case.stalled,
        |evacuees, facts| Evacuated::judge(evacuees, facts),
    );
    assert_eq!(judged.is_kept(), case.kept, "{judged:?}: {case:?}");
}

/// Requests that a target starts evenly from a time on, in milliseconds, and the earlier
/// events of its node.
#[derive(Debug)]
struct BegunCold {
    in_force: Vec<(u64, Event)>,
    from_ms: u64,
    every_ms: u64,
    /// When the node's process is killed, in seconds.
    killed_s: Option<u64>,
    stalled: &'static [Hurt],
    excess: u64,
}

fn begun_cold(from_ms: u64, every_ms: u64, excess: u64) -> BegunCold {
    BegunCold {
        in_force: vec![in_force(10, 2), in_force(20, 4)],
        from_ms,
        every_ms,
        killed_s: None,
        stalled: &[],
        excess,
    }
}

/// Guards against a verdict that misses excess requests to cold targets, or reports allowed
/// ones. The second catalogue evacuates the failure domain from 10 s on, the fourth ends
/// that at 20 s, and 40 requests start.
#[rstest]
#[case::as_much_as_it_tolerates(begun_cold(20_500, 34, 0))]
#[case::at_once(begun_cold(20_500, 1, 10))]
#[case::over_more_than_a_second(begun_cold(20_500, 30, 4))]
#[case::before_it_is_seen(begun_cold(19_100, 10, 0))]
#[case::when_it_may_be_warm(begun_cold(23_000, 1, 0))]
#[case::never_evacuated(BegunCold {
    in_force: vec![in_force(1, 1), in_force(20, 4)],
    ..begun_cold(20_500, 1, 0)
})]
#[case::restarted_meanwhile(BegunCold {
    killed_s: Some(15),
    ..begun_cold(20_500, 1, 0)
})]
#[case::held_up(BegunCold {
    stalled: &[Hurt { instance: 0, from_us: 19_000_000, to_us: 20_300_000 }],
    ..begun_cold(20_500, 1, 0)
})]
fn work_beyond_what_a_cold_target_tolerates_breaks_a_promise(#[case] case: BegunCold) {
    let catalogues = [
        catalogue(1, 0, &[]),
        catalogue(2, 10, &["north"]),
        catalogue(4, 20, &[]),
    ];
    let judged = judge(
        &catalogues,
        &case.in_force,
        (0..40).map(|n| case.from_ms + n * case.every_ms),
        case.killed_s,
        case.stalled,
        |evacuees, facts| ColdReturns::judge(evacuees, facts),
    );
    assert_eq!(judged.begun_too_cold, case.excess, "{judged:?}: {case:?}");
}
