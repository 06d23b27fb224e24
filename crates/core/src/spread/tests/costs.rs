use std::time::Duration;

use rstest::rstest;

use super::net::Net;
use super::net::joined_net;
use super::net::joined_net_with;
use super::net::valid_catalogue;
use crate::SpreadConfig;

#[test]
fn an_idle_node_sends_less_than_200_bytes_per_second() {
    let mut net = joined_net(40, 1);
    net.run_for(Duration::from_secs(30));
    let before: usize = net.running().map(|node| node.bytes_sent).sum();
    net.run_for(Duration::from_secs(100));
    let after: usize = net.running().map(|node| node.bytes_sent).sum();
    let per_node_s = (after - before) / (40 * 100);
    assert!(per_node_s < 200, "{per_node_s} bytes per node and second");
}

/// Announcements contain no changes, so each node fetches them.
fn without_eager_config(linger: Duration) -> SpreadConfig {
    SpreadConfig {
        eager_bytes: 0,
        linger,
        ..SpreadConfig::default()
    }
}

fn total_bodies(net: &Net) -> usize {
    net.running().map(|node| node.bodies_received).sum()
}

#[derive(Debug)]
struct Burst {
    linger: Duration,
    /// Bound on the fetched bodies per node.
    max_bodies: f64,
}

/// Guards against a burst of versions that are all fetched by every node: a script
/// publishes 20 versions within 20 ms, of which only the last stays in force.
#[rstest]
#[case(Burst { linger: Duration::ZERO, max_bodies: 8.0 })]
#[case(Burst { linger: Duration::from_millis(50), max_bodies: 3.0 })]
fn a_burst_is_mostly_fetched_as_its_newest_version(#[case] case: Burst) {
    let mut net = joined_net_with(40, 2, without_eager_config(case.linger));
    let before = total_bodies(&net);
    for revision in 2..22 {
        net.publish(revision, &valid_catalogue(revision));
        net.run_for(Duration::from_millis(1));
    }
    net.run_until(Duration::from_secs(10), |net| net.all_at_revision(21));
    let per_node = (total_bodies(&net) - before) as f64 / 40.0;
    assert!(
        per_node <= case.max_bodies,
        "{per_node} bodies per node: {case:?}"
    );
}

#[test]
fn each_node_fetches_a_version_at_most_once() {
    let mut net = joined_net_with(40, 3, without_eager_config(Duration::ZERO));
    net.run_for(Duration::from_secs(5));
    let before: Vec<usize> = net.running().map(|node| node.bodies_received).collect();
    net.publish(2, &valid_catalogue(2));
    net.run_until(Duration::from_secs(10), |net| net.all_at_revision(2));
    net.run_for(Duration::from_secs(5));
    let mut fetched = 0;
    for (node, before) in net.running().zip(before) {
        assert!(node.bodies_received <= before + 1);
        fetched += node.bodies_received - before;
    }
    assert!(fetched >= 30, "{fetched} of 40 nodes fetched it");
}
