//! Reads that take old answers.

use std::time::Duration;

use super::net::Net;
use super::net::ample_reads;
use super::net::good;
use super::net::joined_net_with;
use crate::Instance;

const SOON: Duration = Duration::from_secs(5);

/// A fleet of which none has started and only the first `listed` are in the list,
/// with the whole list.
fn partly_listed(n: usize, seed: u64, listed: usize) -> (Net, Vec<Instance>) {
    let mut net = Net::idle(n, seed, ample_reads());
    let all = net.platform.newest_list();
    net.list(all[..listed].to_vec());
    (net, all)
}

/// Guards against a starting fleet whose every node makes full-price reads.
#[test]
fn a_fleet_that_starts_reads_the_list_by_answers_that_may_lag() {
    let net = joined_net_with(195, 1, ample_reads());
    let reads = net.platform.reads.len();
    let newest = reads - net.platform.lagging;
    assert!(
        newest <= 20,
        "{newest} of {reads} reads asked for the newest"
    );
}

/// Guards against nodes that stay at the lagging answers they started from.
#[test]
fn a_fleet_that_starts_from_old_answers_has_the_newest_at_once() {
    let mut net = Net::new(60, 2, ample_reads());
    net.publish(2, &good(2));
    net.list(net.platform.newest_list());
    net.platform.lag = Some(1);
    for n in 0..60 {
        net.start(n);
    }
    let took = net.run_until(SOON, |net| {
        net.up().all(|node| node.joined) && net.all_at(2)
    });
    assert!(took < Duration::from_secs(1), "{took:?}");
    net.assert_no_step_back();
}

/// Guards against lagging reads that are repeated until they catch up.
#[test]
fn what_an_old_answer_lacks_is_asked_of_the_newest() {
    let mut net = Net::idle(6, 3, ample_reads());
    net.platform.lag = Some(0);
    for n in 0..6 {
        net.start(n);
    }
    net.run_until(SOON, |net| net.up().all(|node| node.joined));
    assert!(net.all_at(1));
}

/// Guards against unlisted nodes that each follow the platform's list.
#[test]
fn a_fleet_that_waits_to_be_listed_asks_its_peers() {
    let (mut net, listed) = partly_listed(195, 4, 5);
    for n in 0..195 {
        net.start(n);
    }
    for count in (15..=195).step_by(10) {
        net.run_for(Duration::from_millis(50));
        net.list(listed[..count].to_vec());
    }
    net.run_until(SOON, |net| {
        net.up().all(|node| node.joined) && net.all_at(1)
    });
    net.run_for(SOON);
    let newest = net.platform.reads.len() - net.platform.lagging;
    assert!(newest < 195, "{newest} reads asked for the newest");
    let whole = net.up().filter(|node| node.endpoints() == 195).count();
    assert_eq!(whole, 195, "nodes that hold the whole list");
}

/// Guards against a new node that misses a version before it is listed.
#[test]
fn a_node_that_waits_to_be_listed_hears_of_a_version_soon() {
    let (mut net, listed) = partly_listed(40, 5, 39);
    for n in 0..39 {
        net.start(n);
    }
    net.run_until(SOON, |net| net.all_at(1));
    net.start(39);
    net.run_until(SOON, |net| net.node(39).joined);
    net.publish(2, &good(2));
    let took = net.run_until(SOON, |net| net.all_at(2));
    assert!(took < Duration::from_secs(1), "{took:?}");
    net.list(listed);
    net.run_until(SOON, |net| net.node(0).endpoints() == 40);
}
