//! Tests how the ledger records the ends of runs, including unfinished ones.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use rstest::rstest;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::Run;
use sassafrasspool_standin::target::RunEnd;
use sassafrasspool_standin::target::ServiceTimes;
use sassafrasspool_standin::target::TargetSwitches;
use sassafrasspool_standin::target::answer_body;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::support::Caller;
use crate::support::request;
use crate::support::spawn_running_request;
use crate::support::start;
use crate::support::wait_until;
use crate::support::with_service_time_us;

/// Longer than any test runs, in microseconds.
const HOUR_US: u64 = 3_600_000_000;

const LATE: &str = r#"{"late":{"every":1,"by_ms":3600000}}"#;
const HANG: &str = r#"{"hang_after_run":true}"#;
const CUT: &str = r#"{"cut_body":true}"#;

/// The event that ends a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trigger {
    /// The caller waits for the answer.
    Wait,
    /// The caller disconnects.
    HangUp,
    /// The target crashes.
    Crash,
}

struct EndCase {
    service_us: u64,
    switches: TargetSwitches,
    timeout_ms: Option<u64>,
    /// The state of the run when the trigger happens.
    state: RunEnd,
    trigger: Trigger,
    end: RunEnd,
    finished: bool,
    status: Option<u16>,
}

impl EndCase {
    /// A run without work or faults, which finishes.
    fn finished() -> EndCase {
        EndCase {
            service_us: 0,
            switches: TargetSwitches::default(),
            timeout_ms: None,
            state: RunEnd::Finished,
            trigger: Trigger::Wait,
            end: RunEnd::Finished,
            finished: true,
            status: Some(200),
        }
    }

    /// A run of an hour that the trigger interrupts.
    fn interrupted(trigger: Trigger, end: RunEnd) -> EndCase {
        EndCase {
            service_us: HOUR_US,
            state: RunEnd::Running,
            trigger,
            end,
            finished: false,
            status: None,
            ..EndCase::finished()
        }
    }

    /// A run whose work completes under a fault, and that is then in `state`.
    fn with_fault(switches: &str, state: RunEnd, trigger: Trigger, end: RunEnd) -> EndCase {
        let switches = serde_json::from_str(switches).unwrap();
        let status = (state == end && end == RunEnd::AnswerCut).then_some(200);
        EndCase {
            switches,
            state,
            trigger,
            end,
            status,
            ..EndCase::finished()
        }
    }

    fn timed_out() -> EndCase {
        EndCase {
            service_us: HOUR_US,
            timeout_ms: Some(1),
            state: RunEnd::TimedOut,
            end: RunEnd::TimedOut,
            finished: false,
            status: Some(504),
            ..EndCase::finished()
        }
    }

    async fn start(&self) -> Target {
        let target = start(with_service_time_us(self.service_us)).await;
        target.apply_switches(&self.switches).await;
        target
    }

    async fn send(&self, target: &Target) -> JoinHandle<hyper::Result<Response<Bytes>>> {
        let mut req = request("/a").header("x-answer-bytes", "1000");
        if let Some(ms) = self.timeout_ms {
            req = req.header("x-request-timeout-ms", ms);
        }
        let caller = Caller::connect(target.addr()).await;
        caller.spawn_send(req.body(Full::default()).unwrap())
    }
}

fn only_run(target: &Target) -> Option<Run> {
    let runs = target.ledger().runs;
    assert!(runs.len() <= 1);
    runs.into_iter().next()
}

async fn wait_for_run(target: &Target, state: RunEnd) -> Run {
    wait_until(|| only_run(target).is_some_and(|run| run.end == state)).await;
    only_run(target).unwrap()
}

#[rstest]
#[case::finished(EndCase::finished())]
#[case::cancelled(EndCase::interrupted(Trigger::HangUp, RunEnd::Cancelled))]
#[case::crashed(EndCase::interrupted(Trigger::Crash, RunEnd::Crashed))]
#[case::late_and_cancelled(EndCase::with_fault(
    LATE,
    RunEnd::Answering,
    Trigger::HangUp,
    RunEnd::AnswerCut
))]
#[case::late_and_crashed(EndCase::with_fault(
    LATE,
    RunEnd::Answering,
    Trigger::Crash,
    RunEnd::AnswerCut
))]
#[case::hung(EndCase::with_fault(HANG, RunEnd::Hung, Trigger::HangUp, RunEnd::Hung))]
#[case::cut(EndCase::with_fault(CUT, RunEnd::AnswerCut, Trigger::Wait, RunEnd::AnswerCut))]
#[case::timed_out(EndCase::timed_out())]
#[tokio::test]
async fn the_ledger_records_the_end_of_every_run(#[case] case: EndCase) {
    let target = case.start().await;
    let answer = case.send(&target).await;
    wait_for_run(&target, case.state).await;
    match case.trigger {
        Trigger::Wait => {
            let answered = answer.await.unwrap();
            assert_eq!(answered.is_ok(), case.end != RunEnd::AnswerCut);
        }
        Trigger::HangUp => answer.abort(),
        Trigger::Crash => target.crash().await,
    }
    let run = wait_for_run(&target, case.end).await;
    assert_eq!((run.id.as_str(), run.path.as_str()), ("r-1", "/a"));
    assert_eq!((run.finished, run.status), (case.finished, case.status));
    assert!(run.began());
    assert!(run.ended_us.unwrap() >= run.started_us);
    wait_until(|| target.stats().inflight == 0).await;
}

/// Guards against a run recorded as begun although the caller's connection
/// broke before the request was completely received.
#[tokio::test]
async fn an_incomplete_request_does_not_begin() {
    let target = start(TargetSettings::default()).await;
    let mut io = TcpStream::connect(target.addr()).await.unwrap();
    let head =
        "POST /a HTTP/1.1\r\nhost: t\r\nx-request-id: r-1\r\ncontent-length: 100\r\n\r\nhalf";
    io.write_all(head.as_bytes()).await.unwrap();
    wait_for_run(&target, RunEnd::Receiving).await;
    drop(io);
    let run = wait_for_run(&target, RunEnd::RequestCut).await;
    assert!(!run.began() && !run.finished);
}

/// Guards against a cut that loses the first half of the answer. The caller must
/// receive that half and then the end of the connection.
#[tokio::test]
async fn a_cut_answer_contains_the_first_half() {
    let target = start(TargetSettings::default()).await;
    target.set_cut_body(true).await;
    let mut io = TcpStream::connect(target.addr()).await.unwrap();
    let head = "GET /a HTTP/1.1\r\nhost: t\r\nx-request-id: r-1\r\nx-answer-bytes: 996\r\n\r\n";
    io.write_all(head.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    io.read_to_end(&mut received).await.unwrap();
    let head_len = received
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .unwrap()
        + 4;
    assert!(received.starts_with(b"HTTP/1.1 200 OK\r\n"));
    assert_eq!(received[head_len..], answer_body("r-1", 996)[..500]);
}

/// Guards against work that ends with its caller's connection. A back end that
/// doesn't honour cancellation completes it, so its effect is in force without an answer.
#[tokio::test]
async fn work_continues_where_cancellation_is_not_honoured() {
    let cfg = TargetSettings {
        honours_cancellation: false,
        ..with_service_time_us(100_000)
    };
    let target = start(cfg).await;
    let caller = spawn_running_request(&target).await;
    caller.abort();
    wait_until(|| only_run(&target).is_some_and(|run| run.finished)).await;
}

#[tokio::test]
async fn a_full_ledger_counts_unrecorded_runs() {
    let target = start(TargetSettings {
        ledger_runs: 1,
        ..TargetSettings::default()
    })
    .await;
    let mut caller = Caller::connect(target.addr()).await;
    caller.get("/a").await.unwrap();
    caller.get("/b").await.unwrap();
    let ledger = target.ledger();
    assert_eq!((ledger.runs.len(), ledger.unrecorded), (1, 1));
}

#[tokio::test]
async fn the_kind_determines_the_service_time() {
    let service: ServiceTimes = serde_json::from_str(
        r#"{"default_us":0,"kinds_us":{"approval":30000},
            "paths":{"/adjuster":"lookup","/adjuster/approvals":"approval"}}"#,
    )
    .unwrap();
    let target = start(TargetSettings {
        service,
        ..TargetSettings::default()
    })
    .await;
    let mut caller = Caller::connect(target.addr()).await;
    for path in ["/adjuster/approvals/1", "/adjuster/approvalsx", "/other"] {
        caller.get(path).await.unwrap();
    }
    let named = request("/other").header("x-kind", "approval");
    caller
        .send(named.body(Full::default()).unwrap())
        .await
        .unwrap();
    let runs = target.ledger().runs;
    let kinds: Vec<_> = runs
        .iter()
        .map(|run| run.kind.as_ref().map(|k| k.as_str()))
        .collect();
    assert_eq!(
        kinds,
        [Some("approval"), Some("lookup"), None, Some("approval")]
    );
    let slow = Duration::from_millis(30);
    let took = |run: &Run| Duration::from_micros(run.ended_us.unwrap() - run.started_us);
    assert!(took(&runs[0]) >= slow && took(&runs[3]) >= slow);
}
