use std::time::Duration;

use rstest::rstest;

use super::net::joined_net_with;
use super::net::scarce_reads_config;
use super::net::valid_catalogue;
use super::node::Node;
use crate::InstanceState;

/// Time that nodes have to follow the platform again after a silence.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time that a change may take from its acceptance until it is in force everywhere.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against a node that waits out a watch which began during a silence.
#[rstest]
fn changes_after_a_silence_are_in_force_in_time(
    #[values(3, 14, 79)] nodes: usize,
    #[values(1, 3, 5, 9, 14)] silent_s: u64,
    #[values(10, 200, 700, 4_000, 8_000)] published_before_ms: u64,
) {
    let mut net = joined_net_with(nodes, silent_s, scarce_reads_config());
    net.run_for(Duration::from_secs(5));
    let all = net.platform.newest_list();
    net.publish_list(all.clone());
    net.publish(2, &valid_catalogue(2));
    net.run_for(Duration::from_millis(published_before_ms));
    net.set_silent(true);
    net.run_for(Duration::from_secs(silent_s));
    net.set_silent(false);
    net.run_for(RECOVERY_TIMEOUT);
    let mut leaving = all;
    leaving[1].state = InstanceState::Leaving;
    net.publish_list(leaving);
    net.publish(3, &valid_catalogue(3));
    let newest = (3, net.platform.newest_list_revision());
    net.run_until(APPLY_TIMEOUT, |net| {
        let holds = |node: &Node| node.applied.last() == Some(&newest);
        net.running().all(holds)
    });
    net.assert_no_step_back();
}

/// Guards against a list that is deferred for two reasons, one after the other.
#[rstest]
fn a_list_that_lacks_many_entries_after_a_silence_is_deferred_once(
    #[values(3, 6, 14)] nodes: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut net = joined_net_with(nodes, seed, scarce_reads_config());
    net.run_for(Duration::from_secs(5));
    let all = net.platform.newest_list();
    net.publish_list(all.clone());
    net.run_for(Duration::from_millis(300 + 150 * seed));
    net.set_silent(true);
    net.run_for(Duration::from_millis(13_000 + 200 * seed));
    net.publish_list(all[..nodes - nodes / 3].to_vec());
    net.set_silent(false);
    net.run_for(RECOVERY_TIMEOUT);
    let mut leaving = net.platform.newest_list();
    leaving[0].state = InstanceState::Leaving;
    net.publish_list(leaving);
    let newest = net.platform.newest_list_revision();
    net.run_until(APPLY_TIMEOUT, |net| {
        let holds = |node: &Node| node.applied.last().is_some_and(|it| it.1 == newest);
        net.running().all(holds)
    });
}

/// Guards against unlisted nodes that hold a stale catalogue after a silence.
#[rstest]
fn unlisted_nodes_apply_versions_after_a_silence(
    #[values(3, 14)] nodes: usize,
    #[values(9, 14)] silent_s: u64,
) {
    let mut net = joined_net_with(nodes, silent_s, scarce_reads_config());
    net.run_for(Duration::from_secs(5));
    net.publish_list(Vec::new());
    net.run_for(Duration::from_secs(8));
    net.set_silent(true);
    net.run_for(Duration::from_secs(silent_s));
    net.set_silent(false);
    net.run_for(RECOVERY_TIMEOUT);
    net.publish(2, &valid_catalogue(2));
    net.run_until(APPLY_TIMEOUT, |net| net.all_at_revision(2));
}

/// Guards against a silence in which all nodes wait, since each began its watch right
/// after an answer.
#[rstest]
fn changes_after_a_silence_that_began_with_a_change_are_in_force_in_time(
    #[values(3, 14, 79)] nodes: usize,
) {
    let mut net = joined_net_with(nodes, 1, scarce_reads_config());
    net.run_for(Duration::from_secs(5));
    net.publish(2, &valid_catalogue(2));
    net.set_silent(true);
    net.run_for(Duration::from_secs(4));
    net.set_silent(false);
    net.run_for(RECOVERY_TIMEOUT);
    net.publish(3, &valid_catalogue(3));
    net.run_until(APPLY_TIMEOUT, |net| net.all_at_revision(3));
}

/// Guards against changes that are missed on silent connections while new ones work.
#[rstest]
fn changes_over_silent_connections_are_in_force_in_time(
    #[values(3, 14, 79, 195)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
    #[values(10, 500, 990)] change_after_ms: u64,
) {
    let change_after = Duration::from_millis(change_after_ms);
    let mut net = joined_net_with(nodes, seed, scarce_reads_config());
    net.run_for(Duration::from_secs(15));
    net.silence_connections();
    net.run_for(change_after);
    let mut leaving = net.platform.newest_list();
    leaving[1].state = InstanceState::Leaving;
    net.publish_list(leaving);
    net.publish(2, &valid_catalogue(2));
    let newest = (2, net.platform.newest_list_revision());
    net.run_until(RECOVERY_TIMEOUT - change_after, |net| {
        let holds = |node: &Node| node.applied.last() == Some(&newest);
        net.running().all(holds)
    });
    net.assert_no_step_back();
}
