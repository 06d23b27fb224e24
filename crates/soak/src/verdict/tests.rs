use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use sassafrasspool_bench::chaos::catalogue::KINDS;
use sassafrasspool_bench::chaos::events::Stopped;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::Ending;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_core::Digest;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Version;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::Held;
use sassafrasspool_standin::target::Run;
use sassafrasspool_standin::target::RunEnd;

use super::ColdReturns;
use super::Crashing;
use super::Evacuated;
use super::Evacuee;
use super::Hurt;
use super::PublishedCatalogue;
use super::Report;
use super::Seen;
use crate::callers::CRASHING_PATH;
use crate::callers::Rude;
use crate::options::Options;
use crate::schedule::Schedule;

const OPTIONS: Options = Options {
    nodes: 2,
    length: Duration::from_secs(1),
    seed: 1,
    rate_per_node: 1.0,
    callers: 1,
    keep_logs: false,
};

/// When the call under test is sent, in microseconds.
const SENT_US: u64 = 1_000_000;

/// A claim, which may not run twice.
fn claim(ending: Ending) -> CallRecord {
    let kind = &KINDS[1];
    CallRecord {
        id: "s1-0-1".to_owned(),
        key: None,
        attempt: 1,
        kind: kind.name,
        class: kind.class,
        weight: kind.weight,
        idempotent: kind.idempotent,
        entry: None,
        sent_us: SENT_US,
        ended_us: SENT_US + 50_000,
        latency: Duration::from_millis(50),
        status: None,
        ending,
        detail: String::new(),
    }
}

/// A run of it, `after_us` after it was sent, in one of two targets.
fn run(instance: usize, after_us: u64) -> LedgerRun {
    let started_us = SENT_US + after_us;
    let run = Run {
        id: "s1-0-1".to_owned(),
        key: None,
        path: KINDS[1].path.to_owned(),
        kind: None,
        incarnation: 1,
        started_us,
        ended_us: Some(started_us + 10_000),
        finished: true,
        status: Some(200),
        received_bytes: 0,
        end: RunEnd::Finished,
    };
    LedgerRun { instance, run }
}

fn name(n: usize) -> InstanceId {
    InstanceId::new(&format!("desk-{n}")).expect("a name")
}

/// What was seen, and whether that keeps every promise.
#[derive(Debug)]
struct Case {
    ending: Ending,
    runs: Vec<LedgerRun>,
    /// What else happened, at microseconds after the call was sent.
    events: Vec<(u64, Event)>,
    stops: Vec<Stopped>,
    kept: bool,
}

fn seen(ending: Ending, runs: Vec<LedgerRun>, kept: bool) -> Case {
    Case {
        ending,
        runs,
        events: Vec::new(),
        stops: Vec::new(),
        kept,
    }
}

fn during(events: Vec<(u64, Event)>, kept: bool) -> Case {
    Case {
        events,
        ..seen(Ending::Answered, vec![run(0, 2_500_000)], kept)
    }
}

/// Guards against a judge that finds nothing.
#[rstest]
#[case::answered(seen(Ending::Answered, vec![run(0, 1_000)], true))]
#[case::answered_by_nobody(seen(Ending::Answered, Vec::new(), false))]
#[case::silence(seen(Ending::Silence, vec![run(0, 1_000)], false))]
#[case::broken_off(seen(Ending::Broken, vec![run(0, 1_000)], false))]
#[case::anothers_answer(seen(Ending::Wrong, vec![run(0, 1_000)], false))]
#[case::told_unknown(seen(Ending::Unknown, vec![run(0, 1_000)], true))]
#[case::refused(seen(Ending::NotRun, Vec::new(), true))]
#[case::refused_though_run(seen(Ending::NotRun, vec![run(0, 1_000)], false))]
#[case::run_twice(seen(Ending::Answered, vec![run(0, 1_000), run(1, 2_000)], false))]
#[case::soon_after_a_drain_began(during(vec![(1_000_000, Event::DrainBegan { target: name(0) })], true))]
#[case::long_after_a_drain_began(during(vec![(0, Event::DrainBegan { target: name(0) })], false))]
#[case::a_stop_that_cut(during(vec![(0, Event::DrainEnded { target: name(0), cut: 1 })], false))]
fn a_broken_promise_is_found(#[case] case: Case) {
    let log = Log::default();
    for (after_us, event) in case.events {
        log.record_at(SENT_US + after_us, event);
    }
    let mut record = claim(case.ending);
    if let Some(last) = case.runs.iter().filter_map(|run| run.run.ended_us).max() {
        record.ended_us = last + 1_000;
    }
    let seen = Seen {
        log: &log,
        records: &[record],
        rude: Rude::default(),
        runs: &case.runs,
        names: &[name(0), name(1)],
        hurt: &[],
        stops: &case.stops,
        kills: &[],
        stalled: &[],
        domains: &["north", "north"],
        catalogues: &[],
    };
    let schedule = Schedule { steps: Vec::new() };
    let report = Report::judge(OPTIONS, &schedule, &seen, &Bounds::default());
    assert_eq!(report.kept, case.kept, "{:?}", report.told);
}

/// Copies of a request that crashes targets, handed to a target at these seconds.
fn copies(at_s: &[u64], end: RunEnd) -> Vec<LedgerRun> {
    let copy = |at_s: &u64| {
        let started_us = 1_000_000 * at_s;
        let mut run = run(0, 0);
        run.run.path = CRASHING_PATH.to_owned();
        run.run.started_us = started_us;
        run.run.ended_us = Some(started_us + 5_000);
        run.run.end = end;
        run
    };
    at_s.iter().map(copy).collect()
}

#[derive(Debug)]
struct Copies {
    at_s: &'static [u64],
    end: RunEnd,
    hurt: &'static [Hurt],
    kept: bool,
}

#[rstest]
#[case::within_the_time_to_tell(Copies {
    at_s: &[1, 2, 3, 4, 4, 5, 5, 6],
    end: RunEnd::Crashed,
    hurt: &[],
    kept: true,
})]
#[case::three_later(Copies {
    at_s: &[1, 2, 3, 7, 8, 9],
    end: RunEnd::Crashed,
    hurt: &[],
    kept: true,
})]
#[case::four_later(Copies {
    at_s: &[1, 2, 3, 7, 8, 9, 10],
    end: RunEnd::Crashed,
    hurt: &[],
    kept: false,
})]
#[case::beside_a_node_that_was_cut_off_lately(Copies {
    at_s: &[1, 2, 3, 7, 8, 9, 10],
    end: RunEnd::Crashed,
    hurt: &[Hurt { instance: 0, from_us: 6_000_000, to_us: 8_000_000 }],
    kept: true,
})]
#[case::beside_another_than_that(Copies {
    at_s: &[1, 2, 3, 7, 8, 9, 10],
    end: RunEnd::Crashed,
    hurt: &[Hurt { instance: 1, from_us: 6_000_000, to_us: 8_000_000 }],
    kept: false,
})]
#[case::without_a_crash(Copies {
    at_s: &[1, 2, 3, 7, 8, 9, 10, 11],
    end: RunEnd::Cancelled,
    hurt: &[],
    kept: true,
})]
fn copies_that_come_too_late_break_a_promise(#[case] case: Copies) {
    let judged = Crashing::judge(&[], &copies(case.at_s, case.end), case.hurt);
    assert_eq!(judged.is_kept(), case.kept, "{judged:?}: {case:?}");
}

#[test]
fn a_harmless_request_that_is_refused_breaks_a_promise() {
    let mut refused = claim(Ending::NotRun);
    assert!(Crashing::judge(&[refused.clone()], &[], &[]).is_kept());
    refused.detail = "{\"reason\":\"quarantined\"}".to_owned();
    assert!(!Crashing::judge(&[refused], &[], &[]).is_kept());
}

/// When a node is seen to have the catalogue of a revision in force, in seconds.
fn in_force(at_s: u64, revision: u64) -> (u64, Event) {
    let revision = Revision::new(revision).expect("a revision");
    let version = Version::new(revision, Digest::of(b""));
    let held = Held {
        catalogue: version,
        instances: version,
        content: Digest::of(b""),
        dangling: Vec::new(),
    };
    let held = Arc::new(held);
    let node = name(0);
    (at_s, Event::InForce { node, held })
}

/// A request that its target begins, in milliseconds, after what happened at the node
/// beside it.
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

/// Guards against a judge that misses work in an evacuated failure domain, or finds some
/// where it is allowed. The second catalogue evacuates it from 10 s on, the fourth takes it
/// back at 20 s.
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
    let log = Log::default();
    for (at_s, event) in &case.in_force {
        log.record_at(1_000_000 * at_s, event.clone());
    }
    let catalogue = |revision, at_s: u64, evacuated: &[&'static str]| PublishedCatalogue {
        revision,
        at_us: 1_000_000 * at_s,
        evacuated: evacuated.to_vec(),
    };
    let catalogues = [
        catalogue(1, 0, &[]),
        catalogue(2, 10, &["north"]),
        catalogue(3, 14, &["south", "north"]),
        catalogue(4, 20, &["south"]),
    ];
    let mut of_it = run(0, 0);
    of_it.run.started_us = 1_000 * case.at_ms;
    let id = name(0);
    let evacuee = Evacuee {
        instance: 0,
        id: &id,
        domain: "north",
    };
    let (history, _) = log.copy();
    let evacuees = std::iter::once(evacuee);
    let kills = case.killed_s.map(|at_s| Stopped {
        instance: 0,
        at_us: 1_000_000 * at_s,
    });
    let kills = Vec::from_iter(kills);
    let runs = [of_it];
    let judged = Evacuated::judge(evacuees, &catalogues, &history, &runs, &kills, case.stalled);
    assert_eq!(judged.is_kept(), case.kept, "{judged:?}: {case:?}");
}

/// Requests that a target begins evenly from a time on, in milliseconds, after what happened
/// at the node beside it.
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

/// Guards against a judge that misses what cold targets get, or finds too much where it is
/// allowed. The second catalogue evacuates the failure domain from 10 s on, the fourth takes
/// it back at 20 s, and 40 requests begin.
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
    let log = Log::default();
    for (at_s, event) in &case.in_force {
        log.record_at(1_000_000 * at_s, event.clone());
    }
    let catalogue = |revision, at_s: u64, evacuated: &[&'static str]| PublishedCatalogue {
        revision,
        at_us: 1_000_000 * at_s,
        evacuated: evacuated.to_vec(),
    };
    let catalogues = [
        catalogue(1, 0, &[]),
        catalogue(2, 10, &["north"]),
        catalogue(4, 20, &[]),
    ];
    let runs = (0..40).map(|n| {
        let mut run = run(0, 0);
        run.run.started_us = 1_000 * (case.from_ms + n * case.every_ms);
        run
    });
    let runs: Vec<LedgerRun> = runs.collect();
    let id = name(0);
    let evacuee = Evacuee {
        instance: 0,
        id: &id,
        domain: "north",
    };
    let (history, _) = log.copy();
    let ends = case.killed_s.map(|at_s| Stopped {
        instance: 0,
        at_us: 1_000_000 * at_s,
    });
    let ends = Vec::from_iter(ends);
    let evacuees = std::iter::once(evacuee);
    let judged = ColdReturns::judge(evacuees, &catalogues, &history, &runs, &ends, case.stalled);
    assert_eq!(judged.begun_too_cold, case.excess, "{judged:?}: {case:?}");
}
