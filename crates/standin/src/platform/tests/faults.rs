//! Outages, staleness, lag and delays.

use std::time::Duration;

use http::StatusCode;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use tokio_util::sync::CancellationToken;

use super::super::PlatformSettings;
use super::super::PlatformSwitches;
use super::LIST;
use super::Rig;

const EMPTY_LIST: &str = r#"{"instances":[]}"#;

/// Guards against an outage that leaves reads waiting.
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

/// Guards against a silence that answers the reads it swallowed.
#[tokio::test(start_paused = true)]
async fn a_silent_source_never_answers_what_it_was_asked_meanwhile() {
    let rig = Rig::published().await;
    let before = rig.watch("/v1/catalogue?after=1&wait_ms=1000").await;
    rig.post("/switches", r#"{"silent":true}"#).await;
    let meanwhile = rig.watch("/v1/catalogue").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    rig.post("/switches", r#"{"silent":false}"#).await;
    let before = before.await.unwrap();
    assert_eq!(
        (before.status, before.elapsed),
        (StatusCode::NOT_MODIFIED, Duration::from_secs(5))
    );
    assert_eq!(rig.get("/v1/catalogue").await.revision, Some(1));
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    assert!(!meanwhile.is_finished());
}

/// Guards against a stale source that shows what was accepted since.
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

/// Guards against a stand-in that never shows an older revision.
#[tokio::test(start_paused = true)]
async fn a_source_can_go_back() {
    let rig = Rig::published().await;
    rig.put("/catalogue", "two").await;
    assert_eq!(rig.get("/v1/catalogue").await.text, "two");
    let back = |n| {
        let revision = Revision::new(n).unwrap();
        rig.shared
            .change(|state, _| state.values_mut(Stream::Catalogue).freeze_at(revision))
    };
    back(1).unwrap();
    let old = rig.get("/v1/catalogue").await;
    assert_eq!((old.text.as_str(), old.revision), ("one", Some(1)));
    assert!(back(3).is_err());
}

/// Guards against a list that shows a change before its lag is over.
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

/// Guards against callers that wait for a platform that has stopped.
#[tokio::test(start_paused = true)]
async fn a_stop_lets_nobody_wait() {
    let cancel = CancellationToken::new();
    let rig = Rig::new(&PlatformSettings::default(), &cancel);
    rig.put("/catalogue", "one").await;
    let watch = rig.watch("/v1/catalogue?after=1&wait_ms=30000").await;
    rig.shared
        .change(|state, _| state.answer_delay = Duration::from_secs(3_600));
    let (held_back, ()) = tokio::join!(rig.get("/v1/catalogue"), async { cancel.cancel() });
    assert_eq!(
        (held_back.text.as_str(), held_back.elapsed),
        ("one", Duration::ZERO)
    );
    let waited = watch.await.unwrap();
    assert_eq!(
        (waited.status, waited.elapsed),
        (StatusCode::SERVICE_UNAVAILABLE, Duration::ZERO)
    );
}

/// Guards against answers that never overtake each other.
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

#[tokio::test(start_paused = true)]
async fn only_switches_that_are_named_are_turned() {
    let rig = Rig::published().await;
    rig.shared.apply_switches(&PlatformSwitches {
        outage: Some(true),
        ..Default::default()
    });
    rig.post("/switches", r#"{"list_lag_ms":1}"#).await;
    assert!(rig.shared.state().outage);
}
