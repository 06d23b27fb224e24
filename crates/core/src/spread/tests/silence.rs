use std::time::Duration;

use rstest::rstest;

use super::net::few_reads;
use super::net::good;
use super::net::joined_net_with;
use super::node::Node;
use crate::InstanceState;

/// From the platform's return on nodes have this time to follow it again.
const IN_TOUCH: Duration = Duration::from_secs(3);

/// How long a change may take from its acceptance until it is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Guards against a watch that is asked during a silence and waited for to its end.
#[rstest]
fn changes_after_a_silence_are_in_force_in_time(
    #[values(3, 14, 79)] nodes: usize,
    #[values(1, 3, 5, 9, 14)] silent_s: u64,
    #[values(10, 200, 700, 4_000, 8_000)] news_before_ms: u64,
) {
    let mut net = joined_net_with(nodes, silent_s, few_reads());
    net.run_for(Duration::from_secs(5));
    let all = net.platform.newest_list();
    net.list(all.clone());
    net.publish(2, &good(2));
    net.run_for(Duration::from_millis(news_before_ms));
    net.set_silent(true);
    net.run_for(Duration::from_secs(silent_s));
    net.set_silent(false);
    net.run_for(IN_TOUCH);
    let mut leaving = all;
    leaving[1].state = InstanceState::Leaving;
    net.list(leaving);
    net.publish(3, &good(3));
    let newest = (3, net.platform.lists());
    net.run_until(IN_FORCE, |net| {
        let holds = |node: &Node| node.applied.last() == Some(&newest);
        net.up().all(holds)
    });
    net.assert_no_step_back();
}

/// Guards against a list that is put off for two reasons, one after the other.
#[rstest]
fn a_list_that_lacks_many_after_a_silence_is_put_off_once(
    #[values(3, 6, 14)] nodes: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut net = joined_net_with(nodes, seed, few_reads());
    net.run_for(Duration::from_secs(5));
    let all = net.platform.newest_list();
    net.list(all.clone());
    net.run_for(Duration::from_millis(300 + 150 * seed));
    net.set_silent(true);
    net.run_for(Duration::from_millis(13_000 + 200 * seed));
    net.list(all[..nodes - nodes / 3].to_vec());
    net.set_silent(false);
    net.run_for(IN_TOUCH);
    let mut leaving = net.platform.newest_list();
    leaving[0].state = InstanceState::Leaving;
    net.list(leaving);
    let newest = net.platform.lists();
    net.run_until(IN_FORCE, |net| {
        let holds = |node: &Node| node.applied.last().is_some_and(|it| it.1 == newest);
        net.up().all(holds)
    });
}

/// Guards against unlisted nodes that hold an old catalogue after a silence.
#[rstest]
fn nodes_that_nobody_lists_follow_after_a_silence(
    #[values(3, 14)] nodes: usize,
    #[values(9, 14)] silent_s: u64,
) {
    let mut net = joined_net_with(nodes, silent_s, few_reads());
    net.run_for(Duration::from_secs(5));
    net.list(Vec::new());
    net.run_for(Duration::from_secs(8));
    net.set_silent(true);
    net.run_for(Duration::from_secs(silent_s));
    net.set_silent(false);
    net.run_for(IN_TOUCH);
    net.publish(2, &good(2));
    net.run_until(IN_FORCE, |net| net.all_at(2));
}

/// Guards against watches that all nodes ask into a silence, right after an answer.
#[rstest]
fn a_silence_that_begins_with_a_change_is_noticed(#[values(3, 14, 79)] nodes: usize) {
    let mut net = joined_net_with(nodes, 1, few_reads());
    net.run_for(Duration::from_secs(5));
    net.publish(2, &good(2));
    net.set_silent(true);
    net.run_for(Duration::from_secs(4));
    net.set_silent(false);
    net.run_for(IN_TOUCH);
    net.publish(3, &good(3));
    net.run_until(IN_FORCE, |net| net.all_at(3));
}

/// Guards against changes that are missed on connections which fell silent while new ones work.
#[rstest]
fn changes_over_silent_connections_are_in_force_in_time(
    #[values(3, 14, 79, 195)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
    #[values(10, 500, 990)] change_after_ms: u64,
) {
    let change_after = Duration::from_millis(change_after_ms);
    let mut net = joined_net_with(nodes, seed, few_reads());
    net.run_for(Duration::from_secs(15));
    net.silence_connections();
    net.run_for(change_after);
    let mut leaving = net.platform.newest_list();
    leaving[1].state = InstanceState::Leaving;
    net.list(leaving);
    net.publish(2, &good(2));
    let newest = (2, net.platform.lists());
    net.run_until(IN_TOUCH - change_after, |net| {
        let holds = |node: &Node| node.applied.last() == Some(&newest);
        net.up().all(holds)
    });
    net.assert_no_step_back();
}
