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

use super::Attempt;
use super::Call;
use super::CallKind;
use super::CallRecord;
use super::Caller;
use super::Client;
use super::DueCall;
use super::Ending;
use super::EntryNodes;
use super::Keys;
use super::LedgerRun;
use super::Link;
use super::NaiveProxy;
use super::OpenLoop;
use super::Outage;
use super::OutageKind;
use super::Plan;
use super::Ports;
use super::ReadPace;
use super::RetryPolicy;
use super::SystemUnderTest;
use super::Verdict;
use super::count_outcomes;

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
fn a_plan_is_reproducible_from_its_seed_and_near_its_rate() {
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
        system: SystemUnderTest::Nodes(EntryNodes::new(addrs)),
        kinds: vec![KIND],
        run_id: "t".to_owned(),
        retry_policy: RetryPolicy::NONE,
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
async fn every_call_to_a_healthy_target_is_answered() {
    let target = start_target().await;
    let done = OpenLoop::run(plan(1), caller(vec![target.addr()])).await;
    let verdict = count_outcomes(&done.records, &ledger_of(&target), &[]);
    assert_eq!(verdict.sent, u64::try_from(plan(1).count()).unwrap());
    assert_eq!(verdict.answered, verdict.sent, "{verdict:?}");
    assert!(!verdict.has_fault(), "{verdict:?}");
    assert!((verdict.served_weighted - 1.0).abs() < f64::EPSILON);
}

#[tokio::test]
async fn an_answer_body_that_breaks_off_counts_as_cut() {
    let target = start_target().await;
    target.set_cut_body(true).await;
    let done = OpenLoop::run(plan(1), caller(vec![target.addr()])).await;
    let verdict = count_outcomes(&done.records, &ledger_of(&target), &[]);
    assert_eq!(verdict.cut, verdict.sent, "{verdict:?}");
}

/// Guards against a malformed answer that reaches a caller and counts as one of the target.
#[tokio::test]
async fn a_malformed_answer_counts_as_cut() {
    let target = start_target().await;
    target.set_malformed(true).await;
    let done = OpenLoop::run(plan(1), caller(vec![target.addr()])).await;
    let verdict = count_outcomes(&done.records, &ledger_of(&target), &[]);
    assert_eq!(verdict.cut, verdict.sent, "{verdict:?}");
}

#[tokio::test]
async fn attempts_to_a_node_that_refuses_connections_count_as_not_sent() {
    // The port is bound, so that no other process gets it, but nothing listens.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    let done = OpenLoop::run(plan(1), caller(vec![addr])).await;
    let verdict = count_outcomes(&done.records, &[], &[]);
    assert_eq!(verdict.not_sent, verdict.sent, "{verdict:?}");
}

#[tokio::test]
async fn a_request_held_back_by_a_link_runs_after_it_is_unblocked() {
    let target = start_target().await;
    let mut ports = Ports::new();
    let addr = ports.take().unwrap();
    let link = Link::start(addr, target.addr()).await.unwrap();
    link.set_blocked(true, true);
    let first_call = || plan(1).take(1).last().unwrap();
    let caller = caller(vec![link.addr()]);
    let delayed = {
        let caller = Arc::clone(&caller);
        let due = DueCall {
            call: first_call(),
            released_at: Instant::now(),
            lateness: Duration::ZERO,
        };
        tokio::spawn(async move { caller.call(due).await })
    };
    assert!(target.ledger().runs.is_empty());
    link.set_blocked(false, false);
    let records = delayed.await.unwrap();
    assert_eq!(records[0].ending, Ending::Answered);
    assert_eq!(target.ledger().runs.len(), 1);
    link.close().await;
    link.open().await.unwrap();
}

/// Guards against a slow caller that reads at once, or that loses a part of its answer.
#[tokio::test]
async fn a_slow_caller_pauses_and_receives_the_whole_answer() {
    let target = start_target().await;
    let plan = &mut Plan::new(&[KIND], RATE, LENGTH, 1);
    let call = Call {
        answer_bytes: 100_000,
        ..plan.next().unwrap()
    };
    let attempt = Attempt {
        read_pace: ReadPace {
            bytes: 10_000,
            pause: Duration::from_millis(20),
            max_pauses: 3,
        },
        ..Attempt::new("t", &call, &KIND, 1, Duration::from_secs(10))
    };
    let client = Client::default();
    let start = Instant::now();
    let exchange = client
        .exchange(&[target.addr()], &attempt, Duration::from_secs(10))
        .await;
    assert_eq!(exchange.ending, Ending::Answered);
    assert!(start.elapsed() >= Duration::from_millis(60));
}

/// Guards against counts that don't show the faults of a naive proxy.
#[tokio::test]
async fn the_naive_proxy_doubles_requests_and_refuses_falsely() {
    let target = start_target().await;
    target.set_late_answers(1, Duration::from_secs(60)).await;
    let naive = NaiveProxy {
        targets: HashMap::from([(KIND.path, vec![target.addr()])]),
        max_attempts: 3,
        attempt_timeout: Duration::from_millis(100),
    };
    let caller = Caller {
        system: SystemUnderTest::Naive(naive),
        ..Arc::into_inner(caller(Vec::new())).unwrap()
    };
    let plan = Plan::new(&[KIND], RATE, Duration::from_millis(20), 1);
    let calls = u64::try_from(plan.clone().count()).unwrap();
    let done = OpenLoop::run(plan, Arc::new(caller)).await;
    let verdict = count_outcomes(&done.records, &ledger_of(&target), &[]);
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
    expected: Verdict,
}

/// The expected counts of a case, with those fields of `verdict` that no case checks.
fn with_unchecked_fields(expected: Verdict, verdict: &Verdict) -> Verdict {
    Verdict {
        sent: verdict.sent,
        served_weighted: verdict.served_weighted,
        served_weighted_by_kind: verdict.served_weighted_by_kind.clone(),
        ..expected
    }
}

#[rstest]
#[case::answer_without_a_run_is_lost(Case {
    records: vec![record(1, Ending::Answered)],
    runs: vec![],
    outages: vec![],
    expected: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::answer_without_a_finished_run_is_lost(Case {
    records: vec![record(1, Ending::Answered)],
    runs: vec![run(1, RunEnd::Cancelled)],
    outages: vec![],
    expected: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::no_answer_without_an_outage_is_lost(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![run(1, RunEnd::Finished)],
    outages: vec![],
    expected: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::no_answer_from_a_killed_node_is_unknown(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![],
    outages: vec![outage(0, ENTRY, OutageKind::NodeKilled)],
    expected: Verdict { unknown: 1, unknown_by_outage: 1, ..Verdict::default() },
})]
#[case::no_answer_during_an_outage_of_another_node_is_lost(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![],
    outages: vec![outage(0, "127.0.0.1:2000", OutageKind::NodeKilled)],
    expected: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::request_that_crossed_an_idle_close_is_unknown(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![],
    outages: vec![outage(0, ENTRY, OutageKind::IdleConnectionsClosed)],
    expected: Verdict { unknown: 1, unknown_by_outage: 1, ..Verdict::default() },
})]
#[case::idle_close_doesnt_excuse_a_request_that_ran(Case {
    records: vec![record(1, Ending::Silence)],
    runs: vec![run(1, RunEnd::Finished)],
    outages: vec![outage(3, ENTRY, OutageKind::IdleConnectionsClosed)],
    expected: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::idle_close_doesnt_excuse_a_late_end(Case {
    records: vec![CallRecord { ended_us: 100_000, ..record(1, Ending::Silence) }],
    runs: vec![],
    outages: vec![outage(0, ENTRY, OutageKind::IdleConnectionsClosed)],
    expected: Verdict { lost: 1, ..Verdict::default() },
})]
#[case::answer_broken_by_a_target_crash_is_unknown(Case {
    records: vec![record(1, Ending::Broken)],
    runs: vec![run(1, RunEnd::AnswerCut)],
    outages: vec![outage(3, "127.0.0.1:2000", OutageKind::TargetCrashed)],
    expected: Verdict { unknown: 1, unknown_by_outage: 1, ..Verdict::default() },
})]
#[case::broken_answer_without_an_outage_is_cut(Case {
    records: vec![record(1, Ending::Broken)],
    runs: vec![run(1, RunEnd::AnswerCut)],
    outages: vec![],
    expected: Verdict { cut: 1, ..Verdict::default() },
})]
#[case::answer_to_another_request_is_cut_even_in_an_outage(Case {
    records: vec![record(1, Ending::Wrong)],
    runs: vec![run(1, RunEnd::Finished)],
    outages: vec![outage(0, ENTRY, OutageKind::NodeKilled)],
    expected: Verdict { cut: 1, ..Verdict::default() },
})]
#[case::two_crashed_runs_of_one_key_are_doubled(Case {
    records: vec![record(1, Ending::Unknown), record(2, Ending::Unknown)],
    runs: vec![run(1, RunEnd::Crashed), run(2, RunEnd::Crashed)],
    outages: vec![outage(3, ENTRY, OutageKind::TargetCrashed)],
    expected: Verdict { unknown: 2, doubled: 1, ..Verdict::default() },
})]
#[case::run_with_a_cut_request_doesnt_count(Case {
    records: vec![record(1, Ending::NotRun), record(2, Ending::Answered)],
    runs: vec![run(1, RunEnd::RequestCut), run(2, RunEnd::Finished)],
    outages: vec![],
    expected: Verdict { refused_not_run: 1, answered: 1, ..Verdict::default() },
})]
#[case::refusal_of_a_request_that_ran_is_false(Case {
    records: vec![record(1, Ending::NotRun)],
    runs: vec![run(1, RunEnd::Cancelled)],
    outages: vec![],
    expected: Verdict { refused_not_run: 1, false_refusals: 1, ..Verdict::default() },
})]
#[case::refused_retry_of_a_request_that_ran_is_counted(Case {
    records: vec![record(1, Ending::Unknown), record(2, Ending::NotRun)],
    runs: vec![run(1, RunEnd::Finished)],
    outages: vec![],
    expected: Verdict { unknown: 1, refused_not_run: 1, refused_after_run: 1, ..Verdict::default() },
})]
fn attempts_are_counted_by_records_ledgers_and_outages(#[case] case: Case) {
    let verdict = count_outcomes(&case.records, &case.runs, &case.outages);
    assert_eq!(verdict, with_unchecked_fields(case.expected, &verdict));
}

#[test]
fn a_call_with_several_attempts_counts_once() {
    let records = [record(1, Ending::NotRun), record(2, Ending::Answered)];
    let verdict = count_outcomes(&records, &[run(2, RunEnd::Finished)], &[]);
    let count = &verdict.served_weighted_by_kind[KIND.name];
    assert_eq!((count.calls, count.answered, count.served), (1, 1, 10));
}
