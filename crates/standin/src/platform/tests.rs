//! Reads, watches and faults over the routers, in paused time and without
//! sockets.

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
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use super::MAX_VALUE_BYTES;
use super::PlatformSettings;
use super::PlatformSwitches;
use super::REVISION_HEADER;
use super::admin_api;
use super::read_api;
use super::reads::Reads;
use super::shared::Shared;

const LIST: &str = r#"{"instances":[{"id":"wd-1","service":"workshop-desk",
    "region":"ulaanbaatar","domain":"bayanzurkh","traffic":"127.0.0.1:9001",
    "control":"127.0.0.1:9002","slots":10,"connections":120,"state":"live"}]}"#;

const EMPTY_LIST: &str = r#"{"instances":[]}"#;

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
    fn new(cfg: &PlatformSettings) -> Rig {
        let shared = Arc::new(Shared::new(cfg, CancellationToken::new()));
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
        let rig = Rig::new(&PlatformSettings::default());
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
    let rig = Rig::new(&PlatformSettings::default());
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

/// A herd of nodes comes back at once and reads more than the source gives.
/// Those over the budget are told so, not served, and told when to come back;
/// the budget refills as time passes.
#[tokio::test(start_paused = true)]
async fn reads_over_the_budget_are_refused() {
    let cfg = PlatformSettings {
        reads_per_s: 10,
        read_burst: Some(5),
        ..Default::default()
    };
    let rig = Rig::new(&cfg);
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

/// The source goes out while a node waits on it. The waiting call fails at
/// once, as do new ones; when the source is back, nothing was lost.
#[tokio::test(start_paused = true)]
async fn an_outage_fails_every_read() {
    let rig = Rig::published().await;
    let watch = rig.watch("/v1/catalogue?after=1&wait_ms=30000").await;
    rig.post("/switches", r#"{"outage":true}"#).await;
    let got = watch.await.unwrap();
    assert_eq!(
        (got.status, got.elapsed),
        (StatusCode::SERVICE_UNAVAILABLE, Duration::ZERO)
    );
    assert_eq!(
        rig.get("/v1/instances").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    rig.post("/switches", r#"{"outage":false}"#).await;
    assert_eq!(rig.get("/v1/catalogue").await.revision, Some(1));
}

/// The source serves old content for a while although newer was accepted.
/// Readers see the old revision, and their watches wait in vain until the
/// source has caught up.
#[tokio::test(start_paused = true)]
async fn a_stale_source_serves_what_it_had() {
    let rig = Rig::published().await;
    rig.post("/switches", r#"{"stale":true}"#).await;
    let published = rig.put("/catalogue", "two").await;
    assert_eq!(published.text, r#"{"revision":2}"#);
    rig.put("/instances", LIST).await;
    assert_eq!(rig.get("/v1/catalogue").await.text, "one");
    assert_eq!(rig.get("/v1/instances").await.status, StatusCode::NOT_FOUND);
    let waited = rig.get("/v1/catalogue?after=1&wait_ms=1000").await;
    assert_eq!(
        (waited.status, waited.revision),
        (StatusCode::NOT_MODIFIED, Some(1))
    );
    let watch = rig.watch("/v1/catalogue?after=1&wait_ms=1000").await;
    rig.post("/switches", r#"{"stale":false}"#).await;
    assert_eq!(watch.await.unwrap().text, "two");
}

/// A reader moves to a replica of the source that is further behind than the
/// one before: it is shown an older revision than the one it had.
#[tokio::test(start_paused = true)]
async fn a_source_can_go_back() {
    let rig = Rig::published().await;
    rig.put("/catalogue", "two").await;
    assert_eq!(rig.get("/v1/catalogue").await.text, "two");
    let back = |n| {
        let revision = Revision::new(n).unwrap();
        rig.shared
            .change(|state, _| state.channel_mut(Stream::Catalogue).freeze_at(revision))
    };
    back(1).unwrap();
    let old = rig.get("/v1/catalogue").await;
    assert_eq!((old.text.as_str(), old.revision), ("one", Some(1)));
    assert!(back(3).is_err());
}

/// An instance goes, but readers of the list learn it only after the lag;
/// a watch wakes at just that moment.
#[tokio::test(start_paused = true)]
async fn the_instance_list_lags() {
    let rig = Rig::published().await;
    rig.put("/instances", LIST).await;
    rig.post("/switches", r#"{"list_lag_ms":300}"#).await;
    rig.post("/instances/wd-1/state", r#"{"state":"gone"}"#)
        .await;
    assert!(rig.get("/v1/instances").await.text.contains("wd-1"));
    let got = rig.get("/v1/instances?after=1&wait_ms=30000").await;
    assert_eq!((got.text.as_str(), got.revision), (EMPTY_LIST, Some(2)));
    assert_eq!(got.elapsed, Duration::from_millis(300));
}

/// An answer is on its way while the next revision is published and read by
/// another. It arrives later and carries the older revision.
#[tokio::test(start_paused = true)]
async fn a_delayed_answer_is_crossed_by_a_newer_one() {
    let rig = Rig::published().await;
    rig.post("/switches", r#"{"answer_delay_ms":200}"#).await;
    let (slow, ()) = tokio::join!(rig.get("/v1/catalogue"), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        rig.post("/switches", r#"{"answer_delay_ms":0}"#).await;
        rig.put("/catalogue", "two").await;
        assert_eq!(rig.get("/v1/catalogue").await.text, "two");
    });
    assert_eq!(slow.text, "one");
    assert_eq!(slow.elapsed, Duration::from_millis(200));
}

struct RefusedCase {
    method: &'static str,
    uri: &'static str,
    body: Bytes,
    status: u16,
    reason: &'static str,
}

#[rstest]
#[case::too_large(RefusedCase { method: "PUT", uri: "/catalogue", body: Bytes::from(vec![b'x'; MAX_VALUE_BYTES + 1]), status: 413, reason: "at most 1048576 bytes" })]
#[case::same_revision(RefusedCase { method: "PUT", uri: "/catalogue?revision=7", body: "x".into(), status: 409, reason: "above the newest one, 7" })]
#[case::older_revision(RefusedCase { method: "PUT", uri: "/catalogue?revision=6", body: "x".into(), status: 409, reason: "above the newest one, 7" })]
#[case::no_revision(RefusedCase { method: "PUT", uri: "/catalogue?revision=0", body: "x".into(), status: 400, reason: "at least 1" })]
#[case::no_list(RefusedCase { method: "PUT", uri: "/instances", body: r#"{"instances":[{"id":"wd-1"}]}"#.into(), status: 400, reason: "missing field" })]
#[case::no_instance(RefusedCase { method: "POST", uri: "/instances/wd-9/state", body: r#"{"state":"leaving"}"#.into(), status: 404, reason: "no instance wd-9" })]
#[case::no_state(RefusedCase { method: "POST", uri: "/instances/wd-1/state", body: r#"{"state":"asleep"}"#.into(), status: 422, reason: "unknown variant" })]
#[case::no_switch(RefusedCase { method: "POST", uri: "/switches", body: r#"{"fire":true}"#.into(), status: 422, reason: "unknown field" })]
#[tokio::test(start_paused = true)]
async fn bad_changes_are_refused_and_change_nothing(#[case] case: RefusedCase) {
    let rig = Rig::new(&PlatformSettings::default());
    rig.put("/catalogue?revision=7", "seven").await;
    rig.put("/instances?revision=3", LIST).await;
    let got = call(&rig.admin, case.method, case.uri, case.body).await;
    assert_eq!(got.status, case.status);
    assert!(got.text.contains(case.reason), "{}", got.text);
    assert_eq!(rig.get("/v1/catalogue").await.text, "seven");
    let list = rig.get("/v1/instances").await;
    assert_eq!((list.revision, list.text.contains("wd-1")), (Some(3), true));
}

#[tokio::test(start_paused = true)]
async fn the_largest_value_is_taken() {
    let rig = Rig::published().await;
    let largest = vec![b'x'; MAX_VALUE_BYTES];
    assert_eq!(rig.put("/catalogue", largest).await.status, StatusCode::OK);
    assert_eq!(rig.get("/v1/catalogue").await.text.len(), MAX_VALUE_BYTES);
}

#[tokio::test(start_paused = true)]
async fn only_switches_that_are_named_are_turned() {
    let rig = Rig::published().await;
    rig.shared.switch(&PlatformSwitches {
        outage: Some(true),
        ..Default::default()
    });
    rig.post("/switches", r#"{"list_lag_ms":1}"#).await;
    assert!(rig.shared.state().outage);
}

#[tokio::test(start_paused = true)]
async fn the_peak_is_over_any_second() {
    let start = Instant::now();
    let mut reads = Reads::new(start);
    for ms in [0, 900, 950, 1_050, 1_950, 5_000] {
        reads.count(start + Duration::from_millis(ms));
    }
    assert_eq!((reads.total(), reads.peak()), (6, 3));
}
