//! Starts and restarts of whole fleets, on the threads of one runtime.

use std::time::Duration;
use std::time::Instant;

use sassafrasspool_core::Stream;

use crate::common::CATALOGUE;
use crate::support::Fleet;
use crate::support::audited_revisions;

/// Nodes that start at the same time.
const NODES: usize = 40;

/// Guards against a starting fleet that exceeds the read budget or stays unready.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_starting_fleet_becomes_ready_within_the_read_budget() {
    let start = Instant::now();
    let fleet = Fleet::start(NODES).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    let stats = fleet.platform.stats();
    assert_eq!(stats.refused, 0, "{stats:?}");
    let next = fleet.publish(&CATALOGUE.replace("weight: 1", "weight: 2"));
    fleet.wait_until_in_force(next).await;
    assert!(start.elapsed() < Duration::from_secs(60));
    fleet.cancel.cancel();
    for node in &fleet.nodes {
        node.wait_until_ended().await.expect("a stop report");
    }
}

/// Guards against a restarting fleet that exceeds the read budget or misses a version.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restarting_fleet_becomes_ready_within_the_read_budget() {
    let mut fleet = Fleet::start(NODES).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    let next = fleet.publish(&CATALOGUE.replace("weight: 1", "weight: 2"));
    fleet.crash_and_restart(0..NODES).await;
    fleet.wait_until_in_force(next).await;
    fleet.wait_until_ready().await;
    let stats = fleet.platform.stats();
    assert_eq!(stats.refused, 0, "{stats:?}");
    fleet.cancel.cancel();
}

/// Guards against nodes that have no versions after a restart during a platform outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_restarted_in_an_outage_fetch_versions_from_peers() {
    let mut fleet = Fleet::start(6).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    fleet.platform.set_outage(true);
    fleet.crash_and_restart(0..3).await;
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    fleet.platform.set_outage(false);
    let next = fleet.publish(&CATALOGUE.replace("weight: 1", "weight: 2"));
    fleet.wait_until_in_force(next).await;
    fleet.cancel.cancel();
}

/// Guards against an older catalogue in force after a restart while the platform serves
/// stale versions.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_restarted_with_a_stale_platform_applies_no_older_version() {
    let mut fleet = Fleet::start(3).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    let next = fleet.publish(&CATALOGUE.replace("weight: 1", "weight: 2"));
    fleet.wait_until_in_force(next).await;
    fleet.wait_until_ready().await;
    let stale = fleet.platform.set_stale_revision(Stream::Catalogue, first);
    stale.expect("an older revision");
    fleet.crash_and_restart(0..1).await;
    fleet.wait_until_in_force(next).await;
    fleet.wait_until_ready().await;
    assert_eq!(audited_revisions(&fleet.nodes[0], "applied"), [next.get()]);
    for node in &fleet.nodes[1..] {
        assert_eq!(
            audited_revisions(node, "applied"),
            [first.get(), next.get()]
        );
    }
    fleet.cancel.cancel();
}
