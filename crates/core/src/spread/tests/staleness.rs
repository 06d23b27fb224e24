//! How soon nodes notice that they lack news, and what that costs the platform.

use std::time::Duration;

use rstest::rstest;

use super::net::Net;
use super::net::joined_net_with;
use super::net::scarce_reads_config;
use super::net::valid_catalogue;
use super::node::Node;
use crate::AuditEvent;
use crate::InstanceState;
use crate::SpreadConfig;
use crate::Tick;

/// Time that a change may take from its acceptance until it is in force at every node that
/// runs and reaches the platform.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time from a fault to the change that it hides.
const CHANGE_DELAY: Duration = Duration::from_millis(100);

/// Reads a second that a calm fleet makes: one of each stream in each proof interval, and the
/// checks after changes.
const CALM_READS_PER_S: usize = 6;

/// Mean number of reads a second that a fleet makes at most while it lacks news: those of all
/// nodes together, and those of readers, which try again after half a second on average.
const MAX_READS_PER_S: usize = 16 + 10 * 2 * 2;

/// A fleet that has run for a while, in which an ordinary change has aligned the readers.
fn calm_net(nodes: usize, seed: u64) -> Net {
    let cfg = SpreadConfig {
        reads_per_s: 6_000,
        ..scarce_reads_config()
    };
    let mut net = joined_net_with(nodes, seed, cfg);
    net.calls_hang = true;
    net.run_for(Duration::from_secs(8));
    net.publish(2, &valid_catalogue(2));
    net.run_for(Duration::from_millis(4_000 + 137 * seed));
    net
}

/// Number of times that a node that isn't a reader began to read.
fn catch_ups(net: &Net) -> usize {
    let is_catch_up = |event: &&AuditEvent| matches!(event, AuditEvent::CatchUpRead { .. });
    let audits = net
        .running()
        .map(|node| node.audit.iter().filter(is_catch_up));
    audits.map(Iterator::count).sum()
}

/// Publishes a leaving target and a catalogue, and waits until both are in force at all
/// nodes but those in `except`.
fn assert_change_is_in_force_in_time(net: &mut Net, except: &[usize]) {
    net.run_for(CHANGE_DELAY);
    let revision = net.platform.value_count() as u64 + 1;
    let mut leaving = net.platform.newest_list();
    let target = leaving
        .iter_mut()
        .find(|it| it.state == InstanceState::Live);
    target.expect("a live target").state = InstanceState::Leaving;
    net.publish_list(leaving);
    net.publish(revision, &valid_catalogue(revision));
    let newest = (revision, net.platform.newest_list_revision());
    let holds = |node: &Node| node.applied.last() == Some(&newest);
    net.run_until(APPLY_TIMEOUT, |net| {
        let nodes = net.nodes.iter().enumerate();
        let mut affected = nodes.filter(|(n, _)| !except.contains(n));
        affected.all(|(_, node)| node.as_ref().is_none_or(holds))
    });
    net.assert_no_step_back();
}

/// What happens to the readers of a fleet.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// They stand still.
    Paused,
    /// The platform rejects their reads as too many.
    Busy,
    /// The platform rejects their reads.
    Rejected,
    /// Their reads are never answered.
    Unanswered,
    /// They end without notice.
    Stopped,
}

fn lose(net: &mut Net, nodes: &[usize], loss: Loss) {
    match loss {
        Loss::Paused => nodes.iter().for_each(|n| net.pause(*n)),
        Loss::Busy => net.busy_nodes = nodes.to_vec(),
        Loss::Rejected => net.rejected_nodes = nodes.to_vec(),
        Loss::Unanswered => net.unanswered_nodes = nodes.to_vec(),
        Loss::Stopped => nodes.iter().for_each(|n| net.stop(*n)),
    }
}

/// Guards against a fleet that learns of no change while all of its readers fail.
#[rstest]
fn changes_are_in_force_in_time_without_the_readers(
    #[values(17, 20, 76, 195, 300)] nodes: usize,
    #[values(
        Loss::Paused,
        Loss::Busy,
        Loss::Rejected,
        Loss::Unanswered,
        Loss::Stopped
    )]
    loss: Loss,
) {
    let mut net = calm_net(nodes, 1);
    let readers = net.readers();
    lose(&mut net, &readers, loss);
    for _ in 0..3 {
        assert_change_is_in_force_in_time(&mut net, &readers);
        net.run_for(Duration::from_secs(1));
    }
}

/// Guards against a change that is missed at some moment between two proofs.
#[rstest]
fn changes_are_in_force_in_time_whenever_the_readers_stop(
    #[values(20, 76)] nodes: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut net = calm_net(nodes, seed);
    let readers = net.readers();
    lose(&mut net, &readers, Loss::Paused);
    assert_change_is_in_force_in_time(&mut net, &readers);
}

/// Guards against nodes without peers that wait for news although they reach the platform.
#[rstest]
fn changes_are_in_force_in_time_at_nodes_that_reach_only_the_platform(
    #[values(17, 20, 76, 195)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = calm_net(nodes, seed);
    for n in (0..nodes).filter(|n| n % 3 == 1) {
        net.group[n] = u32::try_from(n).unwrap();
    }
    for _ in 0..4 {
        assert_change_is_in_force_in_time(&mut net, &[]);
        net.run_for(Duration::from_millis(700));
    }
}

/// Guards against a group that is cut off together, without a reader, and waits for news.
#[rstest]
fn changes_are_in_force_in_time_in_a_group_that_reaches_only_the_platform(
    #[values(20, 76)] nodes: usize,
    #[values(2, 5, 9)] size: usize,
) {
    let mut net = calm_net(nodes, 4);
    let readers = net.readers();
    let others = (0..nodes).filter(|n| !readers.contains(n));
    let group: Vec<usize> = others.take(size).collect();
    group.iter().for_each(|n| net.group[*n] = 1);
    for _ in 0..3 {
        assert_change_is_in_force_in_time(&mut net, &[]);
        net.run_for(Duration::from_millis(700));
    }
}

/// Guards against a quiet fleet whose proofs cost more reads than are worth it.
#[rstest]
fn a_calm_fleet_reads_little(#[values(17, 76, 195, 300)] nodes: usize) {
    let mut net = calm_net(nodes, 2);
    let before = (net.platform.reads.len(), catch_ups(&net));
    net.run_for(Duration::from_secs(60));
    let reads = net.platform.reads.len() - before.0;
    let catch_ups = catch_ups(&net) - before.1;
    assert!(
        reads <= 60 * CALM_READS_PER_S && catch_ups == 0,
        "{reads} reads in a minute, {catch_ups} of nodes that aren't readers"
    );
}

/// Guards against a herd of reads when all readers are lost, or the platform refuses or
/// answers nobody.
#[rstest]
fn a_fleet_without_news_reads_at_a_bounded_rate(
    #[values(76, 300)] nodes: usize,
    #[values(Loss::Paused, Loss::Busy, Loss::Unanswered)] loss: Loss,
    #[values(false, true)] everyone: bool,
) {
    let mut net = calm_net(nodes, 3);
    let lost = match (everyone, loss) {
        (true, Loss::Paused) => return,
        (true, _) => (0..nodes).collect(),
        (false, _) => net.readers(),
    };
    let since: Tick = net.now;
    let before = net.platform.reads.len();
    lose(&mut net, &lost, loss);
    net.run_for(Duration::from_secs(10));
    let reads = net.platform.reads.len() - before;
    assert!(reads <= 10 * MAX_READS_PER_S, "{reads} reads in 10 s");
    let peak = net.platform.peak_per_s(since);
    assert!(peak <= 2 * MAX_READS_PER_S, "{peak} reads in a second");
}

/// Guards against a proof from the buffers of a node that stood still, which would keep others
/// from reading.
#[test]
fn a_node_that_resumes_relays_no_outdated_proof() {
    let mut net = calm_net(76, 6);
    let readers = net.readers();
    let halted: Vec<usize> = (0..76)
        .filter(|n| n % 4 == 0 || readers.contains(n))
        .collect();
    lose(&mut net, &halted, Loss::Paused);
    net.run_for(Duration::from_millis(3_500));
    for n in halted.iter().filter(|n| !readers.contains(n)) {
        net.resume(*n);
    }
    assert_change_is_in_force_in_time(&mut net, &readers);
}
