//! Planned stops of nodes with requests in flight.

use std::time::Duration;

use http::StatusCode;
use sassafrasspool_node::Settings;

use crate::common::catalogue_with_long_deadline;
use crate::common::request_text;
use crate::common::slow_target;
use crate::common::try_request_text;
use crate::support::Fleet;
use crate::support::wait_until;

/// One node whose target runs each request for `service` and whose drain ends after
/// `bound`.
async fn slow_fleet(service: Duration, bound: Duration) -> Fleet {
    let tune = |settings: &mut Settings| settings.drain.in_flight_timeout = bound;
    let fleet = Fleet::start_with(1, &slow_target(service), tune).await;
    let first = fleet.publish(&catalogue_with_long_deadline());
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    fleet
}

/// Guards against a planned stop that cuts a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_waits_for_the_request_in_flight() {
    let fleet = slow_fleet(Duration::from_millis(700), Duration::from_secs(30)).await;
    let node = fleet.nodes[0].clone();
    let ingress = node.addrs().ingress;
    let call = tokio::spawn(request_text("GET", ingress, "/workshop/1"));
    wait_until(|| node.shared().in_flight().count() > 0).await;
    let report = node.stop().await.expect("a stop report");
    assert_eq!(report.requests_cut, 0);
    let (status, _) = call.await.expect("an answer");
    assert_eq!(status, StatusCode::OK);
    fleet.cancel.cancel();
}

/// Guards against a draining node whose refusal doesn't state that the request was not
/// run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_node_refuses_requests_as_not_run() {
    let fleet = slow_fleet(Duration::ZERO, Duration::from_secs(30)).await;
    let node = &fleet.nodes[0];
    let ingress = node.addrs().ingress;
    let (status, _) = request_text("GET", ingress, "/workshop/1").await;
    assert_eq!(status, StatusCode::OK);
    node.drain().await;
    let runs = fleet.targets[0].ledger().runs.len();
    let (status, text) = request_text("GET", ingress, "/workshop/2").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(text.contains("not-run"), "{text}");
    assert_eq!(fleet.targets[0].ledger().runs.len(), runs);
    fleet.cancel.cancel();
}

/// Guards against a stop that waits for a hanging target longer than its bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_at_its_bound_cuts_the_request_in_flight() {
    let fleet = slow_fleet(Duration::from_secs(50), Duration::from_millis(500)).await;
    let node = fleet.nodes[0].clone();
    let ingress = node.addrs().ingress;
    let answer = tokio::spawn(try_request_text("GET", ingress, "/workshop/1"));
    wait_until(|| node.shared().in_flight().count() > 0).await;
    let report = node.stop().await.expect("a stop report");
    assert!(report.requests_cut > 0);
    let answer = answer.await.expect("the task doesn't panic");
    assert!(answer.is_none_or(|(status, _)| status != StatusCode::OK));
    fleet.cancel.cancel();
}

/// Guards against refusals of callers that can't yet have detected a planned stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_node_serves_callers_during_their_grace_period() {
    let tune = |settings: &mut Settings| settings.drain.caller_grace = Duration::from_millis(800);
    let fleet = Fleet::start_with(1, &slow_target(Duration::ZERO), tune).await;
    let first = fleet.publish(&catalogue_with_long_deadline());
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    let node = fleet.nodes[0].clone();
    assert!(node.shared().accepts_callers());
    let stopping = tokio::spawn({
        let node = node.clone();
        async move { node.stop().await }
    });
    wait_until(|| !node.shared().accepts_callers()).await;
    let (status, _) = request_text("GET", node.addrs().ingress, "/workshop/1").await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(fleet.targets[0].ledger().runs.len(), 1);
    let report = stopping
        .await
        .expect("the task doesn't panic")
        .expect("a stop report");
    assert_eq!(report.requests_cut, 0);
    fleet.cancel.cancel();
}
