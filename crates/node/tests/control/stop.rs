//! Planned stops with requests in flight.

use std::time::Duration;

use http::StatusCode;
use sassafrasspool_node::Settings;

use crate::common::http_text;
use crate::common::patient;
use crate::common::slow_target;
use crate::common::try_http_text;
use crate::support::Fleet;
use crate::support::until;

/// A node whose target takes `service` for each request.
async fn slow_fleet(service: Duration, bound: Duration) -> Fleet {
    let tune = |settings: &mut Settings| settings.drain.bound = bound;
    let fleet = Fleet::start_with(1, &slow_target(service), tune).await;
    let first = fleet.publish(&patient());
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    fleet
}

/// Guards against a request that a planned stop cuts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_in_flight_is_finished_before_the_end() {
    let fleet = slow_fleet(Duration::from_millis(700), Duration::from_secs(30)).await;
    let node = fleet.nodes[0].clone();
    let ingress = node.addrs().ingress;
    let answer = tokio::spawn(http_text("GET", ingress, "/workshop/1"));
    until(|| node.shared().in_flight().count() > 0).await;
    let report = node.stop().await.expect("a report");
    assert_eq!(report.cut, 0);
    let (status, _) = answer.await.expect("an answer");
    assert_eq!(status, StatusCode::OK);
    fleet.cancel.cancel();
}

/// Guards against a draining node that doesn't say that it ran nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_node_refuses_as_not_run() {
    let fleet = slow_fleet(Duration::ZERO, Duration::from_secs(30)).await;
    let node = &fleet.nodes[0];
    let ingress = node.addrs().ingress;
    let (status, _) = http_text("GET", ingress, "/workshop/1").await;
    assert_eq!(status, StatusCode::OK);
    node.drain().await;
    let runs = fleet.targets[0].ledger().runs.len();
    let (status, text) = http_text("GET", ingress, "/workshop/2").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(text.contains("not-run"), "{text}");
    assert_eq!(fleet.targets[0].ledger().runs.len(), runs);
    fleet.cancel.cancel();
}

/// Guards against a stop that waits for a hanging target beyond its bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bound_ends_what_does_not_finish() {
    let fleet = slow_fleet(Duration::from_secs(50), Duration::from_millis(500)).await;
    let node = fleet.nodes[0].clone();
    let ingress = node.addrs().ingress;
    let answer = tokio::spawn(try_http_text("GET", ingress, "/workshop/1"));
    until(|| node.shared().in_flight().count() > 0).await;
    let report = node.stop().await.expect("a report");
    assert!(report.cut > 0);
    let answer = answer.await.expect("no panic");
    assert!(answer.is_none_or(|(status, _)| status != StatusCode::OK));
    fleet.cancel.cancel();
}

/// Guards against callers that are refused before they can notice a planned stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_node_serves_until_its_callers_have_gone() {
    let tune = |settings: &mut Settings| settings.drain.callers = Duration::from_millis(800);
    let fleet = Fleet::start_with(1, &slow_target(Duration::ZERO), tune).await;
    let first = fleet.publish(&patient());
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    let node = fleet.nodes[0].clone();
    assert!(node.shared().takes_callers());
    let stopping = tokio::spawn({
        let node = node.clone();
        async move { node.stop().await }
    });
    until(|| !node.shared().takes_callers()).await;
    let (status, _) = http_text("GET", node.addrs().ingress, "/workshop/1").await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(fleet.targets[0].ledger().runs.len(), 1);
    let report = stopping.await.expect("no panic").expect("a report");
    assert_eq!(report.cut, 0);
    fleet.cancel.cancel();
}
