//! A target stand-in over real connections: slots, limits, lives and lies.

use std::num::NonZeroU32;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use rstest::rstest;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::CrashOn;
use sassafrasspool_standin::target::HealthReport;
use sassafrasspool_standin::target::Load;
use sassafrasspool_standin::target::RunEnd;
use sassafrasspool_standin::target::answer_body;
use tokio::net::TcpStream;

use crate::support::Caller;
use crate::support::is_closed_on_arrival;
use crate::support::keep_busy;
use crate::support::request;
use crate::support::start;
use crate::support::until;
use crate::support::working_for;

/// Longer than any test runs, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

fn limited(slots: u32, connections: u32) -> TargetSettings {
    TargetSettings {
        slots: NonZeroU32::new(slots).unwrap(),
        connections: NonZeroU32::new(connections).unwrap(),
        ..TargetSettings::default()
    }
}

fn plain(path: &str) -> http::Request<Full<Bytes>> {
    request(path).body(Full::default()).unwrap()
}

fn assert_refused(answer: &Response<Bytes>, reason: &str) {
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.body(), reason);
}

struct AnswerCase {
    sent: usize,
    asked: Option<&'static str>,
    status: u16,
    body: Bytes,
}

#[rstest]
#[case::nothing_asked(AnswerCase { sent: 0, asked: None, status: 200, body: answer_body("r-1", 0) })]
#[case::small(AnswerCase { sent: 5, asked: Some("10"), status: 200, body: answer_body("r-1", 10) })]
#[case::large(AnswerCase { sent: 300_000, asked: Some("1000000"), status: 200, body: answer_body("r-1", 1_000_000) })]
#[case::too_large(AnswerCase { sent: 0, asked: Some("67108865"), status: 400, body: "check: x-answer-bytes is at most 64 MiB".into() })]
#[case::no_number(AnswerCase { sent: 0, asked: Some("-1"), status: 400, body: "check: x-answer-bytes must be a whole number".into() })]
#[tokio::test]
async fn answers(#[case] case: AnswerCase) {
    let target = start(TargetSettings::default()).await;
    let mut req = request("/claims");
    if let Some(asked) = case.asked {
        req = req.header("x-answer-bytes", asked);
    }
    let sent = Full::from(vec![b'x'; case.sent]);
    let mut caller = Caller::connect(target.addr()).await;
    let answer = caller.send(req.body(sent).unwrap()).await.unwrap();
    assert_eq!(answer.status(), case.status);
    assert_eq!(*answer.body(), case.body);
    let ran = case.status == 200;
    let header = |name| {
        answer
            .headers()
            .get(name)
            .map(|value| value.to_str().unwrap())
    };
    assert_eq!(header("x-request-id"), ran.then_some("r-1"));
    assert_eq!(
        header("x-received-bytes"),
        ran.then_some(case.sent.to_string().as_str())
    );
    assert_eq!(target.ledger().runs.len(), usize::from(ran));
}

/// Two requests hold both slots for as long as they like. A third is told at
/// once that it was shed; it doesn't run and isn't in the ledger.
#[tokio::test]
async fn more_requests_than_slots_are_shed() {
    let target = start(limited(2, 10)).await;
    target.set_hang_after_run(true).await;
    let first = Caller::connect(target.addr()).await.send_apart(plain("/a"));
    let _second = Caller::connect(target.addr()).await.send_apart(plain("/b"));
    until(|| target.stats().inflight == 2).await;
    let mut third = Caller::connect(target.addr()).await;
    let shed = third.get("/c").await.unwrap();
    assert_refused(&shed, "shed");
    assert_eq!(target.stats().shed, 1);
    assert!(target.ledger().runs.iter().all(|run| run.path != "/c"));

    first.abort();
    until(|| target.stats().inflight == 1).await;
    target.set_hang_after_run(false).await;
    assert_eq!(third.get("/c").await.unwrap().status(), StatusCode::OK);
}

/// A caller opens more connections than the target holds. The one too many
/// is closed on arrival; as soon as another is closed, there is room again.
#[tokio::test]
async fn connections_over_the_limit_are_refused() {
    let target = start(limited(10, 2)).await;
    let mut first = Caller::connect(target.addr()).await;
    let mut second = Caller::connect(target.addr()).await;
    assert!(first.get("/a").await.is_ok());
    assert!(second.get("/b").await.is_ok());
    assert!(is_closed_on_arrival(target.addr()).await);
    let stats = target.stats();
    assert_eq!((stats.connections_peak, stats.connections_refused), (2, 1));

    drop(first);
    until(|| target.stats().connections == 1).await;
    let mut fourth = Caller::connect(target.addr()).await;
    assert!(fourth.get("/d").await.is_ok());
    assert_eq!(target.ledger().runs.len(), 3);
}

/// A target that has just started refuses its first callers and its probe.
/// A caller that tries again until it is warm is served.
#[tokio::test]
async fn a_cold_target_refuses_until_it_is_warm() {
    let cfg = TargetSettings {
        cold_start_ms: HOUR_MS,
        ..TargetSettings::default()
    };
    let target = start(cfg).await;
    let mut caller = Caller::connect(target.addr()).await;
    let refused = caller.get("/a").await.unwrap();
    assert_refused(&refused, "cold");
    let mut caller = Caller::connect(target.addr()).await;
    assert_refused(&caller.get("/healthz").await.unwrap(), "cold");
    assert_eq!(target.stats().cold_refused, 1);
    assert_eq!(target.ledger().runs.len(), 0);

    let cfg = TargetSettings {
        cold_start_ms: 30,
        ..TargetSettings::default()
    };
    let target = start(cfg).await;
    let mut caller = Caller::connect(target.addr()).await;
    while caller.get("/healthz").await.unwrap().status() != StatusCode::OK {}
    assert_eq!(caller.get("/a").await.unwrap().status(), StatusCode::OK);
}

/// A target is told to leave while it works. What it has is answered whole;
/// what comes after is refused and doesn't run.
#[tokio::test]
async fn a_draining_target_finishes_what_it_has() {
    let target = start(working_for(200_000)).await;
    let under_way = keep_busy(&target).await;

    target.set_drain(true).await;
    let mut late = Caller::connect(target.addr()).await;
    let refused = late.get("/b").await.unwrap();
    assert_refused(&refused, "draining");
    assert_eq!(under_way.await.unwrap().unwrap().status(), StatusCode::OK);
    assert_eq!(target.stats().drain_refused, 1);
    assert_eq!(target.ledger().runs.len(), 1);
}

/// A target dies amid its work and is replaced on the same port. Its caller's
/// connection breaks, new ones are refused, and the next life serves again.
#[tokio::test]
async fn a_crashed_target_refuses_until_it_is_restarted() {
    let target = start(working_for(HOUR_MS * 1_000)).await;
    let lost = keep_busy(&target).await;

    target.crash().await;
    assert!(lost.await.unwrap().is_err());
    assert!(TcpStream::connect(target.addr()).await.is_err());
    assert_eq!(target.ledger().runs[0].end, RunEnd::Crashed);
    assert_eq!(
        (target.stats().inflight, target.stats().connections),
        (0, 0)
    );

    target.restart().await.unwrap();
    let _next = Caller::connect(target.addr()).await.send_apart(plain("/b"));
    until(|| target.ledger().runs.iter().any(|run| run.incarnation == 2)).await;
}

/// The target is stopped as planned while it works: the answer still comes.
#[tokio::test]
async fn a_planned_stop_cuts_nothing() {
    let target = start(working_for(200_000)).await;
    let addr = target.addr();
    let under_way = keep_busy(&target).await;
    let _idle = Caller::connect(addr).await;
    target.stop().await;
    assert_eq!(under_way.await.unwrap().unwrap().status(), StatusCode::OK);
    assert!(TcpStream::connect(addr).await.is_err());
}

struct LieCase {
    report: HealthReport,
    drained: bool,
    status: u16,
    inflight: u32,
}

#[rstest]
#[case::truth(LieCase { report: HealthReport::Truth, drained: false, status: 200, inflight: 1 })]
#[case::truth_drained(LieCase { report: HealthReport::Truth, drained: true, status: 503, inflight: 1 })]
#[case::well(LieCase { report: HealthReport::Well, drained: true, status: 200, inflight: 0 })]
#[case::ill(LieCase { report: HealthReport::Ill, drained: false, status: 503, inflight: 10 })]
#[case::frozen(LieCase { report: HealthReport::Frozen, drained: true, status: 200, inflight: 0 })]
#[tokio::test]
async fn health_and_load_can_lie(#[case] case: LieCase) {
    let target = start(TargetSettings::default()).await;
    target.lie_about_health(case.report).await;
    target.set_hang_after_run(true).await;
    let _busy = Caller::connect(target.addr()).await.send_apart(plain("/a"));
    until(|| target.stats().inflight == 1).await;
    target.set_drain(case.drained).await;
    let mut caller = Caller::connect(target.addr()).await;
    assert_eq!(caller.get("/healthz").await.unwrap().status(), case.status);
    let load = caller.get("/load").await.unwrap();
    let load: Load = serde_json::from_slice(load.body()).unwrap();
    assert_eq!((load.inflight, load.slots), (case.inflight, 10));
    assert_eq!(target.stats().probes, 2);
}

#[tokio::test]
async fn late_answers_are_late_but_whole() {
    let target = start(TargetSettings::default()).await;
    let late_by = Duration::from_millis(50);
    target.late_answers(1, late_by).await;
    let mut caller = Caller::connect(target.addr()).await;
    let answer = caller.get("/a").await.unwrap();
    assert_eq!(*answer.body(), answer_body("r-1", 0));
    let run = &target.ledger().runs[0];
    assert!(run.ended_us.unwrap() - run.started_us >= 50_000);
}

// A request for a certain path crashes the target under everything that it runs, and the
// target comes back by itself.
#[tokio::test]
async fn a_request_crashes_it_and_it_comes_back() {
    let target = start(TargetSettings {
        crash_on: Some(CrashOn {
            path: "/crashing".to_owned(),
            after_ms: 20,
            down_ms: 50,
        }),
        ..working_for(500_000)
    })
    .await;
    let mut other = Caller::connect(target.addr()).await;
    let mut crashing = Caller::connect(target.addr()).await;
    let (other, crashing) = tokio::join!(
        other.send(plain("/claims")),
        crashing.send(plain("/crashing")),
    );
    assert!(other.is_err() && crashing.is_err());
    until(|| {
        target
            .ledger()
            .runs
            .iter()
            .all(|run| run.end == RunEnd::Crashed)
    })
    .await;
    until(|| std::net::TcpStream::connect(target.addr()).is_ok()).await;
    let mut again = Caller::connect(target.addr()).await;
    let answered = again.send(plain("/claims")).await.unwrap();
    assert_eq!(answered.status(), StatusCode::OK);
    assert_eq!(target.ledger().runs.last().unwrap().incarnation, 2);
}
