use std::time::Duration;

use rstest::rstest;
use sassafrasspool_bench::chaos::catalogue::KINDS;
use sassafrasspool_bench::chaos::events::Stopped;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::Ending;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Event;
use sassafrasspool_standin::target::Run;
use sassafrasspool_standin::target::RunEnd;

use super::Crashing;
use super::Hurt;
use super::Report;
use super::Seen;
use crate::callers::CRASHING_PATH;
use crate::callers::Rude;
use crate::options::Options;
use crate::schedule::Schedule;

mod evacuations;

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

/// The record of a claim, which isn't idempotent.
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

/// A run of the claim in one of two targets, `after_us` after it was sent.
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

/// The observations of a run, and whether they are free of violations.
#[derive(Debug)]
struct Case {
    ending: Ending,
    runs: Vec<LedgerRun>,
    /// Further events, each at microseconds after the call was sent.
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

/// Guards against a verdict that misses violations, or reports a correct run.
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

/// Runs of a request that crashes targets, started at these seconds.
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
