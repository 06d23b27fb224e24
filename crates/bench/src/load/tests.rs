use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use sassafrasspool_core::Class;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::Run;
use sassafrasspool_standin::target::RunEnd;
use tokio::net::TcpSocket;
use tokio_util::sync::CancellationToken;

use super::CallKind;
use super::CallRecord;
use super::Caller;
use super::Client;
use super::Due;
use super::Ending;
use super::Entries;
use super::Keys;
use super::LedgerRun;
use super::Link;
use super::Naive;
use super::OpenLoop;
use super::Outage;
use super::OutageKind;
use super::Plan;
use super::Ports;
use super::Repeats;
use super::Verdict;
use super::Way;
use super::judge;

const KIND: CallKind = CallKind {
    name: "approval",
    path: "/approvals",
    class: Class::Critical,
    weight: 10,
    idempotent: false,
    keys: Keys::All,
    share: 1,
    answer_bytes: 4_000,
    request_bytes: 2_000,
};

const RATE: f64 = 200.0;
const LENGTH: Duration = Duration::from_millis(300);

fn plan(seed: u64) -> Plan {
    Plan::new(&[KIND], RATE, LENGTH, seed)
}

#[test]
fn a_plan_repeats_from_its_seed_at_about_its_rate() {
    let long = |seed| Plan::new(&[KIND], RATE, Duration::from_secs(100), seed);
    let one: Vec<_> = long(1).collect();
    assert_eq!(one, long(1).collect::<Vec<_>>());
    assert_ne!(one, long(2).collect::<Vec<_>>());
    assert!((19_000..21_000).contains(&one.len()), "{}", one.len());
    assert!(one.windows(2).all(|pair| pair[0].due <= pair[1].due));
}

fn caller(addrs: Vec<SocketAddr>) -> Arc<Caller> {
    Arc::new(Caller {
        client: Client::default(),
        way: Way::Nodes(Entries::new(addrs)),
        kinds: vec![KIND],
        run: "t".to_owned(),
        repeats: Repeats::NONE,
        timeout: Duration::from_secs(10),
        grace: Duration::from_secs(10),
    })
}

fn ledger_of(target: &Target) -> Vec<LedgerRun> {
    let runs = target.ledger().runs.into_iter();
    runs.map(|run| LedgerRun { instance: 0, run }).collect()
}

async fn start_target() -> Target {
    let cfg = TargetSettings::default();
    Target::start(cfg, CancellationToken::new()).await.unwrap()
}

#[tokio::test]
async fn a_bare_target_loses_nothing_in_peace() {
    let target = start_target().await;
    let done = OpenLoop::run(plan(1), caller(vec![target.addr()])).await;
    let verdict = judge(&done.records, &ledger_of(&target), &[]);
    assert_eq!(verdict.sent, u64::try_from(plan(1).count()).unwrap());
    assert_eq!(verdict.answered, verdict.sent, "{verdict:?}");
    assert!(!verdict.has_fault(), "{verdict:?}");
    assert!((verdict.served_weighted - 1.0).abs() < f64::EPSILON);
}

#[tokio::test]
async fn a_body_that_breaks_off_is_cut() {
    let target = start_target().await;
    target.set_cut_body(true).await;
    let done = OpenLoop::run(plan(1), caller(vec![target.addr()])).await;
    let verdict = judge(&done.records, &ledger_of(&target), &[]);
    assert_eq!(verdict.cut, verdict.sent, "{verdict:?}");
}

#[tokio::test]
async fn a_node_that_takes_no_connection_got_nothing() {
    // Bound, so that nobody else gets the port, and not listening.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    let done = OpenLoop::run(plan(1), caller(vec![addr])).await;
    let verdict = judge(&done.records, &[], &[]);
    assert_eq!(verdict.not_sent, verdict.sent, "{verdict:?}");
}

#[tokio::test]
async fn a_held_wire_is_silent_and_delivers_late() {
    let target = start_target().await;
    let mut ports = Ports::new();
    let addr = ports.take().unwrap();
    let link = Link::start(addr, target.addr()).await.unwrap();
    link.hold(true, true);
    let one = || plan(1).take(1).last().unwrap();
    let caller = caller(vec![link.addr()]);
    let late = {
        let caller = Arc::clone(&caller);
        let due = Due {
            call: one(),
            at: Instant::now(),
            late: Duration::ZERO,
        };
        tokio::spawn(async move { caller.call(due).await })
    };
    assert!(target.ledger().runs.is_empty());
    link.hold(false, false);
    let records = late.await.unwrap();
    assert_eq!(records[0].ending, Ending::Answered);
    assert_eq!(target.ledger().runs.len(), 1);
    link.close().await;
    link.open().await.unwrap();
}

/// Guards against a judge that passes a naive proxy.
#[tokio::test]
async fn the_naive_version_doubles_and_refuses_falsely() {
    let target = start_target().await;
    target.late_answers(1, Duration::from_secs(60)).await;
    let naive = Naive {
        targets: HashMap::from([(KIND.path, vec![target.addr()])]),
        tries: 3,
        try_timeout: Duration::from_millis(100),
    };
    let caller = Caller {
        way: Way::Naive(naive),
        ..Arc::into_inner(caller(Vec::new())).unwrap()
    };
    let plan = Plan::new(&[KIND], RATE, Duration::from_millis(20), 1);
    let calls = u64::try_from(plan.clone().count()).unwrap();
    let done = OpenLoop::run(plan, Arc::new(caller)).await;
    let verdict = judge(&done.records, &ledger_of(&target), &[]);
    assert_eq!(verdict.doubled, calls, "{verdict:?}");
    assert_eq!(verdict.false_refusals, calls, "{verdict:?}");
}

const ENTRY: &str = "127.0.0.1:1000";

fn record(attempt: u32, ending: Ending) -> CallRecord {
    CallRecord {
        id: format!("t-1-{attempt}"),
        key: Some("t-1".to_owned()),
        attempt,
        kind: KIND.name,
        class: KIND.class,
        weight: KIND.weight,
        idempotent: false,
        entry: ENTRY.parse().ok(),
        sent_us: u64::from(attempt) * 1_000,
        ended_us: u64::from(attempt) * 1_000 + 500,
        latency: Duration::from_micros(500),
        status: None,
        ending,
        detail: String::new(),
    }
}

fn run(attempt: u32, end: RunEnd) -> LedgerRun {
    let run = Run {
        id: format!("t-1-{attempt}"),
        key: Some("t-1".to_owned()),
        path: KIND.path.to_owned(),
        kind: None,
        incarnation: 1,
        started_us: u64::from(attempt) * 1_000 + 100,
        ended_us: None,
        finished: end == RunEnd::Finished,
        status: None,
        received_bytes: 0,
        end,
    };
    LedgerRun { instance: 3, run }
}

fn outage(instance: usize, entry: &str, kind: OutageKind) -> Outage {
    Outage {
        instance,
        entry: entry.parse().unwrap(),
        kind,
        from_us: 1_200,
        to_us: 1_300,
    }
}

#[derive(Debug)]
struct Case {
    records: Vec<CallRecord>,
    runs: Vec<LedgerRun>,
    outages: Vec<Outage>,
    told: Verdict,
}

/// The counts that a case is about.
fn told(counts: Verdict, verdict: &Verdict) -> Verdict {
    Verdict {
        sent: verdict.sent,
        served_weighted: verdict.served_weighted,
        served_weighted_by_kind: verdict.served_weighted_by_kind.clone(),
        ..counts
    }
}

#[rstest]
#[case::an_answer_without_a_run_is_invented(Case {
    records: vec![record(1, Ending::Answered)],
    runs: vec![],
    outages: vec![],
    told: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::an_answer_to_work_that_never_ended_is_invented(Case {
    records: vec![record(1, Ending::Answered)],
    runs: vec![run(1, RunEnd::Cancelled)],
    outages: vec![],
    told: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::silence_in_peace_is_a_loss(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![run(1, RunEnd::Finished)],
    outages: vec![],
    told: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::silence_of_a_killed_node_is_known_to_be_unknown(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![],
    outages: vec![outage(0, ENTRY, OutageKind::NodeKilled)],
    told: Verdict { unknown: 1, unknown_by_death: 1, ..Verdict::default() },
})]
#[case::a_crash_elsewhere_excuses_nothing(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![],
    outages: vec![outage(0, "127.0.0.1:2000", OutageKind::NodeKilled)],
    told: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::a_request_that_crossed_the_close_at_a_stop_is_known_to_be_unknown(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![],
    outages: vec![outage(0, ENTRY, OutageKind::IdleClosed)],
    told: Verdict { unknown: 1, unknown_by_death: 1, ..Verdict::default() },
})]
#[case::a_request_that_a_stopping_node_ran_was_read(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![run(1, RunEnd::Finished)],
    outages: vec![outage(3, ENTRY, OutageKind::IdleClosed)],
    told: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::a_request_that_lay_at_a_stopping_node_didn_t_cross(Case {
    records: vec![CallRecord { ended_us: 100_000, ..record(1, Ending::Silence) }],
    runs: vec![],
    outages: vec![outage(0, ENTRY, OutageKind::IdleClosed)],
    told: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::a_target_that_crashed_amid_its_answer_breaks_it(Case {
    records: vec![record(1, Ending::Broken)],
    runs: vec![run(1, RunEnd::AnswerCut)],
    outages: vec![outage(3, "127.0.0.1:2000", OutageKind::TargetCrashed)],
    told: Verdict { unknown: 1, unknown_by_death: 1, ..Verdict::default() },
})]
#[case::a_broken_answer_in_peace_is_cut(Case {
    records: vec![record(1, Ending::Broken)],
    runs: vec![run(1, RunEnd::AnswerCut)],
    outages: vec![],
    told: Verdict { cut: 1, ..Verdict::default() },
})]
#[case::another_ones_answer_is_cut_even_amid_crashes(Case {
    records: vec![record(1, Ending::Wrong)],
    runs: vec![run(1, RunEnd::Finished)],
    outages: vec![outage(0, ENTRY, OutageKind::NodeKilled)],
    told: Verdict { cut: 1, ..Verdict::default() },
})]
#[case::two_runs_of_one_key_are_doubled_even_if_both_crashed(Case {
    records: vec![record(1, Ending::Unknown), record(2, Ending::Unknown)],
    runs: vec![run(1, RunEnd::Crashed), run(2, RunEnd::Crashed)],
    outages: vec![outage(3, ENTRY, OutageKind::TargetCrashed)],
    told: Verdict { unknown: 2, doubled: 1, ..Verdict::default() },
})]
#[case::a_run_whose_request_never_came_whole_is_none(Case {
    records: vec![record(1, Ending::NotRun), record(2, Ending::Answered)],
    runs: vec![run(1, RunEnd::RequestCut), run(2, RunEnd::Finished)],
    outages: vec![],
    told: Verdict { refused_not_run: 1, answered: 1, ..Verdict::default() },
})]
#[case::a_refusal_of_what_ran_is_false(Case {
    records: vec![record(1, Ending::NotRun)],
    runs: vec![run(1, RunEnd::Cancelled)],
    outages: vec![],
    told: Verdict { refused_not_run: 1, false_refusals: 1, ..Verdict::default() },
})]
#[case::a_refused_repeat_of_what_ran_is_noted(Case {
    records: vec![record(1, Ending::Unknown), record(2, Ending::NotRun)],
    runs: vec![run(1, RunEnd::Finished)],
    outages: vec![],
    told: Verdict { unknown: 1, refused_not_run: 1, refused_after_run: 1, ..Verdict::default() },
})]
fn each_judgement_can_fail(#[case] case: Case) {
    let verdict = judge(&case.records, &case.runs, &case.outages);
    assert_eq!(verdict, told(case.told, &verdict));
}

#[test]
fn a_call_is_served_once_however_often_it_was_tried() {
    let records = [record(1, Ending::NotRun), record(2, Ending::Answered)];
    let verdict = judge(&records, &[run(2, RunEnd::Finished)], &[]);
    let count = &verdict.served_weighted_by_kind[KIND.name];
    assert_eq!((count.calls, count.answered, count.served), (1, 1, 10));
}
