//! Requests to the admin address.

use http::StatusCode;
use rstest::rstest;
use sassafrasspool_core::Phase;
use sassafrasspool_node::RunningNode;
use sassafrasspool_wire::admin::AuditPage;
use sassafrasspool_wire::admin::DrainAnswer;
use sassafrasspool_wire::admin::Explanation;
use sassafrasspool_wire::admin::SnapshotInfo;
use sassafrasspool_wire::admin::Status;
use sassafrasspool_wire::admin::Versions;
use serde::de::DeserializeOwned;

use crate::common::CATALOGUE;
use crate::common::request_text;
use crate::support::Fleet;

async fn get(node: &RunningNode, path: &str) -> (StatusCode, String) {
    request_text("GET", node.addrs().admin, path).await
}

async fn get_json<T: DeserializeOwned>(node: &RunningNode, path: &str) -> T {
    let (status, text) = get(node, path).await;
    assert_eq!(status, StatusCode::OK, "{text}");
    serde_json::from_str(&text).expect("JSON of the admin type")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn admin_paths_return_the_state_of_the_node() {
    let fleet = Fleet::start(2).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    let node = &fleet.nodes[0];

    let status: Status = get_json(node, "/status").await;
    assert_eq!(status.phase, Phase::Ready);
    assert!(status.joined);
    assert!(status.source_age_ms.is_some());
    assert_eq!(status.held.catalogue.map(|it| it.revision), Some(1));

    let versions: Versions = get_json(node, "/versions").await;
    assert_eq!(versions.held.instances.map(|it| it.revision), Some(1));
    assert_eq!(versions.refusals, 0);

    let snapshot: SnapshotInfo = get_json(node, "/snapshot").await;
    assert_eq!(snapshot.services.len(), 1);
    assert_eq!(snapshot.services[0].endpoints.len(), 2);
    assert_eq!(snapshot.routes.len(), 1);

    let page: AuditPage = get_json(node, "/audit").await;
    assert!(page.records.iter().any(|it| it.event == "applied"));
    let newest_number = page.records.last().expect("at least one record").number;
    let later: AuditPage = get_json(node, &format!("/audit?after={newest_number}")).await;
    assert!(later.records.iter().all(|it| it.number > newest_number));

    let (_, metrics) = get(node, "/metrics").await;
    assert!(metrics.contains("sassafrasspool_versions_applied_total"));
    assert!(metrics.contains("sassafrasspool_revision{stream=\"catalogue\"} 1"));
    for name in ["open_fds", "max_fds", "resident_memory_bytes", "threads"] {
        let name = format!("\nsassafrasspool_process_{name} ");
        let value = metrics
            .split(&name)
            .nth(1)
            .expect("a metric of the process");
        assert!(!value.starts_with('0'), "{name}");
    }

    let admin = node.addrs().admin;
    let (code, text) = request_text("POST", admin, "/drain").await;
    assert_eq!(code, StatusCode::OK);
    let answer: DrainAnswer = serde_json::from_str(&text).expect("a drain answer");
    assert_eq!(answer.phase, Phase::Draining);
    fleet.cancel.cancel();
}

/// A query and the expected explanation.
#[derive(Debug)]
struct ExplainCase {
    query: &'static str,
    reason: &'static str,
    has_route: bool,
}

#[rstest]
#[case::path(ExplainCase {
    query: "path=/workshop/1",
    reason: "/workshop/1 falls under /workshop, which leads to workshop-desk; ",
    has_route: true,
})]
#[case::service(ExplainCase {
    query: "service=workshop-desk",
    reason: "the service was named, which leads to workshop-desk; ",
    has_route: false,
})]
#[case::route_of_another_service(ExplainCase {
    query: "service=adjuster-desk&path=/workshop/1",
    reason: "leads to workshop-desk, not to adjuster-desk; ",
    has_route: true,
})]
#[case::no_route(ExplainCase {
    query: "path=/nowhere",
    reason: "no route takes /nowhere",
    has_route: false,
})]
#[case::unknown_service(ExplainCase {
    query: "service=adjuster-desk",
    reason: "there is no service adjuster-desk",
    has_route: false,
})]
#[case::empty_query(ExplainCase {
    query: "",
    reason: "neither a service nor a path was named",
    has_route: false,
})]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_returns_the_route_and_the_reason(#[case] case: ExplainCase) {
    let fleet = Fleet::start(1).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    let path = format!("/routes/explain?{}", case.query);
    let answer: Explanation = get_json(&fleet.nodes[0], &path).await;
    assert!(answer.reason.contains(case.reason), "{}", answer.reason);
    assert_eq!(answer.route.is_some(), case.has_route);
    fleet.cancel.cancel();
}

/// A request and the expected error.
#[derive(Debug)]
struct ErrorCase {
    path: &'static str,
    status: StatusCode,
    reason: &'static str,
}

#[rstest]
#[case::nothing_in_force(ErrorCase {
    path: "/snapshot",
    status: StatusCode::SERVICE_UNAVAILABLE,
    reason: "nothing is in force yet",
})]
#[case::invalid_service_name(ErrorCase {
    path: "/routes/explain?service=WD%201",
    status: StatusCode::BAD_REQUEST,
    reason: "service name",
})]
#[case::invalid_number(ErrorCase {
    path: "/audit?after=soon",
    status: StatusCode::BAD_REQUEST,
    reason: "",
})]
#[case::unknown_path(ErrorCase {
    path: "/nowhere",
    status: StatusCode::NOT_FOUND,
    reason: "",
})]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_return_an_error_status(#[case] case: ErrorCase) {
    let fleet = Fleet::start(1).await;
    let (status, text) = get(&fleet.nodes[0], case.path).await;
    assert_eq!(status, case.status);
    assert!(text.contains(case.reason), "{text}");
    fleet.cancel.cancel();
}
