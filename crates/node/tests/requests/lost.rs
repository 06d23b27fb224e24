//! Targets that fail with requests on them.

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

/// Long enough that the crash comes in the middle of the run.
const LONG: Duration = Duration::from_secs(10);

/// Crashes the first member's target with a request on it; returns what its
/// caller hears.
async fn crash_under(fleet: &Fleet, path: &str) -> Response<Bytes> {
    let first = &fleet.members[0];
    first.target.set_slow(LONG).await;
    let req = client::get(path, "r-1");
    let answer = tokio::spawn(client::call(first.addrs.ingress, req));
    wait::until("the run", || first.runs_of("r-1").len() == 1).await;
    first.target.crash().await;
    answer.await.expect("a task").expect("an answer")
}

/// Guards against a second run of an approval that a crashed target may have run.
#[tokio::test]
async fn a_crash_after_hand_over_is_unknown_and_not_retried() {
    let fleet = Fleet::start(&[DESK, SECOND]).await;
    let res = crash_under(&fleet, "/desk/lodge").await;
    assert_eq!(res.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
    assert!(fleet.members[1].runs_of("r-1").is_empty());
}

/// Guards against an idempotent request that fails with its target.
#[tokio::test]
async fn a_crash_under_an_idempotent_request_is_retried_elsewhere() {
    let fleet = Fleet::start(&[DESK, SECOND]).await;
    let res = crash_under(&fleet, "/desk/policy").await;
    assert_eq!(res.status(), StatusCode::OK);
    assert_eq!(fleet.members[1].runs_of("r-1").len(), 1);
}

/// Guards against a claim that fails at a closed port, though it never left.
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

/// Guards against a refusal of the second try that speaks for the first.
#[tokio::test]
async fn a_refusal_after_a_loss_does_not_say_that_nothing_ran() {
    let fleet = Fleet::start(&[DESK, SECOND]).await;
    fleet.members[1].shared.advance(Phase::Draining);
    let res = crash_under(&fleet, "/desk/policy").await;
    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
}

/// Guards against a late retry at a target that leaves, by an old list.
#[tokio::test]
async fn a_later_try_does_not_go_to_a_target_that_has_left_the_list_meanwhile() {
    let specs = [DESK, SECOND];
    let fleet = Fleet::start(&specs).await;
    let [first, second] = &fleet.members[..] else {
        panic!("two members");
    };
    first.target.set_slow(LONG).await;
    let req = client::get("/desk/policy", "r-1");
    let answer = tokio::spawn(client::call(first.addrs.ingress, req));
    wait::until("the run", || first.runs_of("r-1").len() == 1).await;
    fleet.publish(&specs, 2, &[second.id]);
    first.target.crash().await;
    let res = answer.await.expect("a task").expect("an answer");
    assert_ne!(res.status(), StatusCode::OK);
    assert!(second.runs_of("r-1").is_empty());
}
