//! Requests that crash targets, known to a fleet.

use std::time::Duration;

use rstest::rstest;

use super::net::Net;
use super::net::few_reads;
use super::net::joined_net_with;
use crate::CRASHES;
use crate::Content;
use crate::Event;
use crate::Sighting;

/// How long nodes have to tell one another of what crashed a third target.
const TOLD_WITHIN: Duration = Duration::from_secs(3);

/// Between one crash and the next.
const APART: Duration = Duration::from_millis(200);

fn crashing() -> Content {
    Content::of("GET", "desk.example", "/crashing", None, b"")
}

fn harmless(n: usize) -> Content {
    Content::of("GET", "desk.example", &format!("/harmless/{n}"), None, b"")
}

/// The target beside a node crashes under both.
fn crash(net: &mut Net, n: usize) {
    let sighting = Sighting::Crashed(vec![harmless(n), crashing()]);
    sight(net, n, sighting);
}

fn sight(net: &mut Net, n: usize, sighting: Sighting) {
    let ago = Duration::ZERO;
    net.event(n, Event::Sighted { sighting, ago });
}

/// A fleet that knows of a request under which three targets crashed.
fn warned_net(nodes: usize, seed: u64) -> Net {
    let mut net = joined_net_with(nodes, seed, few_reads());
    for n in 0..CRASHES {
        crash(&mut net, n);
    }
    net.run_until(TOLD_WITHIN, all_hold);
    net
}

fn holds(net: &Net, n: usize, content: Content) -> bool {
    let node = net.nodes[n].as_ref();
    node.is_some_and(|node| node.verdicts.held_until(net.now, &content).is_some())
}

fn all_hold(net: &Net) -> bool {
    (0..net.nodes.len()).all(|n| net.nodes[n].is_none() || holds(net, n, crashing()))
}

/// Guards against a request that crashes targets and is known at few nodes.
#[rstest]
#[case::small(4)]
#[case::of_today(14)]
#[case::grown(200)]
fn what_crashed_three_targets_is_known_everywhere(#[case] nodes: usize) {
    let mut net = joined_net_with(nodes, 1, few_reads());
    for n in 0..CRASHES {
        assert!(!(0..nodes).any(|n| holds(&net, n, crashing())));
        crash(&mut net, n);
        net.run_for(APART);
    }
    let took = net.run_until(TOLD_WITHIN, all_hold);
    assert!(took < Duration::from_secs(1), "{took:?}");
    let innocent =
        |net: &Net| (0..nodes).all(|n| (0..CRASHES).all(|of| !holds(net, n, harmless(of))));
    assert!(innocent(&net));
    net.run_for(Duration::from_secs(30));
    assert!(all_hold(&net) && innocent(&net));
}

/// Guards against reports of crashes that are lost on the way.
#[test]
fn a_lost_report_is_found_by_comparing() {
    let mut missed = 0;
    for seed in 0..16 {
        let mut net = joined_net_with(14, seed, few_reads());
        net.loss_percent = 60;
        for n in 0..CRASHES {
            crash(&mut net, n);
            net.run_for(APART);
        }
        missed += usize::from(!all_hold(&net));
        net.loss_percent = 0;
        net.run_until(TOLD_WITHIN, all_hold);
    }
    assert!(missed > 0, "nothing was lost that mattered");
}

/// Guards against reports of crashes that a partition keeps apart.
#[test]
fn both_sides_of_a_cut_know_soon_after_it_healed() {
    for seed in 0..16 {
        let mut net = joined_net_with(10, seed, few_reads());
        net.group[..2].fill(1);
        net.run_for(Duration::from_secs(1));
        for n in [0, 5, 6] {
            crash(&mut net, n);
            net.run_for(APART);
        }
        net.run_for(Duration::from_secs(3));
        assert!(!(0..10).any(|n| holds(&net, n, crashing())));
        net.group.fill(0);
        net.run_until(TOLD_WITHIN, all_hold);
    }
}

/// Guards against a restarted node that hands out a quarantined request.
#[test]
fn a_node_that_starts_again_knows_before_it_serves() {
    for seed in 0..8 {
        let mut net = warned_net(14, seed);
        // Also the nodes that saw it.
        for n in 0..8 {
            net.stop(n);
        }
        net.run_for(Duration::from_secs(1));
        for n in 0..8 {
            net.start(n);
        }
        net.run_until(Duration::from_secs(20), |net| {
            net.up().all(|node| node.joined)
        });
        assert!(all_hold(&net), "{seed}");
    }
}

// A process stands still while the others learn of it, and wakes.
#[test]
fn a_node_that_slept_hears_of_it() {
    let mut net = joined_net_with(14, 3, few_reads());
    net.pause(9);
    net.run_for(Duration::from_secs(1));
    for n in 0..CRASHES {
        crash(&mut net, n);
    }
    net.run_for(Duration::from_secs(12));
    net.resume(9);
    net.run_until(TOLD_WITHIN, all_hold);
}

/// Guards against a harmless request in quarantine, though another node saw it answered.
#[test]
fn an_answer_elsewhere_ends_it() {
    let mut net = warned_net(14, 4);
    assert!(net.node(9).verdicts.doubts(crashing().whole()));
    sight(&mut net, 9, Sighting::Answered(crashing().whole()));
    net.run_until(Duration::from_secs(1), |net| {
        !(0..14).any(|n| holds(net, n, crashing()))
    });
}

// Nothing is told again and again: once all know the same, comparing costs what it did.
#[test]
fn what_all_know_costs_nothing() {
    let mut net = joined_net_with(14, 5, few_reads());
    let bytes = |net: &Net| net.up().map(|node| node.bytes).sum::<usize>();
    let minute = |net: &mut Net| {
        let before = bytes(net);
        net.run_for(Duration::from_secs(60));
        bytes(net) - before
    };
    let calm = minute(&mut net);
    for n in 0..CRASHES {
        crash(&mut net, n);
    }
    net.run_until(TOLD_WITHIN, all_hold);
    net.run_for(Duration::from_secs(20));
    let after = minute(&mut net);
    assert!(after < calm + calm / 20, "{calm} before, {after} after");
}

/// What a node may spend on control in a second, in bytes.
const CONTROL_BYTES_PER_S: usize = 26 * 1024;

fn bytes_of_busiest(net: &Net) -> usize {
    net.up().map(|node| node.bytes).max().unwrap_or(0)
}

/// Guards against an answer for a doubted request that all nodes report at once.
#[test]
fn not_every_node_tells_of_its_answer() {
    let mut net = warned_net(200, 6);
    let before = bytes_of_busiest(&net);
    for n in 0..200 {
        sight(&mut net, n, Sighting::Answered(crashing().whole()));
    }
    net.run_until(Duration::from_secs(2), |net| {
        !(0..200).any(|n| holds(net, n, crashing()))
    });
    let spent = bytes_of_busiest(&net) - before;
    assert!(spent < CONTROL_BYTES_PER_S, "{spent} bytes");
}

/// Guards against reports of a lost failure domain that exceed the control budget.
#[test]
fn the_loss_of_a_domain_stays_within_what_control_may_spend() {
    let mut net = warned_net(80, 7);
    let before = bytes_of_busiest(&net);
    for n in 0..40 {
        let ran = (0..20).map(|m| harmless(1_000 + 20 * n + m)).collect();
        sight(&mut net, n, Sighting::Crashed(ran));
    }
    let seconds = 20;
    net.run_for(Duration::from_secs(seconds));
    let spent = bytes_of_busiest(&net) - before;
    let may = CONTROL_BYTES_PER_S * usize::try_from(seconds).unwrap();
    assert!(spent < may, "{spent} of {may} bytes");
    assert!(all_hold(&net));
}

/// Guards against a release that one node alone knows, or that outlasts further crashes.
#[test]
fn a_release_is_known_everywhere_and_ends_with_further_crashes() {
    let mut net = warned_net(14, 3);
    let released = |net: &Net| (0..14).all(|n| !holds(net, n, crashing()));
    sight(&mut net, 5, Sighting::Released(crashing().whole()));
    let took = net.run_until(TOLD_WITHIN, released);
    assert!(took < Duration::from_secs(1), "{took:?}");
    net.run_for(Duration::from_secs(30));
    assert!(released(&net));
    for n in 0..CRASHES {
        crash(&mut net, n);
        net.run_for(APART);
    }
    net.run_until(TOLD_WITHIN, all_hold);
}
