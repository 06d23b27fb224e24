use std::time::Duration;

use rstest::rstest;

use super::net::Net;
use super::net::good;
use super::net::joined_net;
use super::net::joined_net_with;
use super::node::Node;
use crate::AuditEvent;
use crate::Instance;
use crate::InstanceState;
use crate::SpreadConfig;

#[test]
fn every_node_joins_and_follows_each_version() {
    let mut net = joined_net(30, 1);
    for revision in 2..12 {
        net.publish(revision, &good(revision));
        net.run_until(Duration::from_secs(10), |net| net.all_at(revision));
    }
    net.assert_no_step_back();
}

#[test]
fn only_the_readers_of_each_domain_read() {
    let mut net = joined_net(60, 2);
    net.run_for(Duration::from_secs(600));
    assert_eq!(net.readers().len(), 2 * 3);
    for (n, node) in net.nodes.iter().flatten().enumerate() {
        let acts = |event: &&AuditEvent| matches!(event, AuditEvent::Reading { .. });
        let changes = node.audit.iter().filter(acts).count();
        assert!(changes <= 1, "node {n}: {:?}", node.audit);
    }
    for node in net.readers() {
        let rank = net.node(node).machine.status(net.now).rank;
        assert!(rank.is_some_and(|rank| rank < 2), "{rank:?}");
    }
}

/// Guards against news that end at a successor that has died.
#[test]
fn dead_successors_are_stepped_over() {
    let mut net = joined_net(60, 6);
    net.run_for(Duration::from_secs(10));
    let readers = net.readers();
    for n in (0..60).filter(|n| n % 5 == 0 && !readers.contains(n)) {
        net.stop(n);
    }
    let mut slowest = Duration::ZERO;
    for revision in 2..7 {
        net.publish(revision, &good(revision));
        let took = net.run_until(Duration::from_secs(10), |net| net.all_at(revision));
        slowest = slowest.max(took);
    }
    assert!(slowest < Duration::from_millis(300), "{slowest:?}");
}

#[test]
fn a_node_that_is_alone_joins_by_the_platform() {
    let mut net = Net::new(1, 3, SpreadConfig::default());
    net.run_until(Duration::from_secs(10), |net| net.node(0).joined);
    assert!(net.all_at(1));
}

/// Guards against a starting fleet that waits for a lagging list.
#[test]
fn nodes_that_nobody_lists_yet_join_and_find_each_other() {
    let mut net = Net::idle(6, 12, SpreadConfig::default());
    let listed = net.platform.newest_list();
    net.list(Vec::new());
    for node in 0..6 {
        net.start(node);
    }
    let soon = Duration::from_secs(20);
    net.run_until(soon, |net| net.up().all(|node| node.joined));
    assert!(net.all_at(1));
    net.list(listed);
    net.run_until(soon, |net| {
        net.up().all(|node| node.machine.status(net.now).peers == 5)
    });
    net.publish(2, &good(2));
    net.run_until(soon, |net| net.all_at(2));
    net.assert_no_step_back();
}

#[test]
fn a_node_joins_by_its_seeds_while_the_platform_is_out() {
    let mut net = joined_net(6, 4);
    net.stop(5);
    net.set_outage(true);
    net.seeds = vec![super::node::addr(0), super::node::addr(1)];
    net.start(5);
    net.run_until(Duration::from_secs(10), |net| net.node(5).joined);
    assert_eq!(net.node(5).revision(), 1);
}

#[test]
fn naive_nodes_all_read_and_watch() {
    let mut net = Net::idle(20, 5, SpreadConfig::default());
    net.naive = true;
    for node in 0..20 {
        net.start(node);
    }
    net.run_until(Duration::from_secs(5), |net| net.all_at(1));
    net.publish(2, &good(2));
    net.run_until(Duration::from_secs(5), |net| net.all_at(2));
    assert!(net.messages.is_empty());
    assert!(net.platform.reads.len() >= 20 * 4);
}

/// Guards against nodes beside drained or crashed targets that route by old versions.
#[rstest]
#[case::leaving(|list: &mut Vec<Instance>| list.iter_mut().take(6).for_each(|it| it.state = InstanceState::Leaving))]
#[case::unlisted(|list: &mut Vec<Instance>| drop(list.drain(..6)))]
fn nodes_without_a_live_target_follow_as_soon_as_others(#[case] change: fn(&mut Vec<Instance>)) {
    let cfg = SpreadConfig {
        assumed_fleet: 30,
        ..SpreadConfig::default()
    };
    let mut net = joined_net_with(30, 7, cfg);
    let mut list = net.platform.newest_list();
    change(&mut list);
    net.list(list);
    net.run_for(Duration::from_secs(30));
    let mut slowest = Duration::ZERO;
    for revision in 2..12 {
        net.publish(revision, &good(revision));
        let took = net.run_until(Duration::from_secs(10), |net| net.all_at(revision));
        slowest = slowest.max(took);
        net.run_for(Duration::from_millis(700));
    }
    assert!(slowest < Duration::from_millis(300), "{slowest:?}");
}

/// Guards against nodes that aren't told that the list dropped them.
#[test]
fn unlisted_nodes_hear_of_it_as_soon_as_others() {
    let cfg = SpreadConfig {
        assumed_fleet: 30,
        ..SpreadConfig::default()
    };
    let mut net = joined_net_with(30, 8, cfg);
    let mut slowest = Duration::ZERO;
    for _ in 0..10 {
        net.run_for(Duration::from_millis(700));
        let mut list = net.platform.newest_list();
        list.drain(..2);
        net.list(list);
        let newest = net.platform.lists();
        let took = net.run_until(Duration::from_secs(10), |net| {
            let held = |node: &Node| node.applied.last().is_some_and(|it| it.1 == newest);
            net.up().all(held)
        });
        slowest = slowest.max(took);
    }
    assert!(slowest < Duration::from_millis(300), "{slowest:?}");
}
