//! Publications that are refused, and the largest that isn't.

use axum::body::Bytes;
use http::StatusCode;
use rstest::rstest;

use super::super::MAX_VALUE_BYTES;
use super::LIST;
use super::Rig;
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
#[case::no_revision(RefusedCase { method: "PUT", uri: "/catalogue?revision=0", body: "x".into(), status: 400, reason: "at least 1" })]
#[case::no_list(RefusedCase { method: "PUT", uri: "/instances", body: r#"{"instances":[{"id":"wd-1"}]}"#.into(), status: 400, reason: "missing field" })]
#[case::no_instance(RefusedCase { method: "POST", uri: "/instances/wd-9/state", body: r#"{"state":"leaving"}"#.into(), status: 404, reason: "no instance wd-9" })]
#[case::no_state(RefusedCase { method: "POST", uri: "/instances/wd-1/state", body: r#"{"state":"asleep"}"#.into(), status: 422, reason: "unknown variant" })]
#[case::no_switch(RefusedCase { method: "POST", uri: "/switches", body: r#"{"fire":true}"#.into(), status: 422, reason: "unknown field" })]
#[tokio::test(start_paused = true)]
async fn bad_changes_are_refused_and_change_nothing(#[case] case: RefusedCase) {
    let rig = Rig::default();
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
