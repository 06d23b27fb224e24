//! What is published, on three nodes.

use rstest::rstest;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_node::RunningNode;

use crate::common::CATALOGUE;
use crate::support::Fleet;
use crate::support::broken;
use crate::support::in_force;
use crate::support::revisions;
use crate::support::until;

/// Guards against a bad catalogue that is put in force, or that holds up the next one.
#[rstest]
#[case::route_without_its_service(broken())]
#[case::no_yaml("kinds: [".to_owned())]
#[case::empty(String::new())]
#[case::key_twice(format!("{CATALOGUE}kinds: {{}}\n"))]
#[case::out_of_range(CATALOGUE.replace("weight: 1", "weight: 0"))]
#[case::undeclared_kind(CATALOGUE.replace("lookup: {weight: 1}", "look: {weight: 1}"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_version_between_two_good_ones_is_passed_over(#[case] bad: String) {
    let fleet = Fleet::start(3).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    fleet.until_ready().await;

    let second = fleet.publish(&bad);
    let refused = |node: &RunningNode| !revisions(node, "refused").is_empty();
    until(|| fleet.nodes.iter().any(refused)).await;
    for node in &fleet.nodes {
        assert_eq!(in_force(node), Some(first));
    }

    let third = fleet.publish(&CATALOGUE.replace("/workshop,", "/workshop/desk,"));
    fleet.until_in_force(third).await;
    for node in &fleet.nodes {
        assert!(!revisions(node, "applied").contains(&second.get()));
        let snapshot = node.snapshot().expect("a snapshot");
        assert!(snapshot.match_route(None, "/workshop/desk/1").is_some());
        assert!(snapshot.match_route(None, "/workshop/1").is_none());
    }
    fleet.cancel.cancel();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_traffic_is_counted_for_each_node() {
    let fleet = Fleet::start(3).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    let all = || {
        let mut stats = fleet.nodes.iter().map(RunningNode::control_stats);
        stats.all(|it| it.bytes_in > 0 && it.bytes_out > 0)
    };
    until(all).await;
    let stats: Vec<_> = fleet.nodes.iter().map(RunningNode::control_stats).collect();
    assert!(stats.iter().any(|it| it.reads > 0), "{stats:?}");
    assert!(fleet.platform.stats().reads > 0);
    fleet.cancel.cancel();
}

/// Guards against a node that takes requests before it can serve them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_without_catalogue_is_not_ready() {
    let fleet = Fleet::start(1).await;
    let node = &fleet.nodes[0];
    until(|| fleet.platform.stats().reads >= 4).await;
    assert_eq!(node.shared().phase(), Phase::Starting);
    assert!(node.snapshot().is_none());
    fleet.publish(CATALOGUE);
    fleet.until_ready().await;
    fleet.cancel.cancel();
}

/// Guards against peers that don't know of a planned stop while the list lags.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_is_told_to_the_others() {
    let fleet = Fleet::start(3).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    let leaving = InstanceId::new("wd-0").expect("a name");
    let phase_at = |node: &RunningNode| {
        let view = node.shared().view()?;
        view.phase(&leaving)
    };
    for other in &fleet.nodes[1..] {
        until(|| phase_at(other) == Some(Phase::Ready)).await;
    }
    fleet.nodes[0].drain().await;
    for other in &fleet.nodes[1..] {
        until(|| phase_at(other) == Some(Phase::Draining)).await;
    }
    let report = fleet.nodes[0].stop().await.expect("a report");
    assert_eq!(report.cut, 0);
    for other in &fleet.nodes[1..] {
        until(|| phase_at(other) == Some(Phase::Gone)).await;
    }
    fleet.cancel.cancel();
}

/// Guards against a cancelled node that works on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_node_ends_at_once() {
    let fleet = Fleet::start(1).await;
    fleet.cancel.cancel();
    let report = fleet.nodes[0].ended().await.expect("a report");
    assert_eq!(report.cut, 0);
    assert!(fleet.nodes[0].spread_status().await.is_err());
}
