use std::time::Duration;

use rstest::rstest;

use super::net::Net;
use super::net::good;
use super::net::joined_net;
use super::net::joined_net_with;
use crate::SpreadConfig;

#[test]
fn an_idle_node_sends_less_than_a_kilobyte_a_second() {
    let mut net = joined_net(40, 1);
    net.run_for(Duration::from_secs(30));
    let before: usize = net.up().map(|node| node.bytes).sum();
    net.run_for(Duration::from_secs(100));
    let after: usize = net.up().map(|node| node.bytes).sum();
    let per_node_s = (after - before) / (40 * 100);
    assert!(per_node_s < 200, "{per_node_s} bytes a node and second");
}

/// No change goes out with its announcement: each is fetched.
fn without_eager(linger: Duration) -> SpreadConfig {
    SpreadConfig {
        eager_bytes: 0,
        linger,
        ..SpreadConfig::default()
    }
}

fn bodies(net: &Net) -> usize {
    net.up().map(|node| node.bodies).sum()
}

#[derive(Debug)]
struct Burst {
    linger: Duration,
    /// Bodies a node that are fetched at most.
    at_most: f64,
}

// An operator's script publishes 20 versions within 20 ms. Were each fetched
// by each node, the fleet would carry 20 bodies for one that stays.
#[rstest]
#[case(Burst { linger: Duration::ZERO, at_most: 8.0 })]
#[case(Burst { linger: Duration::from_millis(50), at_most: 3.0 })]
fn a_burst_is_fetched_as_its_newest(#[case] case: Burst) {
    let mut net = joined_net_with(40, 2, without_eager(case.linger));
    let before = bodies(&net);
    for revision in 2..22 {
        net.publish(revision, &good(revision));
        net.run_for(Duration::from_millis(1));
    }
    net.run_until(Duration::from_secs(10), |net| net.all_at(21));
    let per_node = (bodies(&net) - before) as f64 / 40.0;
    assert!(
        per_node <= case.at_most,
        "{per_node} bodies a node: {case:?}"
    );
}

#[test]
fn a_version_is_fetched_once_by_each_node() {
    let mut net = joined_net_with(40, 3, without_eager(Duration::ZERO));
    net.run_for(Duration::from_secs(5));
    let before: Vec<usize> = net.up().map(|node| node.bodies).collect();
    net.publish(2, &good(2));
    net.run_until(Duration::from_secs(10), |net| net.all_at(2));
    net.run_for(Duration::from_secs(5));
    let mut fetched = 0;
    for (node, before) in net.up().zip(before) {
        assert!(node.bodies <= before + 1);
        fetched += node.bodies - before;
    }
    assert!(fetched >= 30, "{fetched} of 40 nodes fetched it");
}
