//! Reads and watches over the routers, in paused time and without sockets.

mod changes;
mod faults;

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::body::to_bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::StatusCode;
use http::header::RETRY_AFTER;
use rstest::rstest;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use super::MAX_VALUE_BYTES;
use super::PlatformSettings;
use super::REVISION_HEADER;
use super::admin_api;
use super::read_api;
use super::read_counter::ReadCounter;
use super::shared::Shared;

const LIST: &str = r#"{"instances":[{"id":"wd-1","service":"workshop-desk",
    "region":"ulaanbaatar","domain":"bayanzurkh","traffic":"127.0.0.1:9001",
    "control":"127.0.0.1:9002","slots":10,"connections":120,"state":"live"}]}"#;

/// A platform without ports.
#[derive(Debug, Clone)]
struct Rig {
    shared: Arc<Shared>,
    reads: Router,
    admin: Router,
}

/// What a call was answered with.
#[derive(Debug, PartialEq, Eq)]
struct Got {
    status: StatusCode,
    revision: Option<u64>,
    retry_after: Option<u64>,
    text: String,
    elapsed: Duration,
}

impl Rig {
    fn new(cfg: &PlatformSettings, cancel: &CancellationToken) -> Rig {
        let shared = Arc::new(Shared::new(cfg, cancel.clone()));
        let reads = read_api::router(Arc::clone(&shared));
        let admin = admin_api::router(Arc::clone(&shared));
        Rig {
            shared,
            reads,
            admin,
        }
    }

    /// A platform with the catalogue `one` at revision 1.
    async fn published() -> Rig {
        let rig = Rig::default();
        rig.put("/catalogue", "one").await;
        rig
    }

    async fn get(&self, uri: &str) -> Got {
        call(&self.reads, "GET", uri, "").await
    }

    async fn put(&self, uri: &str, body: impl Into<Bytes>) -> Got {
        call(&self.admin, "PUT", uri, body).await
    }

    async fn post(&self, uri: &str, body: &'static str) -> Got {
        call(&self.admin, "POST", uri, body).await
    }

    /// Starts a watch and returns once it waits.
    async fn watch(&self, uri: &'static str) -> JoinHandle<Got> {
        let rig = self.clone();
        let task = tokio::spawn(async move { rig.get(uri).await });
        while self.shared.stats().waiting == 0 {
            tokio::task::yield_now().await;
        }
        task
    }
}

impl Default for Rig {
    fn default() -> Rig {
        Rig::new(&PlatformSettings::default(), &CancellationToken::new())
    }
}

async fn call(router: &Router, method: &str, uri: &str, body: impl Into<Bytes>) -> Got {
    let started = Instant::now();
    let req = Request::builder()
        .method(method)
        .uri(uri)
        .header("content-type", "application/json")
        .body(Body::from(body.into()))
        .unwrap();
    let answer = router.clone().oneshot(req).await.unwrap();
    let revision = number(answer.headers(), REVISION_HEADER);
    let retry_after = number(answer.headers(), RETRY_AFTER);
    let status = answer.status();
    let body = to_bytes(answer.into_body(), MAX_VALUE_BYTES).await.unwrap();
    let text = String::from_utf8(body.to_vec()).unwrap();
    Got {
        status,
        revision,
        retry_after,
        text,
        elapsed: started.elapsed(),
    }
}

fn number(headers: &HeaderMap, name: HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().unwrap().parse().ok()
}

struct ReadCase {
    published: bool,
    query: &'static str,
    status: u16,
    revision: Option<u64>,
    elapsed_ms: u64,
}

#[rstest]
#[case::nothing(ReadCase { published: false, query: "", status: 404, revision: None, elapsed_ms: 0 })]
#[case::nothing_in_time(ReadCase { published: false, query: "?wait_ms=500", status: 404, revision: None, elapsed_ms: 500 })]
#[case::plain(ReadCase { published: true, query: "", status: 200, revision: Some(1), elapsed_ms: 0 })]
#[case::plain_never_waits(ReadCase { published: true, query: "?wait_ms=500", status: 200, revision: Some(1), elapsed_ms: 0 })]
#[case::after_older(ReadCase { published: true, query: "?after=0&wait_ms=500", status: 200, revision: Some(1), elapsed_ms: 0 })]
#[case::after_same(ReadCase { published: true, query: "?after=1", status: 304, revision: Some(1), elapsed_ms: 0 })]
#[case::watch_in_vain(ReadCase { published: true, query: "?after=1&wait_ms=500", status: 304, revision: Some(1), elapsed_ms: 500 })]
#[case::after_newer(ReadCase { published: true, query: "?after=9&wait_ms=30000", status: 304, revision: Some(1), elapsed_ms: 30_000 })]
#[case::wait_too_long(ReadCase { published: true, query: "?after=1&wait_ms=30001", status: 400, revision: None, elapsed_ms: 0 })]
#[case::no_number(ReadCase { published: true, query: "?after=one", status: 400, revision: None, elapsed_ms: 0 })]
#[tokio::test(start_paused = true)]
async fn reads(#[case] case: ReadCase) {
    let rig = Rig::default();
    if case.published {
        rig.put("/catalogue", "one").await;
    }
    let got = rig.get(&format!("/v1/catalogue{}", case.query)).await;
    assert_eq!(got.status, case.status);
    assert_eq!(got.revision, case.revision);
    assert_eq!(got.text == "one", case.status == 200);
    assert_eq!(got.elapsed.as_millis(), u128::from(case.elapsed_ms));
    assert_eq!(rig.shared.stats().waiting, 0);
}

#[tokio::test(start_paused = true)]
async fn a_watch_wakes_when_something_is_published() {
    let rig = Rig::published().await;
    let watch = rig.watch("/v1/catalogue?after=1&wait_ms=30000").await;
    rig.put("/instances", LIST).await;
    rig.put("/catalogue", "two").await;
    let got = watch.await.unwrap();
    assert_eq!((got.status, got.revision), (StatusCode::OK, Some(2)));
    assert_eq!(got.text, "two");
    assert_eq!(got.elapsed, Duration::ZERO);
    assert_eq!(rig.shared.stats().reads, 1);
}

#[tokio::test(start_paused = true)]
async fn a_reader_that_hangs_up_no_longer_waits() {
    let rig = Rig::published().await;
    let watch = rig.watch("/v1/catalogue?after=1&wait_ms=30000").await;
    watch.abort();
    assert!(watch.await.unwrap_err().is_cancelled());
    assert_eq!(rig.shared.stats().waiting, 0);
}

/// Guards against a stand-in that serves reads beyond its budget.
#[tokio::test(start_paused = true)]
async fn reads_over_the_budget_are_refused() {
    let cfg = PlatformSettings {
        reads_per_s: 10,
        read_burst: Some(5),
        ..Default::default()
    };
    let rig = Rig::new(&cfg, &CancellationToken::new());
    rig.put("/catalogue", "one").await;
    for _ in 0..5 {
        assert_eq!(rig.get("/v1/catalogue").await.status, StatusCode::OK);
    }
    let refused = rig.get("/v1/catalogue").await;
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(refused.retry_after, Some(1));
    tokio::time::advance(Duration::from_millis(100)).await;
    assert_eq!(rig.get("/v1/catalogue").await.status, StatusCode::OK);
    assert_eq!(
        rig.get("/v1/instances").await.status,
        StatusCode::TOO_MANY_REQUESTS
    );
    let stats = rig.shared.stats();
    assert_eq!(
        (stats.reads, stats.refused, stats.reads_peak_per_s),
        (8, 2, 8)
    );
    rig.post("/stats/reset", "").await;
    assert_eq!(rig.shared.stats().reads, 0);
}

#[tokio::test(start_paused = true)]
async fn the_peak_is_over_any_second() {
    let start = Instant::now();
    let mut reads = ReadCounter::new(start);
    for ms in [0, 900, 950, 1_050, 1_950, 5_000] {
        reads.count(start + Duration::from_millis(ms));
    }
    assert_eq!((reads.total(), reads.peak()), (6, 3));
}
