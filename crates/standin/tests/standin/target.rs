//! Tests a target stand-in over real connections: slots, limits, restarts and faults.

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
use crate::support::request;
use crate::support::spawn_running_request;
use crate::support::start;
use crate::support::wait_until;
use crate::support::with_service_time_us;

/// Longer than any test runs, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

fn limited(slots: u32, connections: u32) -> TargetSettings {
    TargetSettings {
        slots: NonZeroU32::new(slots).unwrap(),
        connections: NonZeroU32::new(connections).unwrap(),
        ..TargetSettings::default()
    }
}

fn empty_request(path: &str) -> http::Request<Full<Bytes>> {
    request(path).body(Full::default()).unwrap()
}

fn assert_refused(answer: &Response<Bytes>, reason: &str) {
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.body(), reason);
}

struct AnswerCase {
    sent: usize,
    answer_bytes: Option<&'static str>,
    status: u16,
    body: Bytes,
}

#[rstest]
#[case::no_size_requested(AnswerCase { sent: 0, answer_bytes: None, status: 200, body: answer_body("r-1", 0) })]
#[case::small(AnswerCase { sent: 5, answer_bytes: Some("10"), status: 200, body: answer_body("r-1", 10) })]
#[case::large(AnswerCase { sent: 300_000, answer_bytes: Some("1000000"), status: 200, body: answer_body("r-1", 1_000_000) })]
#[case::too_large(AnswerCase { sent: 0, answer_bytes: Some("67108865"), status: 400, body: "check: x-answer-bytes is at most 64 MiB".into() })]
#[case::no_number(AnswerCase { sent: 0, answer_bytes: Some("-1"), status: 400, body: "check: x-answer-bytes must be a whole number".into() })]
#[tokio::test]
async fn answers_follow_the_request_headers(#[case] case: AnswerCase) {
    let target = start(TargetSettings::default()).await;
    let mut req = request("/claims");
    if let Some(answer_bytes) = case.answer_bytes {
        req = req.header("x-answer-bytes", answer_bytes);
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

/// Guards against a target that queues or runs a request without a free slot.
/// Two hanging requests hold both slots; the third must be shed immediately.
#[tokio::test]
async fn requests_without_a_free_slot_are_shed() {
    let target = start(limited(2, 10)).await;
    target.set_hang_after_run(true).await;
    let first = Caller::connect(target.addr())
        .await
        .spawn_send(empty_request("/a"));
    let _second = Caller::connect(target.addr())
        .await
        .spawn_send(empty_request("/b"));
    wait_until(|| target.stats().inflight == 2).await;
    let mut third = Caller::connect(target.addr()).await;
    let shed = third.get("/c").await.unwrap();
    assert_refused(&shed, "shed");
    assert_eq!(target.stats().shed, 1);
    assert!(target.ledger().runs.iter().all(|run| run.path != "/c"));

    first.abort();
    wait_until(|| target.stats().inflight == 1).await;
    target.set_hang_after_run(false).await;
    assert_eq!(third.get("/c").await.unwrap().status(), StatusCode::OK);
}

/// Guards against a connection limit that isn't enforced or never frees a place.
/// A connection over the limit is closed on arrival until another one is closed.
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
    wait_until(|| target.stats().connections == 1).await;
    let mut fourth = Caller::connect(target.addr()).await;
    assert!(fourth.get("/d").await.is_ok());
    assert_eq!(target.ledger().runs.len(), 3);
}

/// Guards against a cold target that accepts work or reports itself ready, and
/// against one that never warms up.
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

/// Guards against a drain that cuts off a run in progress, or that admits a
/// request which arrives later.
#[tokio::test]
async fn a_draining_target_finishes_runs_and_refuses_new_ones() {
    let target = start(with_service_time_us(200_000)).await;
    let in_flight = spawn_running_request(&target).await;

    target.set_drain(true).await;
    let mut late = Caller::connect(target.addr()).await;
    let refused = late.get("/b").await.unwrap();
    assert_refused(&refused, "draining");
    assert_eq!(in_flight.await.unwrap().unwrap().status(), StatusCode::OK);
    assert_eq!(target.stats().drain_refused, 1);
    assert_eq!(target.ledger().runs.len(), 1);
}

/// Guards against a crash that leaves connections open or the port unusable. The
/// caller's connection breaks, new ones are refused, and the restart serves again.
#[tokio::test]
async fn a_crashed_target_refuses_until_it_is_restarted() {
    let target = start(with_service_time_us(HOUR_MS * 1_000)).await;
    let lost = spawn_running_request(&target).await;

    target.crash().await;
    assert!(lost.await.unwrap().is_err());
    assert!(TcpStream::connect(target.addr()).await.is_err());
    assert_eq!(target.ledger().runs[0].end, RunEnd::Crashed);
    assert_eq!(
        (target.stats().inflight, target.stats().connections),
        (0, 0)
    );

    target.restart().await.unwrap();
    let _next = Caller::connect(target.addr())
        .await
        .spawn_send(empty_request("/b"));
    wait_until(|| target.ledger().runs.iter().any(|run| run.incarnation == 2)).await;
}

/// Guards against a graceful stop that cuts off a run in progress.
#[tokio::test]
async fn a_graceful_stop_finishes_runs() {
    let target = start(with_service_time_us(200_000)).await;
    let addr = target.addr();
    let in_flight = spawn_running_request(&target).await;
    let _idle = Caller::connect(addr).await;
    target.stop().await;
    assert_eq!(in_flight.await.unwrap().unwrap().status(), StatusCode::OK);
    assert!(TcpStream::connect(addr).await.is_err());
}

struct HealthCase {
    report: HealthReport,
    drained: bool,
    status: u16,
    inflight: u32,
}

#[rstest]
#[case::truth(HealthCase { report: HealthReport::Truth, drained: false, status: 200, inflight: 1 })]
#[case::truth_drained(HealthCase { report: HealthReport::Truth, drained: true, status: 503, inflight: 1 })]
#[case::well(HealthCase { report: HealthReport::Well, drained: true, status: 200, inflight: 0 })]
#[case::ill(HealthCase { report: HealthReport::Ill, drained: false, status: 503, inflight: 10 })]
#[case::frozen(HealthCase { report: HealthReport::Frozen, drained: true, status: 200, inflight: 0 })]
#[tokio::test]
async fn health_and_load_follow_the_configured_report(#[case] case: HealthCase) {
    let target = start(TargetSettings::default()).await;
    target.set_health_report(case.report).await;
    target.set_hang_after_run(true).await;
    let _busy = Caller::connect(target.addr())
        .await
        .spawn_send(empty_request("/a"));
    wait_until(|| target.stats().inflight == 1).await;
    target.set_drain(case.drained).await;
    let mut caller = Caller::connect(target.addr()).await;
    assert_eq!(caller.get("/healthz").await.unwrap().status(), case.status);
    let load = caller.get("/load").await.unwrap();
    let load: Load = serde_json::from_slice(load.body()).unwrap();
    assert_eq!((load.inflight, load.slots), (case.inflight, 10));
    assert_eq!(target.stats().probes, 2);
}

#[tokio::test]
async fn late_answers_are_delayed_and_complete() {
    let target = start(TargetSettings::default()).await;
    let late_by = Duration::from_millis(50);
    target.set_late_answers(1, late_by).await;
    let mut caller = Caller::connect(target.addr()).await;
    let answer = caller.get("/a").await.unwrap();
    assert_eq!(*answer.body(), answer_body("r-1", 0));
    let run = &target.ledger().runs[0];
    assert!(run.ended_us.unwrap() - run.started_us >= 50_000);
}

// Guards against a crashing request that fails alone, and against a target that doesn't
// restart by itself. The crash must end every run.
#[tokio::test]
async fn a_crashing_request_ends_all_runs_and_the_target_restarts() {
    let target = start(TargetSettings {
        crash_on: Some(CrashOn {
            path: "/crashing".to_owned(),
            after_ms: 20,
            down_ms: 50,
        }),
        ..with_service_time_us(500_000)
    })
    .await;
    let mut other = Caller::connect(target.addr()).await;
    let mut crashing = Caller::connect(target.addr()).await;
    let (other, crashing) = tokio::join!(
        other.send(empty_request("/claims")),
        crashing.send(empty_request("/crashing")),
    );
    assert!(other.is_err() && crashing.is_err());
    wait_until(|| {
        target
            .ledger()
            .runs
            .iter()
            .all(|run| run.end == RunEnd::Crashed)
    })
    .await;
    wait_until(|| std::net::TcpStream::connect(target.addr()).is_ok()).await;
    let mut again = Caller::connect(target.addr()).await;
    let answered = again.send(empty_request("/claims")).await.unwrap();
    assert_eq!(answered.status(), StatusCode::OK);
    assert_eq!(target.ledger().runs.last().unwrap().incarnation, 2);
}
