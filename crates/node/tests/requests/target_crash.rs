//! Crashes of targets with requests in flight.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use sassafrasspool_core::Phase;

use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Spec;
use crate::wait;

const SECOND: Spec = Spec {
    id: "wd-2",
    domain: "khan-uul",
    ..DESK
};

/// Long enough that the crash happens during the run.
const SERVICE_TIME: Duration = Duration::from_secs(10);

/// Crashes the first member's target while it runs a request; returns the answer to the
/// caller.
async fn crash_during_request(fleet: &Fleet, path: &str) -> Response<Bytes> {
    let first = &fleet.members[0];
    first.target.set_slow(SERVICE_TIME).await;
    let req = client::get(path, "r-1");
    let call = tokio::spawn(client::call(first.addrs.ingress, req));
    wait::until("the run", || first.runs_of("r-1").len() == 1).await;
    first.target.crash().await;
    call.await
        .expect("the task doesn't panic")
        .expect("an answer")
}

/// Guards against a second run of an approval that a crashed target may have run.
#[tokio::test]
async fn a_request_in_a_crash_is_unknown_and_not_retried() {
    let fleet = Fleet::start(&[DESK, SECOND]).await;
    let res = crash_during_request(&fleet, "/desk/lodge").await;
    assert_eq!(res.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
    assert!(fleet.members[1].runs_of("r-1").is_empty());
}

/// Guards against an idempotent request that fails because its target crashes.
#[tokio::test]
async fn an_idempotent_request_in_a_crash_is_retried_elsewhere() {
    let fleet = Fleet::start(&[DESK, SECOND]).await;
    let res = crash_during_request(&fleet, "/desk/policy").await;
    assert_eq!(res.status(), StatusCode::OK);
    assert_eq!(fleet.members[1].runs_of("r-1").len(), 1);
}

/// Guards against a claim that fails at a closed port although it was never sent.
#[tokio::test]
async fn a_request_that_was_never_sent_is_retried_elsewhere() {
    let fleet = Fleet::start(&[DESK, SECOND]).await;
    fleet.members[0].target.crash().await;
    let ingress = fleet.members[0].addrs.ingress;
    let req = client::get("/desk/lodge", "r-1");
    let res = client::call(ingress, req).await.expect("an answer");
    assert_eq!(res.status(), StatusCode::OK);
    assert_eq!(fleet.runs_of("r-1"), 1);
}

/// Guards against a refusal of the second attempt that is returned as the outcome of both.
#[tokio::test]
async fn a_refused_retry_after_a_crash_has_an_unknown_outcome() {
    let fleet = Fleet::start(&[DESK, SECOND]).await;
    fleet.members[1].shared.advance_phase(Phase::Draining);
    let res = crash_during_request(&fleet, "/desk/policy").await;
    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
}

/// Guards against a retry that is routed by the list of the first attempt to a target that
/// is leaving by now.
#[tokio::test]
async fn a_retry_does_not_go_to_a_target_that_began_to_leave_after_the_first_attempt() {
    let specs = [DESK, SECOND];
    let fleet = Fleet::start(&specs).await;
    let [first, second] = &fleet.members[..] else {
        panic!("the fleet has two members");
    };
    first.target.set_slow(SERVICE_TIME).await;
    let req = client::get("/desk/policy", "r-1");
    let call = tokio::spawn(client::call(first.addrs.ingress, req));
    wait::until("the run", || first.runs_of("r-1").len() == 1).await;
    fleet.publish_list(&specs, 2, &[second.id]);
    first.target.crash().await;
    let res = call
        .await
        .expect("the task doesn't panic")
        .expect("an answer");
    assert_ne!(res.status(), StatusCode::OK);
    assert!(second.runs_of("r-1").is_empty());
}
