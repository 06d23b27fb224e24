use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::http::HeaderName;
use axum::http::StatusCode;
use axum::routing::get;
use rstest::rstest;
use sassafrasspool_core::ColdTolerance;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Revision;
use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::TargetId;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::track_cold_state;
use super::wait_until_ready;
use crate::Dialect;
use crate::Shared;
use crate::View;
use crate::log::LogSink;
use crate::settings::TargetSettings;
use crate::testing::instance;
use crate::testing::locality_and_window;
use crate::testing::name;
use crate::testing::snapshot;

const CATALOGUE: &str = "
services:
  workshop-desk:
    owner: fitters
    class: standard
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 2000}
    cold_start: {lasts_ms: 60000, per_s: 10, probe_path: /health}
";

const COLD_HEADER: &str = "x-cold-left";

/// A target's answer to a cold-start probe, and its effect.
#[derive(Debug, Clone, Copy)]
struct ProbeCase {
    status: StatusCode,
    header: Option<&'static str>,
    /// The cold time that remains after the probe, in milliseconds; `None` if the
    /// probe changes nothing.
    remaining_ms: Option<u64>,
}

/// The shared state of node `wd-1` before its first view.
fn shared() -> Arc<Shared> {
    let dialect = Dialect {
        cold_left_ms: Some(HeaderName::from_static(COLD_HEADER)),
        ..Dialect::NATIVE
    };
    let incarnation = Incarnation::from_start_millis(1);
    let shared = Shared::with_dialect(dialect, LogSink::silent(), name("wd-1"), incarnation);
    let (locality, dedup) = locality_and_window("wd-1");
    shared.configure_routing(locality, dedup);
    Arc::new(shared)
}

fn view() -> View {
    view_of("i-1", 1, Duration::ZERO)
}

/// The view of a list that names this generation of the target with this cold time.
fn view_of(generation: &str, revision: u64, cold_for: Duration) -> View {
    let instance = Instance {
        target: Some(TargetGeneration {
            id: TargetId::new(generation).expect("valid target id"),
            listed_revision: Revision::new(revision).expect("a revision"),
            started_ms: None,
        }),
        cold_for,
        ..instance("wd-1")
    };
    View {
        snapshot: snapshot(CATALOGUE, revision, vec![instance]),
        states: Arc::new(HashMap::new()),
    }
}

/// Starts a target that answers its health path as `case` says.
async fn start_target(case: ProbeCase) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let addr = listener.local_addr().expect("bound address");
    let headers = case.header.map(|left| [(COLD_HEADER, left)]);
    let answer = move || async move { (case.status, headers.unwrap_or([("x-none", "")])) };
    let app = Router::new().route("/health", get(answer));
    tokio::spawn(async move { axum::serve(listener, app).await });
    addr
}

/// Guards against a target that counts as cold although it has reported that it is warm, and
/// against one that counts as warm because it rejected the probe.
#[rstest]
#[case::warm(ProbeCase { status: StatusCode::OK, header: None, remaining_ms: Some(0) })]
#[case::cold(ProbeCase { status: StatusCode::OK, header: Some("30000"), remaining_ms: Some(30_000) })]
#[case::unhealthy(ProbeCase { status: StatusCode::SERVICE_UNAVAILABLE, header: Some("0"), remaining_ms: Some(0) })]
#[case::probe_rejected(ProbeCase { status: StatusCode::SERVICE_UNAVAILABLE, header: None, remaining_ms: None })]
#[case::not_a_number(ProbeCase { status: StatusCode::OK, header: Some("soon"), remaining_ms: None })]
#[tokio::test]
async fn probe_sets_the_remaining_cold_time(#[case] case: ProbeCase) {
    let shared = shared();
    let addr = start_target(case).await;
    tokio::spawn(track_cold_state(Arc::clone(&shared), addr));
    shared.set_view(view());
    let remaining = || shared.cold_tracker().cold_left(shared.clock().now());
    assert!(remaining() > Duration::from_secs(50));
    let Some(remaining_ms) = case.remaining_ms else {
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(remaining() > Duration::from_secs(50));
        return;
    };
    let started = Instant::now();
    while remaining() > Duration::from_millis(remaining_ms) {
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "{:?}",
            remaining()
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Starts a target that answers every request with these bytes and closes the connection.
async fn start_raw_target(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let addr = listener.local_addr().expect("bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 1024];
            // A probe has no body, so that its head arrives at once.
            if matches!(stream.read(&mut buf).await, Ok(1..)) {
                // The node may have closed the connection already.
                let _ = stream.write_all(answer).await;
            }
        }
    });
    addr
}

/// Guards against a flood at a cold target whose malformed answer to a probe counts as a
/// report, and against a target that counts as ready by such an answer.
#[rstest]
#[case::unknown_coding(b"HTTP/1.1 200 OK\r\nx-cold-left: 0\r\ntransfer-encoding: chunkeX\r\n\r\n")]
#[case::length_beside_chunks(
    b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::unreadable_length_of_no_body(
    b"HTTP/1.1 204 No Content\r\nx-cold-left: 0\r\ncontent-length: 0x\r\n\r\n"
)]
#[case::unreadable_length(b"HTTP/1.1 200 OK\r\nx-cold-left: 0\r\ncontent-length: 0x\r\n\r\n")]
#[case::unsolicited_upgrade(b"HTTP/1.1 101 OK\r\nx-cold-left: 0\r\ncontent-length: 0\r\n\r\n")]
#[case::status_000(b"HTTP/1.1 000 OK\r\nx-cold-left: 0\r\ncontent-length: 0\r\n\r\n")]
#[case::status_600(b"HTTP/1.1 600 OK\r\nx-cold-left: 0\r\ncontent-length: 0\r\n\r\n")]
#[case::line_feed_in_the_head(b"HTTP/1.1 200 OK\r\nx-cold-left: 0\n\r\ncontent-length: 0\r\n\r\n")]
#[case::no_colon(b"HTTP/1.1 200 OK\r\nx-cold-left: 0\r\nglass\r\ncontent-length: 0\r\n\r\n")]
#[case::name_with_blank(
    b"HTTP/1.1 200 OK\r\nx-cold-left: 0\r\nx glass: 1\r\ncontent-length: 0\r\n\r\n"
)]
#[tokio::test]
async fn a_malformed_answer_to_a_probe_reports_nothing(#[case] answer: &'static [u8]) {
    let shared = shared();
    let addr = start_raw_target(answer).await;
    tokio::spawn(track_cold_state(Arc::clone(&shared), addr));
    shared.set_view(view());
    let target = TargetSettings {
        addr,
        probe_interval: Duration::from_millis(10),
        ready_path: Some("/health".to_owned()),
        slots: 1,
        connections: 1,
        cold_tolerance: ColdTolerance::default(),
    };
    let ready = timeout(Duration::from_millis(200), wait_until_ready(target)).await;
    assert!(ready.is_err(), "the target counts as ready");
    let left = shared.cold_tracker().cold_left(shared.clock().now());
    assert!(left > Duration::from_secs(50), "{left:?}");
}

/// Guards against a flood at the next generation of a target, because a probe that the previous
/// one answered as warm was still on its way when the list named the next one.
#[tokio::test]
async fn probe_of_a_previous_generation_does_not_end_the_cold_time() {
    let shared = shared();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let addr = listener.local_addr().expect("bound address");
    let probed = Arc::new(Notify::new());
    let replaced = Arc::new(Notify::new());
    let [was_probed, was_replaced] = [Arc::clone(&probed), Arc::clone(&replaced)];
    let answer = move || async move {
        probed.notify_one();
        replaced.notified().await;
        StatusCode::OK
    };
    let app = Router::new().route("/health", get(answer));
    tokio::spawn(async move { axum::serve(listener, app).await });
    tokio::spawn(track_cold_state(Arc::clone(&shared), addr));
    shared.set_view(view());
    was_probed.notified().await;
    shared.set_view(view_of("i-2", 2, Duration::from_secs(50)));
    was_replaced.notify_one();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let left = shared.cold_tracker().cold_left(shared.clock().now());
    assert!(left > Duration::from_secs(40), "{left:?}");
}

/// Guards against a flood at a target that became cold again shortly before its first cold time
/// ended, which no list reported.
#[tokio::test]
async fn target_that_is_cold_again_at_the_end_of_a_cold_time_stays_cold() {
    let shared = shared();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let addr = listener.local_addr().expect("bound address");
    let probes = Arc::new(AtomicUsize::new(0));
    let answer = move || async move {
        let left = match probes.fetch_add(1, Ordering::Relaxed) {
            0 => "800",
            _ => "30000",
        };
        (StatusCode::OK, [(COLD_HEADER, left)])
    };
    let app = Router::new().route("/health", get(answer));
    tokio::spawn(async move { axum::serve(listener, app).await });
    tokio::spawn(track_cold_state(Arc::clone(&shared), addr));
    shared.set_view(view());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let left = shared.cold_tracker().cold_left(shared.clock().now());
    assert!(left > Duration::from_secs(20), "{left:?}");
}
