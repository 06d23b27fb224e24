//! The admin address.

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
use crate::common::http_text;
use crate::support::Fleet;

async fn get(node: &RunningNode, path: &str) -> (StatusCode, String) {
    http_text("GET", node.addrs().admin, path).await
}

async fn json<T: DeserializeOwned>(node: &RunningNode, path: &str) -> T {
    let (status, text) = get(node, path).await;
    assert_eq!(status, StatusCode::OK, "{text}");
    serde_json::from_str(&text).expect("the type that operators read")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_path_answers() {
    let fleet = Fleet::start(2).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    let node = &fleet.nodes[0];

    let status: Status = json(node, "/status").await;
    assert_eq!(status.phase, Phase::Ready);
    assert!(status.joined);
    assert!(status.source_age_ms.is_some());
    assert_eq!(status.held.catalogue.map(|it| it.revision), Some(1));

    let versions: Versions = json(node, "/versions").await;
    assert_eq!(versions.held.instances.map(|it| it.revision), Some(1));
    assert_eq!(versions.refusals, 0);

    let snapshot: SnapshotInfo = json(node, "/snapshot").await;
    assert_eq!(snapshot.services.len(), 1);
    assert_eq!(snapshot.services[0].endpoints.len(), 2);
    assert_eq!(snapshot.routes.len(), 1);

    let page: AuditPage = json(node, "/audit").await;
    assert!(page.records.iter().any(|it| it.event == "applied"));
    let newest = page.records.last().expect("records").number;
    let rest: AuditPage = json(node, &format!("/audit?after={newest}")).await;
    assert!(rest.records.iter().all(|it| it.number > newest));

    let (_, metrics) = get(node, "/metrics").await;
    assert!(metrics.contains("sassafrasspool_versions_applied_total"));
    assert!(metrics.contains("sassafrasspool_revision{stream=\"catalogue\"} 1"));
    for name in ["open_fds", "max_fds", "resident_memory_bytes", "threads"] {
        let name = format!("\nsassafrasspool_process_{name} ");
        let figure = metrics.split(&name).nth(1).expect("the process's figure");
        assert!(!figure.starts_with('0'), "{name}");
    }

    let admin = node.addrs().admin;
    let (code, text) = http_text("POST", admin, "/drain").await;
    assert_eq!(code, StatusCode::OK);
    let answer: DrainAnswer = serde_json::from_str(&text).expect("an answer");
    assert_eq!(answer.phase, Phase::Draining);
    fleet.cancel.cancel();
}

/// What is asked and what is said.
#[derive(Debug)]
struct Question {
    query: &'static str,
    reason: &'static str,
    routed: bool,
}

#[rstest]
#[case::path(Question {
    query: "path=/workshop/1",
    reason: "/workshop/1 falls under /workshop, which leads to workshop-desk; ",
    routed: true,
})]
#[case::service(Question {
    query: "service=workshop-desk",
    reason: "the service was named, which leads to workshop-desk; ",
    routed: false,
})]
#[case::other_service(Question {
    query: "service=adjuster-desk&path=/workshop/1",
    reason: "leads to workshop-desk, not to adjuster-desk; ",
    routed: true,
})]
#[case::no_route(Question {
    query: "path=/nowhere",
    reason: "no route takes /nowhere",
    routed: false,
})]
#[case::no_service(Question {
    query: "service=adjuster-desk",
    reason: "there is no service adjuster-desk",
    routed: false,
})]
#[case::nothing(Question {
    query: "",
    reason: "neither a service nor a path was named",
    routed: false,
})]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routes_are_explained(#[case] case: Question) {
    let fleet = Fleet::start(1).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    let path = format!("/routes/explain?{}", case.query);
    let answer: Explanation = json(&fleet.nodes[0], &path).await;
    assert!(answer.reason.contains(case.reason), "{}", answer.reason);
    assert_eq!(answer.route.is_some(), case.routed);
    fleet.cancel.cancel();
}

/// What is refused, and how.
#[derive(Debug)]
struct Refusal {
    path: &'static str,
    status: StatusCode,
    reason: &'static str,
}

#[rstest]
#[case::nothing_in_force(Refusal {
    path: "/snapshot",
    status: StatusCode::SERVICE_UNAVAILABLE,
    reason: "nothing is in force yet",
})]
#[case::no_name(Refusal {
    path: "/routes/explain?service=WD%201",
    status: StatusCode::BAD_REQUEST,
    reason: "service name",
})]
#[case::no_number(Refusal {
    path: "/audit?after=soon",
    status: StatusCode::BAD_REQUEST,
    reason: "",
})]
#[case::no_such_path(Refusal {
    path: "/nowhere",
    status: StatusCode::NOT_FOUND,
    reason: "",
})]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_questions_are_refused(#[case] case: Refusal) {
    let fleet = Fleet::start(1).await;
    let (status, text) = get(&fleet.nodes[0], case.path).await;
    assert_eq!(status, case.status);
    assert!(text.contains(case.reason), "{text}");
    fleet.cancel.cancel();
}
