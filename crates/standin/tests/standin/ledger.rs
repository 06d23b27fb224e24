//! How runs end in the ledger, also those that are never finished.

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
use crate::support::keep_busy;
use crate::support::request;
use crate::support::start;
use crate::support::until;
use crate::support::working_for;

/// Longer than any test runs, in microseconds.
const HOUR_US: u64 = 3_600_000_000;

const LATE: &str = r#"{"late":{"every":1,"by_ms":3600000}}"#;
const HANG: &str = r#"{"hang_after_run":true}"#;
const CUT: &str = r#"{"cut_body":true}"#;

/// What brings a run to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Deed {
    /// The caller waits for the answer.
    Wait,
    /// The caller hangs up.
    HangUp,
    /// The target crashes.
    Crash,
}

struct EndCase {
    service_us: u64,
    switches: TargetSwitches,
    timeout_ms: Option<u64>,
    /// How far the run is when the deed is done.
    at: RunEnd,
    deed: Deed,
    end: RunEnd,
    finished: bool,
    status: Option<u16>,
}

impl EndCase {
    /// A run without work or faults, which finishes.
    fn plain() -> EndCase {
        EndCase {
            service_us: 0,
            switches: TargetSwitches::default(),
            timeout_ms: None,
            at: RunEnd::Finished,
            deed: Deed::Wait,
            end: RunEnd::Finished,
            finished: true,
            status: Some(200),
        }
    }

    /// A run that works for an hour until something is done to it.
    fn broken(deed: Deed, end: RunEnd) -> EndCase {
        EndCase {
            service_us: HOUR_US,
            at: RunEnd::Running,
            deed,
            end,
            finished: false,
            status: None,
            ..EndCase::plain()
        }
    }

    /// A run whose work is done under a fault, and that is at `at` then.
    fn faulty(switches: &str, at: RunEnd, deed: Deed, end: RunEnd) -> EndCase {
        let switches = serde_json::from_str(switches).unwrap();
        let status = (at == end && end == RunEnd::AnswerCut).then_some(200);
        EndCase {
            switches,
            at,
            deed,
            end,
            status,
            ..EndCase::plain()
        }
    }

    fn timed_out() -> EndCase {
        EndCase {
            service_us: HOUR_US,
            timeout_ms: Some(1),
            at: RunEnd::TimedOut,
            end: RunEnd::TimedOut,
            finished: false,
            status: Some(504),
            ..EndCase::plain()
        }
    }

    async fn start(&self) -> Target {
        let target = start(working_for(self.service_us)).await;
        target.apply_switches(&self.switches).await;
        target
    }

    async fn send(&self, target: &Target) -> JoinHandle<hyper::Result<Response<Bytes>>> {
        let mut req = request("/a").header("x-answer-bytes", "1000");
        if let Some(ms) = self.timeout_ms {
            req = req.header("x-request-timeout-ms", ms);
        }
        let caller = Caller::connect(target.addr()).await;
        caller.send_apart(req.body(Full::default()).unwrap())
    }
}

fn only_run(target: &Target) -> Option<Run> {
    let runs = target.ledger().runs;
    assert!(runs.len() <= 1);
    runs.into_iter().next()
}

async fn run_at(target: &Target, at: RunEnd) -> Run {
    until(|| only_run(target).is_some_and(|run| run.end == at)).await;
    only_run(target).unwrap()
}

#[rstest]
#[case::finished(EndCase::plain())]
#[case::cancelled(EndCase::broken(Deed::HangUp, RunEnd::Cancelled))]
#[case::crashed(EndCase::broken(Deed::Crash, RunEnd::Crashed))]
#[case::late_and_left(EndCase::faulty(LATE, RunEnd::Answering, Deed::HangUp, RunEnd::AnswerCut))]
#[case::late_and_crashed(EndCase::faulty(LATE, RunEnd::Answering, Deed::Crash, RunEnd::AnswerCut))]
#[case::hung(EndCase::faulty(HANG, RunEnd::Hung, Deed::HangUp, RunEnd::Hung))]
#[case::cut(EndCase::faulty(CUT, RunEnd::AnswerCut, Deed::Wait, RunEnd::AnswerCut))]
#[case::timed_out(EndCase::timed_out())]
#[tokio::test]
async fn every_run_ends_in_the_ledger(#[case] case: EndCase) {
    let target = case.start().await;
    let answer = case.send(&target).await;
    run_at(&target, case.at).await;
    match case.deed {
        Deed::Wait => {
            let answered = answer.await.unwrap();
            assert_eq!(answered.is_ok(), case.end != RunEnd::AnswerCut);
        }
        Deed::HangUp => answer.abort(),
        Deed::Crash => target.crash().await,
    }
    let run = run_at(&target, case.end).await;
    assert_eq!((run.id.as_str(), run.path.as_str()), ("r-1", "/a"));
    assert_eq!((run.finished, run.status), (case.finished, case.status));
    assert!(run.began());
    assert!(run.ended_us.unwrap() >= run.started_us);
    until(|| target.stats().inflight == 0).await;
}

/// A caller's connection breaks while it still sends its request. The work
/// hasn't begun, so nothing was done; the ledger says so.
#[tokio::test]
async fn a_request_that_never_comes_whole_does_not_begin() {
    let target = start(TargetSettings::default()).await;
    let mut io = TcpStream::connect(target.addr()).await.unwrap();
    let head =
        "POST /a HTTP/1.1\r\nhost: t\r\nx-request-id: r-1\r\ncontent-length: 100\r\n\r\nhalf";
    io.write_all(head.as_bytes()).await.unwrap();
    run_at(&target, RunEnd::Receiving).await;
    drop(io);
    let run = run_at(&target, RunEnd::RequestCut).await;
    assert!(!run.began() && !run.finished);
}

/// A target breaks off in the middle of an answer. The caller has the first
/// half of the right bytes and then the end of the connection.
#[tokio::test]
async fn a_cut_answer_is_half_an_answer() {
    let target = start(TargetSettings::default()).await;
    target.set_cut_body(true).await;
    let mut io = TcpStream::connect(target.addr()).await.unwrap();
    let head = "GET /a HTTP/1.1\r\nhost: t\r\nx-request-id: r-1\r\nx-answer-bytes: 996\r\n\r\n";
    io.write_all(head.as_bytes()).await.unwrap();
    let mut got = Vec::new();
    io.read_to_end(&mut got).await.unwrap();
    let head_len = got.windows(4).position(|four| four == b"\r\n\r\n").unwrap() + 4;
    assert!(got.starts_with(b"HTTP/1.1 200 OK\r\n"));
    assert_eq!(got[head_len..], answer_body("r-1", 996)[..500]);
}

/// A back end that doesn't notice that its caller left goes on to the end:
/// the effect is in force although nobody got an answer.
#[tokio::test]
async fn work_goes_on_where_cancellation_is_not_honoured() {
    let cfg = TargetSettings {
        honours_cancellation: false,
        ..working_for(100_000)
    };
    let target = start(cfg).await;
    let caller = keep_busy(&target).await;
    caller.abort();
    until(|| only_run(&target).is_some_and(|run| run.finished)).await;
}

#[tokio::test]
async fn a_full_ledger_counts_what_it_cannot_keep() {
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
async fn service_time_follows_the_kind() {
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
