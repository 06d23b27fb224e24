use std::time::Duration;

use super::net::good;
use super::net::joined_net;

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

// An operator's script publishes 20 versions within 100 ms. Were each fetched
// by each node, the fleet would carry 20 bodies for one that stays.
#[test]
fn a_burst_is_fetched_as_its_newest() {
    let mut net = joined_net(40, 2);
    net.cfg.eager_bytes = 0;
    let before: usize = net.up().map(|node| node.bodies).sum();
    for revision in 2..22 {
        net.publish(revision, &good(revision));
        net.run_for(Duration::from_millis(5));
    }
    net.run_until(Duration::from_secs(10), |net| net.all_at(21));
    let after: usize = net.up().map(|node| node.bodies).sum();
    let per_node = (after - before) as f64 / 40.0;
    assert!(per_node < 20.0, "{per_node} bodies a node");
}

#[test]
fn a_version_is_fetched_once_by_each_node() {
    let mut net = joined_net(40, 3);
    net.run_for(Duration::from_secs(5));
    let before: Vec<usize> = net.up().map(|node| node.bodies).collect();
    net.publish(2, &good(2));
    net.run_until(Duration::from_secs(10), |net| net.all_at(2));
    net.run_for(Duration::from_secs(5));
    for (node, before) in net.up().zip(before) {
        assert!(node.bodies <= before + 1);
    }
}
