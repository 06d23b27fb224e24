//! Many nodes at once, on the threads of one runtime.

use std::time::Duration;
use std::time::Instant;

use sassafrasspool_core::Stream;

use crate::common::CATALOGUE;
use crate::support::Fleet;
use crate::support::revisions;

/// Nodes of the herd.
const HERD: usize = 40;

/// Guards against a starting fleet that exceeds the read budget or stays unready.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn herd_start_becomes_ready_within_the_read_budget() {
    let begun = Instant::now();
    let fleet = Fleet::start(HERD).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    let stats = fleet.platform.stats();
    assert_eq!(stats.refused, 0, "{stats:?}");
    let next = fleet.publish(&CATALOGUE.replace("weight: 1", "weight: 2"));
    fleet.until_in_force(next).await;
    assert!(begun.elapsed() < Duration::from_secs(60));
    fleet.cancel.cancel();
    for node in &fleet.nodes {
        node.ended().await.expect("a report");
    }
}

/// Guards against a restarting fleet that exceeds the read budget or stays behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn herd_restart_comes_back_within_the_read_budget() {
    let mut fleet = Fleet::start(HERD).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    let next = fleet.publish(&CATALOGUE.replace("weight: 1", "weight: 2"));
    fleet.crash_and_restart(0..HERD).await;
    fleet.until_in_force(next).await;
    fleet.until_ready().await;
    let stats = fleet.platform.stats();
    assert_eq!(stats.refused, 0, "{stats:?}");
    fleet.cancel.cancel();
}

/// Guards against nodes that restart empty while the platform is out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restart_during_an_outage_takes_what_peers_hold() {
    let mut fleet = Fleet::start(6).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    fleet.platform.set_outage(true);
    fleet.crash_and_restart(0..3).await;
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    fleet.platform.set_outage(false);
    let next = fleet.publish(&CATALOGUE.replace("weight: 1", "weight: 2"));
    fleet.until_in_force(next).await;
    fleet.cancel.cancel();
}

/// Guards against an old catalogue in force after a restart beside a stale platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restart_beside_a_stale_platform_never_goes_back() {
    let mut fleet = Fleet::start(3).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    let next = fleet.publish(&CATALOGUE.replace("weight: 1", "weight: 2"));
    fleet.until_in_force(next).await;
    fleet.until_ready().await;
    let stale = fleet.platform.set_stale_at(Stream::Catalogue, first);
    stale.expect("an older revision");
    fleet.crash_and_restart(0..1).await;
    fleet.until_in_force(next).await;
    fleet.until_ready().await;
    assert_eq!(revisions(&fleet.nodes[0], "applied"), [next.get()]);
    for node in &fleet.nodes[1..] {
        assert_eq!(revisions(node, "applied"), [first.get(), next.get()]);
    }
    fleet.cancel.cancel();
}
