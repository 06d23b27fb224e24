//! Tests refused publications, and the largest one that is accepted.

use axum::body::Bytes;
use http::StatusCode;
use rstest::rstest;

use super::super::MAX_VALUE_BYTES;
use super::Fixture;
use super::LIST;
use super::call;

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
#[case::revision_zero(RefusedCase { method: "PUT", uri: "/catalogue?revision=0", body: "x".into(), status: 400, reason: "at least 1" })]
#[case::incomplete_list(RefusedCase { method: "PUT", uri: "/instances", body: r#"{"instances":[{"id":"wd-1"}]}"#.into(), status: 400, reason: "missing field" })]
#[case::unknown_instance(RefusedCase { method: "POST", uri: "/instances/wd-9/state", body: r#"{"state":"leaving"}"#.into(), status: 404, reason: "no instance wd-9" })]
#[case::unknown_state(RefusedCase { method: "POST", uri: "/instances/wd-1/state", body: r#"{"state":"asleep"}"#.into(), status: 422, reason: "unknown variant" })]
#[case::unknown_switch(RefusedCase { method: "POST", uri: "/switches", body: r#"{"fire":true}"#.into(), status: 422, reason: "unknown field" })]
#[tokio::test(start_paused = true)]
async fn invalid_changes_are_refused_without_effect(#[case] case: RefusedCase) {
    let fixture = Fixture::default();
    fixture.put("/catalogue?revision=7", "seven").await;
    fixture.put("/instances?revision=3", LIST).await;
    let answer = call(&fixture.admin, case.method, case.uri, case.body).await;
    assert_eq!(answer.status, case.status);
    assert!(answer.text.contains(case.reason), "{}", answer.text);
    assert_eq!(fixture.get("/v1/catalogue").await.text, "seven");
    let list = fixture.get("/v1/instances").await;
    assert_eq!((list.revision, list.text.contains("wd-1")), (Some(3), true));
}

#[tokio::test(start_paused = true)]
async fn the_largest_value_is_accepted() {
    let fixture = Fixture::published().await;
    let largest = vec![b'x'; MAX_VALUE_BYTES];
    assert_eq!(
        fixture.put("/catalogue", largest).await.status,
        StatusCode::OK
    );
    assert_eq!(
        fixture.get("/v1/catalogue").await.text.len(),
        MAX_VALUE_BYTES
    );
}
