//! Dissemination of crash reports about requests that crash targets.

use std::time::Duration;

use rstest::rstest;

use super::net::Net;
use super::net::joined_net_with;
use super::net::scarce_reads_config;
use crate::CRASHES_TO_QUARANTINE;
use crate::Content;
use crate::Event;
use crate::Observation;

/// Time for the reports of a third crash to reach all nodes.
const DISSEMINATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(200);

fn crashing() -> Content {
    Content::of("GET", "desk.example", "/crashing", None, b"")
}

fn harmless(n: usize) -> Content {
    Content::of("GET", "desk.example", &format!("/harmless/{n}"), None, b"")
}

/// Crashes the target of a node while it runs a harmless and the crashing request.
fn crash_target(net: &mut Net, n: usize) {
    let observation = Observation::Crashed(vec![harmless(n), crashing()]);
    observe(net, n, observation);
}

fn observe(net: &mut Net, n: usize, observation: Observation) {
    let age = Duration::ZERO;
    let event = Event::Observed { observation, age };
    net.handle_event(n, event);
}

/// A fleet in which every node holds a request in quarantine that crashed three targets.
fn quarantined_net(nodes: usize, seed: u64) -> Net {
    let mut net = joined_net_with(nodes, seed, scarce_reads_config());
    for n in 0..CRASHES_TO_QUARANTINE {
        crash_target(&mut net, n);
    }
    net.run_until(DISSEMINATION_TIMEOUT, all_quarantine);
    net
}

fn quarantines(net: &Net, n: usize, content: Content) -> bool {
    let node = net.nodes[n].as_ref();
    node.is_some_and(|node| {
        node.quarantine
            .quarantined_until(net.now, &content)
            .is_some()
    })
}

fn all_quarantine(net: &Net) -> bool {
    (0..net.nodes.len()).all(|n| net.nodes[n].is_none() || quarantines(net, n, crashing()))
}

/// Guards against a request that crashes targets and is quarantined at few nodes only.
#[rstest]
#[case::small(4)]
#[case::medium(14)]
#[case::large(200)]
fn a_request_that_crashed_three_targets_is_quarantined_everywhere(#[case] nodes: usize) {
    let mut net = joined_net_with(nodes, 1, scarce_reads_config());
    for n in 0..CRASHES_TO_QUARANTINE {
        assert!(!(0..nodes).any(|n| quarantines(&net, n, crashing())));
        crash_target(&mut net, n);
        net.run_for(CRASH_INTERVAL);
    }
    let took = net.run_until(DISSEMINATION_TIMEOUT, all_quarantine);
    assert!(took < Duration::from_secs(1), "{took:?}");
    let harmless_allowed = |net: &Net| {
        (0..nodes).all(|n| (0..CRASHES_TO_QUARANTINE).all(|of| !quarantines(net, n, harmless(of))))
    };
    assert!(harmless_allowed(&net));
    net.run_for(Duration::from_secs(30));
    assert!(all_quarantine(&net) && harmless_allowed(&net));
}

/// Guards against crash reports that are lost in transit.
#[test]
fn anti_entropy_delivers_a_lost_crash_report() {
    let mut incomplete = 0;
    for seed in 0..16 {
        let mut net = joined_net_with(14, seed, scarce_reads_config());
        net.loss_percent = 60;
        for n in 0..CRASHES_TO_QUARANTINE {
            crash_target(&mut net, n);
            net.run_for(CRASH_INTERVAL);
        }
        incomplete += usize::from(!all_quarantine(&net));
        net.loss_percent = 0;
        net.run_until(DISSEMINATION_TIMEOUT, all_quarantine);
    }
    assert!(incomplete > 0, "no loss delayed the quarantine in any run");
}

/// Guards against crash reports that stay on one side of a healed partition.
#[test]
fn both_sides_of_a_partition_quarantine_soon_after_it_healed() {
    for seed in 0..16 {
        let mut net = joined_net_with(10, seed, scarce_reads_config());
        net.group[..2].fill(1);
        net.run_for(Duration::from_secs(1));
        for n in [0, 5, 6] {
            crash_target(&mut net, n);
            net.run_for(CRASH_INTERVAL);
        }
        net.run_for(Duration::from_secs(3));
        assert!(!(0..10).any(|n| quarantines(&net, n, crashing())));
        net.group.fill(0);
        net.run_until(DISSEMINATION_TIMEOUT, all_quarantine);
    }
}

/// Guards against a restarted node that forwards a quarantined request.
#[test]
fn a_restarted_node_holds_the_quarantine_when_it_has_joined() {
    for seed in 0..8 {
        let mut net = quarantined_net(14, seed);
        // Includes the nodes that reported the crashes.
        for n in 0..8 {
            net.stop(n);
        }
        net.run_for(Duration::from_secs(1));
        for n in 0..8 {
            net.start(n);
        }
        net.run_until(Duration::from_secs(20), |net| {
            net.running().all(|node| node.joined)
        });
        assert!(all_quarantine(&net), "{seed}");
    }
}

/// Guards against a node that misses a quarantine because its process was paused.
#[test]
fn a_resumed_node_receives_the_quarantine() {
    let mut net = joined_net_with(14, 3, scarce_reads_config());
    net.pause(9);
    net.run_for(Duration::from_secs(1));
    for n in 0..CRASHES_TO_QUARANTINE {
        crash_target(&mut net, n);
    }
    net.run_for(Duration::from_secs(12));
    net.resume(9);
    net.run_until(DISSEMINATION_TIMEOUT, all_quarantine);
}

/// Guards against a harmless request in quarantine, though another node saw it answered.
#[test]
fn an_answer_at_one_node_ends_the_quarantine_everywhere() {
    let mut net = quarantined_net(14, 4);
    assert!(net.node(9).quarantine.is_suspect(crashing().whole()));
    observe(&mut net, 9, Observation::Answered(crashing().whole()));
    net.run_until(Duration::from_secs(1), |net| {
        !(0..14).any(|n| quarantines(net, n, crashing()))
    });
}

/// Guards against crash reports that are sent repeatedly although all nodes hold them.
#[test]
fn reports_that_all_nodes_hold_cost_no_further_bytes() {
    let mut net = joined_net_with(14, 5, scarce_reads_config());
    let bytes = |net: &Net| net.running().map(|node| node.bytes_sent).sum::<usize>();
    let bytes_of_a_minute = |net: &mut Net| {
        let before = bytes(net);
        net.run_for(Duration::from_secs(60));
        bytes(net) - before
    };
    let idle = bytes_of_a_minute(&mut net);
    for n in 0..CRASHES_TO_QUARANTINE {
        crash_target(&mut net, n);
    }
    net.run_until(DISSEMINATION_TIMEOUT, all_quarantine);
    net.run_for(Duration::from_secs(20));
    let after = bytes_of_a_minute(&mut net);
    assert!(after < idle + idle / 20, "{idle} before, {after} after");
}

/// Budget of a node for control messages, in bytes per second.
const CONTROL_BYTES_PER_S: usize = 26 * 1024;

fn max_bytes_of_a_node(net: &Net) -> usize {
    net.running().map(|node| node.bytes_sent).max().unwrap_or(0)
}

/// Guards against an answer to a suspected request that all nodes report at once.
#[test]
fn answers_at_all_nodes_stay_within_the_control_budget() {
    let mut net = quarantined_net(200, 6);
    let before = max_bytes_of_a_node(&net);
    for n in 0..200 {
        observe(&mut net, n, Observation::Answered(crashing().whole()));
    }
    net.run_until(Duration::from_secs(2), |net| {
        !(0..200).any(|n| quarantines(net, n, crashing()))
    });
    let spent = max_bytes_of_a_node(&net) - before;
    assert!(spent < CONTROL_BYTES_PER_S, "{spent} bytes");
}

/// Guards against reports of a lost failure domain that exceed the control budget.
#[test]
fn the_loss_of_a_domain_stays_within_the_control_budget() {
    let mut net = quarantined_net(80, 7);
    let before = max_bytes_of_a_node(&net);
    for n in 0..40 {
        let ran = (0..20).map(|m| harmless(1_000 + 20 * n + m)).collect();
        observe(&mut net, n, Observation::Crashed(ran));
    }
    let seconds = 20;
    net.run_for(Duration::from_secs(seconds));
    let spent = max_bytes_of_a_node(&net) - before;
    let budget = CONTROL_BYTES_PER_S * usize::try_from(seconds).unwrap();
    assert!(spent < budget, "{spent} of {budget} bytes");
    assert!(all_quarantine(&net));
}

/// Guards against a release that reaches only one node, or that outlasts further crashes.
#[test]
fn a_release_reaches_every_node_and_ends_with_further_crashes() {
    let mut net = quarantined_net(14, 3);
    let released = |net: &Net| (0..14).all(|n| !quarantines(net, n, crashing()));
    observe(&mut net, 5, Observation::Released(crashing().whole()));
    let took = net.run_until(DISSEMINATION_TIMEOUT, released);
    assert!(took < Duration::from_secs(1), "{took:?}");
    net.run_for(Duration::from_secs(30));
    assert!(released(&net));
    for n in 0..CRASHES_TO_QUARANTINE {
        crash_target(&mut net, n);
        net.run_for(CRASH_INTERVAL);
    }
    net.run_until(DISSEMINATION_TIMEOUT, all_quarantine);
}
