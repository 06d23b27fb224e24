use std::time::Duration;

use rstest::rstest;

use super::net::Net;
use super::net::joined_net;
use super::net::joined_net_with;
use super::net::valid_catalogue;
use super::node::Node;
use crate::AuditEvent;
use crate::Instance;
use crate::InstanceState;
use crate::SpreadConfig;

#[test]
fn every_node_joins_and_applies_each_version() {
    let mut net = joined_net(30, 1);
    for revision in 2..12 {
        net.publish(revision, &valid_catalogue(revision));
        net.run_until(Duration::from_secs(10), |net| net.all_at_revision(revision));
    }
    net.assert_no_step_back();
}

#[test]
fn only_the_chosen_readers_of_each_domain_read() {
    let mut net = joined_net(60, 2);
    net.run_for(Duration::from_secs(600));
    assert_eq!(net.readers().len(), 2 * 3);
    for (n, node) in net.nodes.iter().flatten().enumerate() {
        let role_change = |event: &&AuditEvent| matches!(event, AuditEvent::Reading { .. });
        let changes = node.audit.iter().filter(role_change).count();
        assert!(changes <= 1, "node {n}: {:?}", node.audit);
    }
    for node in net.readers() {
        let rank = net.node(node).machine.status(net.now).rank;
        assert!(rank.is_some_and(|rank| rank < 2), "{rank:?}");
    }
}

/// Guards against a version that isn't forwarded beyond a stopped successor.
#[test]
fn versions_are_forwarded_past_stopped_nodes() {
    let mut net = joined_net(60, 6);
    net.run_for(Duration::from_secs(10));
    let readers = net.readers();
    for n in (0..60).filter(|n| n % 5 == 0 && !readers.contains(n)) {
        net.stop(n);
    }
    let mut slowest = Duration::ZERO;
    for revision in 2..7 {
        net.publish(revision, &valid_catalogue(revision));
        let took = net.run_until(Duration::from_secs(10), |net| net.all_at_revision(revision));
        slowest = slowest.max(took);
    }
    assert!(slowest < Duration::from_millis(300), "{slowest:?}");
}

#[test]
fn a_single_node_joins_from_the_platform() {
    let mut net = Net::new(1, 3, SpreadConfig::default());
    net.run_until(Duration::from_secs(10), |net| net.node(0).joined);
    assert!(net.all_at_revision(1));
}

/// Guards against a starting fleet that waits for a lagging list.
#[test]
fn unlisted_nodes_join_and_become_peers_once_they_are_listed() {
    let mut net = Net::stopped(6, 12, SpreadConfig::default());
    let listed = net.platform.newest_list();
    net.publish_list(Vec::new());
    for node in 0..6 {
        net.start(node);
    }
    let timeout = Duration::from_secs(20);
    net.run_until(timeout, |net| net.running().all(|node| node.joined));
    assert!(net.all_at_revision(1));
    net.publish_list(listed);
    net.run_until(timeout, |net| {
        net.running()
            .all(|node| node.machine.status(net.now).peers == 5)
    });
    net.publish(2, &valid_catalogue(2));
    net.run_until(timeout, |net| net.all_at_revision(2));
    net.assert_no_step_back();
}

#[test]
fn a_node_joins_through_its_seeds_during_a_platform_outage() {
    let mut net = joined_net(6, 4);
    net.stop(5);
    net.set_outage(true);
    net.seeds = vec![super::node::addr(0), super::node::addr(1)];
    net.start(5);
    net.run_until(Duration::from_secs(10), |net| net.node(5).joined);
    assert_eq!(net.node(5).revision(), 1);
}

#[test]
fn every_naive_node_reads_and_watches_the_platform() {
    let mut net = Net::stopped(20, 5, SpreadConfig::default());
    net.naive = true;
    for node in 0..20 {
        net.start(node);
    }
    net.run_until(Duration::from_secs(5), |net| net.all_at_revision(1));
    net.publish(2, &valid_catalogue(2));
    net.run_until(Duration::from_secs(5), |net| net.all_at_revision(2));
    assert!(net.messages.is_empty());
    assert!(net.platform.reads.len() >= 20 * 4);
}

/// Guards against nodes of drained or crashed targets that route by old versions.
#[rstest]
#[case::leaving(|list: &mut Vec<Instance>| list.iter_mut().take(6).for_each(|it| it.state = InstanceState::Leaving))]
#[case::unlisted(|list: &mut Vec<Instance>| drop(list.drain(..6)))]
fn nodes_without_a_live_target_apply_versions_as_soon_as_others(
    #[case] change: fn(&mut Vec<Instance>),
) {
    let cfg = SpreadConfig {
        assumed_fleet: 30,
        ..SpreadConfig::default()
    };
    let mut net = joined_net_with(30, 7, cfg);
    let mut list = net.platform.newest_list();
    change(&mut list);
    net.publish_list(list);
    net.run_for(Duration::from_secs(30));
    let mut slowest = Duration::ZERO;
    for revision in 2..12 {
        net.publish(revision, &valid_catalogue(revision));
        let took = net.run_until(Duration::from_secs(10), |net| net.all_at_revision(revision));
        slowest = slowest.max(took);
        net.run_for(Duration::from_millis(700));
    }
    assert!(slowest < Duration::from_millis(300), "{slowest:?}");
}

/// Guards against removed nodes that don't receive the list that removes them.
#[test]
fn removed_nodes_receive_the_list_as_soon_as_others() {
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
        net.publish_list(list);
        let newest = net.platform.newest_list_revision();
        let took = net.run_until(Duration::from_secs(10), |net| {
            let has_newest = |node: &Node| node.applied.last().is_some_and(|it| it.1 == newest);
            net.running().all(has_newest)
        });
        slowest = slowest.max(took);
    }
    assert!(slowest < Duration::from_millis(300), "{slowest:?}");
}
