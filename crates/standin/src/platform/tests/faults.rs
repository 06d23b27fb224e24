//! Tests outages, silence, staleness, lag and delays.

use std::time::Duration;

use http::StatusCode;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use tokio_util::sync::CancellationToken;

use super::super::PlatformSettings;
use super::super::PlatformSwitches;
use super::Fixture;
use super::LIST;

const EMPTY_LIST: &str = r#"{"instances":[]}"#;

/// Guards against an outage that leaves watches waiting.
#[tokio::test(start_paused = true)]
async fn an_outage_fails_every_read() {
    let fixture = Fixture::published().await;
    let watch = fixture.watch("/v1/catalogue?after=1&wait_ms=30000").await;
    fixture.post("/switches", r#"{"outage":true}"#).await;
    let answer = watch.await.unwrap();
    assert_eq!(
        (answer.status, answer.elapsed),
        (StatusCode::SERVICE_UNAVAILABLE, Duration::ZERO)
    );
    assert_eq!(
        fixture.get("/v1/instances").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    fixture.post("/switches", r#"{"outage":false}"#).await;
    assert_eq!(fixture.get("/v1/catalogue").await.revision, Some(1));
}

/// Guards against a platform that answers reads from a silence after its end.
#[tokio::test(start_paused = true)]
async fn a_read_that_arrives_during_a_silence_is_never_answered() {
    let fixture = Fixture::published().await;
    let before = fixture.watch("/v1/catalogue?after=1&wait_ms=1000").await;
    fixture.post("/switches", r#"{"silent":true}"#).await;
    let meanwhile = fixture.watch("/v1/catalogue").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    fixture.post("/switches", r#"{"silent":false}"#).await;
    let before = before.await.unwrap();
    assert_eq!(
        (before.status, before.elapsed),
        (StatusCode::NOT_MODIFIED, Duration::from_secs(5))
    );
    assert_eq!(fixture.get("/v1/catalogue").await.revision, Some(1));
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    assert!(!meanwhile.is_finished());
}

/// Guards against a stale platform that serves values published since.
#[tokio::test(start_paused = true)]
async fn a_stale_platform_serves_the_former_values() {
    let fixture = Fixture::published().await;
    fixture.post("/switches", r#"{"stale":true}"#).await;
    let published = fixture.put("/catalogue", "two").await;
    assert_eq!(published.text, r#"{"revision":2}"#);
    fixture.put("/instances", LIST).await;
    assert_eq!(fixture.get("/v1/catalogue").await.text, "one");
    assert_eq!(
        fixture.get("/v1/instances").await.status,
        StatusCode::NOT_FOUND
    );
    let watched = fixture.get("/v1/catalogue?after=1&wait_ms=1000").await;
    assert_eq!(
        (watched.status, watched.revision),
        (StatusCode::NOT_MODIFIED, Some(1))
    );
    let watch = fixture.watch("/v1/catalogue?after=1&wait_ms=1000").await;
    fixture.post("/switches", r#"{"stale":false}"#).await;
    assert_eq!(watch.await.unwrap().text, "two");
}

/// Guards against a platform that can't serve an older revision again.
#[tokio::test(start_paused = true)]
async fn a_platform_can_serve_an_older_revision() {
    let fixture = Fixture::published().await;
    fixture.put("/catalogue", "two").await;
    assert_eq!(fixture.get("/v1/catalogue").await.text, "two");
    let freeze_at = |n| {
        let revision = Revision::new(n).unwrap();
        fixture
            .shared
            .change(|state, _| state.values_mut(Stream::Catalogue).freeze_at(revision))
    };
    freeze_at(1).unwrap();
    let old = fixture.get("/v1/catalogue").await;
    assert_eq!((old.text.as_str(), old.revision), ("one", Some(1)));
    assert!(freeze_at(3).is_err());
}

/// Guards against a change of the list that is visible before its lag is over.
#[tokio::test(start_paused = true)]
async fn a_list_change_becomes_visible_after_the_lag() {
    let fixture = Fixture::published().await;
    fixture.put("/instances", LIST).await;
    fixture.post("/switches", r#"{"list_lag_ms":300}"#).await;
    fixture
        .post("/instances/wd-1/state", r#"{"state":"gone"}"#)
        .await;
    assert!(fixture.get("/v1/instances").await.text.contains("wd-1"));
    let answer = fixture.get("/v1/instances?after=1&wait_ms=30000").await;
    assert_eq!(
        (answer.text.as_str(), answer.revision),
        (EMPTY_LIST, Some(2))
    );
    assert_eq!(answer.elapsed, Duration::from_millis(300));
}

/// Guards against readers that wait for a platform that has stopped.
#[tokio::test(start_paused = true)]
async fn a_stop_ends_all_waits() {
    let cancel = CancellationToken::new();
    let fixture = Fixture::new(&PlatformSettings::default(), &cancel);
    fixture.put("/catalogue", "one").await;
    let watch = fixture.watch("/v1/catalogue?after=1&wait_ms=30000").await;
    fixture
        .shared
        .change(|state, _| state.answer_delay = Duration::from_secs(3_600));
    let (delayed, ()) = tokio::join!(fixture.get("/v1/catalogue"), async { cancel.cancel() });
    assert_eq!(
        (delayed.text.as_str(), delayed.elapsed),
        ("one", Duration::ZERO)
    );
    let watched = watch.await.unwrap();
    assert_eq!(
        (watched.status, watched.elapsed),
        (StatusCode::SERVICE_UNAVAILABLE, Duration::ZERO)
    );
}

/// Guards against a delay that keeps answers in order, so that none is overtaken.
#[tokio::test(start_paused = true)]
async fn a_newer_answer_overtakes_a_delayed_one() {
    let fixture = Fixture::published().await;
    fixture
        .post("/switches", r#"{"answer_delay_ms":200}"#)
        .await;
    let (slow, ()) = tokio::join!(fixture.get("/v1/catalogue"), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fixture.post("/switches", r#"{"answer_delay_ms":0}"#).await;
        fixture.put("/catalogue", "two").await;
        assert_eq!(fixture.get("/v1/catalogue").await.text, "two");
    });
    assert_eq!(slow.text, "one");
    assert_eq!(slow.elapsed, Duration::from_millis(200));
}

#[tokio::test(start_paused = true)]
async fn absent_switches_stay_unchanged() {
    let fixture = Fixture::published().await;
    fixture.shared.apply_switches(&PlatformSwitches {
        outage: Some(true),
        ..Default::default()
    });
    fixture.post("/switches", r#"{"list_lag_ms":1}"#).await;
    assert!(fixture.shared.state().outage);
}
