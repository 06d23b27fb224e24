//! Application of published versions, and phases of nodes.

use rstest::rstest;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_node::RunningNode;

use crate::common::CATALOGUE;
use crate::support::Fleet;
use crate::support::audited_revisions;
use crate::support::catalogue_with_missing_service;
use crate::support::revision_in_force;
use crate::support::wait_until;

/// Guards against an invalid catalogue that comes into force or blocks the next version.
#[rstest]
#[case::route_to_a_missing_service(catalogue_with_missing_service())]
#[case::invalid_yaml("kinds: [".to_owned())]
#[case::empty(String::new())]
#[case::duplicate_key(format!("{CATALOGUE}kinds: {{}}\n"))]
#[case::out_of_range(CATALOGUE.replace("weight: 1", "weight: 0"))]
#[case::undeclared_kind(CATALOGUE.replace("lookup: {weight: 1}", "look: {weight: 1}"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_version_between_two_valid_ones_is_skipped(#[case] invalid: String) {
    let fleet = Fleet::start(3).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;

    let second = fleet.publish(&invalid);
    let refused = |node: &RunningNode| !audited_revisions(node, "refused").is_empty();
    wait_until(|| fleet.nodes.iter().any(refused)).await;
    for node in &fleet.nodes {
        assert_eq!(revision_in_force(node), Some(first));
    }

    let third = fleet.publish(&CATALOGUE.replace("/workshop,", "/workshop/desk,"));
    fleet.wait_until_in_force(third).await;
    for node in &fleet.nodes {
        assert!(!audited_revisions(node, "applied").contains(&second.get()));
        let snapshot = node.snapshot().expect("a snapshot");
        assert!(snapshot.match_route(None, "/workshop/desk/1").is_some());
        assert!(snapshot.match_route(None, "/workshop/1").is_none());
    }
    fleet.cancel.cancel();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_node_counts_its_control_traffic() {
    let fleet = Fleet::start(3).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    let all_counted = || {
        let mut stats = fleet.nodes.iter().map(RunningNode::control_stats);
        stats.all(|it| it.bytes_in > 0 && it.bytes_out > 0)
    };
    wait_until(all_counted).await;
    let stats: Vec<_> = fleet.nodes.iter().map(RunningNode::control_stats).collect();
    assert!(stats.iter().any(|it| it.reads > 0), "{stats:?}");
    assert!(fleet.platform.stats().reads > 0);
    fleet.cancel.cancel();
}

/// Guards against a node that accepts requests before it has a catalogue to route them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_without_catalogue_is_not_ready() {
    let fleet = Fleet::start(1).await;
    let node = &fleet.nodes[0];
    wait_until(|| fleet.platform.stats().reads >= 4).await;
    assert_eq!(node.shared().phase(), Phase::Starting);
    assert!(node.snapshot().is_none());
    fleet.publish(CATALOGUE);
    fleet.wait_until_ready().await;
    fleet.cancel.cancel();
}

/// Guards against peers that don't receive the phase of a stopping node while the list
/// is stale.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_is_announced_to_peers() {
    let fleet = Fleet::start(3).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    let stopping = InstanceId::new("wd-0").expect("a valid name");
    let phase_at = |node: &RunningNode| {
        let view = node.shared().view()?;
        view.phase(&stopping)
    };
    for peer in &fleet.nodes[1..] {
        wait_until(|| phase_at(peer) == Some(Phase::Ready)).await;
    }
    fleet.nodes[0].drain().await;
    for peer in &fleet.nodes[1..] {
        wait_until(|| phase_at(peer) == Some(Phase::Draining)).await;
    }
    let report = fleet.nodes[0].stop().await.expect("a stop report");
    assert_eq!(report.requests_cut, 0);
    for peer in &fleet.nodes[1..] {
        wait_until(|| phase_at(peer) == Some(Phase::Gone)).await;
    }
    fleet.cancel.cancel();
}

/// Guards against a cancelled node that keeps running.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_node_stops_at_once() {
    let fleet = Fleet::start(1).await;
    fleet.cancel.cancel();
    let report = fleet.nodes[0]
        .wait_until_ended()
        .await
        .expect("a stop report");
    assert_eq!(report.requests_cut, 0);
    assert!(fleet.nodes[0].spread_status().await.is_err());
}
