//! Reads that accept lagging answers.

use std::time::Duration;

use super::net::Net;
use super::net::ample_reads_config;
use super::net::joined_net_with;
use super::net::valid_catalogue;
use crate::Instance;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A fleet that has not started and of which only the first `listed` nodes are listed,
/// together with the whole list.
fn partly_listed(n: usize, seed: u64, listed: usize) -> (Net, Vec<Instance>) {
    let mut net = Net::stopped(n, seed, ample_reads_config());
    let all = net.platform.newest_list();
    net.publish_list(all[..listed].to_vec());
    (net, all)
}

/// Guards against a starting fleet in which every node makes expensive reads of the
/// newest value.
#[test]
fn a_starting_fleet_reads_the_list_mostly_with_lagging_answers() {
    let net = joined_net_with(195, 1, ample_reads_config());
    let reads = net.platform.reads.len();
    let newest = reads - net.platform.lagging_reads;
    assert!(
        newest <= 20,
        "{newest} of {reads} reads asked for the newest"
    );
}

/// Guards against nodes that stay at the lagging answers that they started from.
#[test]
fn a_fleet_that_starts_from_lagging_answers_soon_has_the_newest_version() {
    let mut net = Net::new(60, 2, ample_reads_config());
    net.publish(2, &valid_catalogue(2));
    net.publish_list(net.platform.newest_list());
    net.platform.lag = Some(1);
    for n in 0..60 {
        net.start(n);
    }
    let took = net.run_until(TIMEOUT, |net| {
        net.running().all(|node| node.joined) && net.all_at_revision(2)
    });
    assert!(took < Duration::from_secs(1), "{took:?}");
    net.assert_no_step_back();
}

/// Guards against lagging reads that are repeated until they catch up.
#[test]
fn an_empty_lagging_answer_is_followed_by_a_read_of_the_newest() {
    let mut net = Net::stopped(6, 3, ample_reads_config());
    net.platform.lag = Some(0);
    for n in 0..6 {
        net.start(n);
    }
    net.run_until(TIMEOUT, |net| net.running().all(|node| node.joined));
    assert!(net.all_at_revision(1));
}

/// Guards against unlisted nodes that each follow the platform's list.
#[test]
fn unlisted_nodes_get_the_list_from_peers() {
    let (mut net, listed) = partly_listed(195, 4, 5);
    for n in 0..195 {
        net.start(n);
    }
    for count in (15..=195).step_by(10) {
        net.run_for(Duration::from_millis(50));
        net.publish_list(listed[..count].to_vec());
    }
    net.run_until(TIMEOUT, |net| {
        net.running().all(|node| node.joined) && net.all_at_revision(1)
    });
    net.run_for(TIMEOUT);
    let newest = net.platform.reads.len() - net.platform.lagging_reads;
    assert!(newest < 195, "{newest} reads asked for the newest");
    let whole = net.running().filter(|node| node.endpoints() == 195).count();
    assert_eq!(whole, 195, "nodes that hold the whole list");
}

/// Guards against a new node that misses a version before it is listed.
#[test]
fn an_unlisted_node_receives_a_version_soon() {
    let (mut net, listed) = partly_listed(40, 5, 39);
    for n in 0..39 {
        net.start(n);
    }
    net.run_until(TIMEOUT, |net| net.all_at_revision(1));
    net.start(39);
    net.run_until(TIMEOUT, |net| net.node(39).joined);
    net.publish(2, &valid_catalogue(2));
    let took = net.run_until(TIMEOUT, |net| net.all_at_revision(2));
    assert!(took < Duration::from_secs(1), "{took:?}");
    net.publish_list(listed);
    net.run_until(TIMEOUT, |net| net.node(0).endpoints() == 40);
}
