//! What is published, on three nodes.

use sassafrasspool_core::Phase;
use sassafrasspool_core::Stream;
use sassafrasspool_node::RunningNode;
use sassafrasspool_wire::admin::AuditRecord;

use crate::support::CATALOGUE;
use crate::support::Fleet;
use crate::support::broken;
use crate::support::in_force;
use crate::support::until;

/// The node's records of one kind about the catalogue.
fn records(node: &RunningNode, event: &str) -> Vec<AuditRecord> {
    let page = node.audit(0);
    let mut records = page.records;
    records.retain(|it| it.event == event && it.stream == Some(Stream::Catalogue));
    records
}

// An operator publishes a good catalogue, then one with a route to a service
// that it doesn't have, then a good one. The second must not come into force
// anywhere, not even in part, and must not stand in the way of the third.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_version_between_two_good_ones_is_passed_over() {
    let fleet = Fleet::start(3).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    fleet.until_ready().await;

    let second = fleet.publish(&broken());
    let refused = || {
        fleet
            .nodes
            .iter()
            .any(|it| !records(it, "refused").is_empty())
    };
    until(refused).await;
    for node in &fleet.nodes {
        assert_eq!(in_force(node), Some(first));
    }

    let third = fleet.publish(&CATALOGUE.replace("/workshop,", "/workshop/desk,"));
    fleet.until_in_force(third).await;
    for node in &fleet.nodes {
        let applied = records(node, "applied");
        let told = |record: &AuditRecord| record.version.as_ref().map(|it| it.revision);
        assert!(!applied.iter().any(|it| told(it) == Some(second.get())));
        let snapshot = node.snapshot().expect("a snapshot");
        assert!(snapshot.match_route("/workshop/desk/1").is_some());
        assert!(snapshot.match_route("/workshop/1").is_none());
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

// The instance list comes without a catalogue, and the target hasn't started
// yet. The node must not take requests before it holds both inputs and its
// target has answered.
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

// The caller's token ends a node at once, as a crash does: nothing is told to
// the others and nothing goes on to run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_node_ends_at_once() {
    let fleet = Fleet::start(1).await;
    fleet.cancel.cancel();
    let report = fleet.nodes[0].ended().await.expect("a report");
    assert_eq!(report.cut, 0);
    assert!(fleet.nodes[0].spread_status().await.is_err());
}
