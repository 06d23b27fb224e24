use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::http::HeaderName;
use axum::http::StatusCode;
use axum::routing::get;
use rstest::rstest;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::Instance;
use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::TargetId;
use tokio::net::TcpListener;

use super::follow_coldness;
use crate::Dialect;
use crate::Shared;
use crate::View;
use crate::log::LogSink;
use crate::testing::instance;
use crate::testing::name;
use crate::testing::place;
use crate::testing::snapshot;

const CATALOGUE: &str = "
services:
  workshop-desk:
    owner: fitters
    class: standard
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 2000}
    cold_start: {lasts_ms: 60000, per_s: 10, probe_path: /health}
";

const COLD_LEFT: &str = "x-cold-left";

/// What a target answers when it is asked how cold it is.
#[derive(Debug, Clone, Copy)]
struct Answer {
    status: StatusCode,
    left_ms: Option<&'static str>,
    /// For how much longer it counts as cold then, in milliseconds.
    known_ms: Option<u64>,
}

/// The state of a node whose own target is listed.
fn shared() -> Arc<Shared> {
    let dialect = Dialect {
        cold_left_ms: Some(HeaderName::from_static(COLD_LEFT)),
        ..Dialect::OWN
    };
    let incarnation = Incarnation::from_start_millis(1);
    let shared = Shared::speaking(dialect, LogSink::silent(), name("wd-1"), incarnation);
    let (position, repeat) = place("wd-1");
    shared.place(position, repeat);
    Arc::new(shared)
}

fn view() -> View {
    let instance = Instance {
        target: Some(TargetGeneration {
            id: TargetId::new("i-1").expect("a name"),
            listed_revision: 1,
            started_ms: None,
        }),
        ..instance("wd-1")
    };
    View {
        snapshot: snapshot(CATALOGUE, 1, vec![instance]),
        states: Arc::new(HashMap::new()),
    }
}

/// A target that answers its health path so.
async fn target(answer: Answer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    let headers = answer.left_ms.map(|left| [(COLD_LEFT, left)]);
    let answer = move || async move { (answer.status, headers.unwrap_or([("x-none", "")])) };
    let app = Router::new().route("/health", get(answer));
    tokio::spawn(async move { axum::serve(listener, app).await });
    addr
}

/// Guards against a target that is taken as cold for long after it has told that it is warm,
/// and against one that is taken as warm since it refused to tell.
#[rstest]
#[case::warm(Answer { status: StatusCode::OK, left_ms: None, known_ms: Some(0) })]
#[case::cold(Answer { status: StatusCode::OK, left_ms: Some("30000"), known_ms: Some(30_000) })]
#[case::ill(Answer { status: StatusCode::SERVICE_UNAVAILABLE, left_ms: Some("0"), known_ms: Some(0) })]
#[case::full(Answer { status: StatusCode::SERVICE_UNAVAILABLE, left_ms: None, known_ms: None })]
#[case::not_a_number(Answer { status: StatusCode::OK, left_ms: Some("soon"), known_ms: None })]
#[tokio::test]
async fn a_target_tells_how_cold_it_is(#[case] answer: Answer) {
    let shared = shared();
    let addr = target(answer).await;
    tokio::spawn(follow_coldness(Arc::clone(&shared), addr));
    shared.set_view(view());
    let left = || shared.coldness().left(shared.clock().now());
    assert!(left() > Duration::from_secs(50));
    let Some(known_ms) = answer.known_ms else {
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(left() > Duration::from_secs(50));
        return;
    };
    let begun = Instant::now();
    while left() > Duration::from_millis(known_ms) {
        assert!(begun.elapsed() < Duration::from_secs(20), "{:?}", left());
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
