//! Random sequences of faults, run on a fleet with dissemination and on a naive fleet.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use super::net::Net;
use super::net::valid_catalogue;
use super::node::Node;
use super::versions::MISSING_SERVICE;
use crate::SpreadConfig;
use crate::Version;
use crate::history::Bounds;
use crate::history::check;

/// Nodes of each fleet.
const NODES: usize = 8;

#[derive(Debug, Clone)]
enum Op {
    Publish,
    PublishBad,
    ChangeList,
    Loss(u32),
    Duplication(u32),
    Pause(usize),
    Resume(usize),
    Partition(u8),
    CutOffPlatform,
    Heal,
    Restart(usize),
    RestartAll,
    Stale { serves_older: bool },
    EndStale,
    Outage,
    EndOutage,
    Run(u64),
}

/// The newest published revisions.
#[derive(Debug, Clone)]
struct Published {
    revision: u64,
    newest_good: u64,
    lists: u64,
}

impl ReferenceStateMachine for Published {
    type State = Published;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Published> {
        let start = Published {
            revision: 1,
            newest_good: 1,
            lists: 1,
        };
        Just(start).boxed()
    }

    fn transitions(_state: &Published) -> BoxedStrategy<Op> {
        let node = 0..NODES;
        prop_oneof![
            6 => Just(Op::Publish),
            2 => Just(Op::PublishBad),
            1 => Just(Op::ChangeList),
            1 => (0..60_u32).prop_map(Op::Loss),
            1 => (0..60_u32).prop_map(Op::Duplication),
            2 => node.clone().prop_map(Op::Pause),
            2 => node.clone().prop_map(Op::Resume),
            2 => any::<u8>().prop_map(Op::Partition),
            1 => Just(Op::CutOffPlatform),
            2 => Just(Op::Heal),
            2 => node.prop_map(Op::Restart),
            1 => Just(Op::RestartAll),
            2 => any::<bool>().prop_map(|serves_older| Op::Stale { serves_older }),
            1 => Just(Op::EndStale),
            1 => Just(Op::Outage),
            1 => Just(Op::EndOutage),
            6 => (1..2_000_u64).prop_map(Op::Run),
            2 => (2_000..60_000_u64).prop_map(Op::Run),
        ]
        .boxed()
    }

    fn apply(mut state: Published, op: &Op) -> Published {
        match op {
            Op::Publish => {
                state.revision += 1;
                state.newest_good = state.revision;
            }
            Op::PublishBad => state.revision += 1,
            Op::ChangeList => state.lists += 1,
            _ => {}
        }
        state
    }
}

/// Two fleets with the same operations; the second one is naive.
#[derive(Debug)]
struct Fleets([Net; 2]);

impl StateMachineTest for Fleets {
    type SystemUnderTest = Fleets;
    type Reference = Published;

    fn init_test(_state: &Published) -> Fleets {
        let cfg = SpreadConfig {
            assumed_fleet: 50,
            ..SpreadConfig::default()
        };
        let fleet = |naive: bool| {
            let mut net = Net::stopped(NODES, 11, cfg.clone());
            net.naive = naive;
            for node in 0..NODES {
                net.start(node);
            }
            net
        };
        Fleets([fleet(false), fleet(true)])
    }

    fn apply(mut fleets: Fleets, state: &Published, op: Op) -> Fleets {
        for net in &mut fleets.0 {
            apply_op(net, state, &op);
        }
        fleets
    }

    fn check_invariants(fleets: &Fleets, _state: &Published) {
        for net in &fleets.0 {
            net.assert_no_step_back();
        }
    }

    fn teardown(mut fleets: Fleets, state: Published) {
        let held = fleets.0.each_mut().map(|net| heal_and_settle(net, &state));
        assert_eq!(held[0], held[1], "the fleets hold different snapshots");
    }
}

fn apply_op(net: &mut Net, state: &Published, op: &Op) {
    match op {
        Op::Publish => net.publish(state.revision, &valid_catalogue(state.revision)),
        Op::PublishBad => net.publish(state.revision, MISSING_SERVICE),
        Op::ChangeList => {
            let mut list = net.platform.newest_list();
            list[0].slots += 1;
            net.publish_list(list);
        }
        Op::Loss(percent) => net.loss_percent = *percent,
        Op::Duplication(percent) => net.duplicate_percent = *percent,
        Op::Pause(n) => net.pause(*n),
        Op::Resume(n) => net.resume(*n),
        Op::Partition(bits) => {
            for (n, group) in net.group.iter_mut().enumerate() {
                *group = u32::from(bits >> n & 1);
            }
        }
        Op::CutOffPlatform => net.cut_off_groups = vec![1],
        Op::Heal => heal(net),
        Op::Restart(n) => net.start(*n),
        Op::RestartAll => (0..NODES).for_each(|n| net.start(n)),
        Op::Stale { serves_older } => {
            net.platform.stale = Some(1);
            net.platform.serves_older = *serves_older;
        }
        Op::EndStale => net.platform.stale = None,
        Op::Outage => net.set_outage(true),
        Op::EndOutage => net.set_outage(false),
        Op::Run(ms) => net.run_for(Duration::from_millis(*ms)),
    }
}

fn heal(net: &mut Net) {
    net.group.fill(0);
    net.cut_off_groups.clear();
    net.loss_percent = 0;
    net.duplicate_percent = 0;
}

/// Ends all faults, and returns the versions that each node holds then.
///
/// The platform serves only its newest version. If that version is bad, a
/// restarted naive node holds nothing, while a node with dissemination gets the
/// version that its peers hold. The fleets can therefore only be compared after
/// one more good version.
fn heal_and_settle(net: &mut Net, state: &Published) -> Vec<(Version, Version)> {
    heal(net);
    net.platform.stale = None;
    net.platform.serves_older = false;
    net.set_outage(false);
    (0..NODES).for_each(|n| net.resume(n));
    // Messages in flight arrive.
    net.run_for(Duration::from_secs(5));
    let reachable = match state.newest_good == state.revision {
        true => state.newest_good,
        false => net.running().map(Node::revision).max().unwrap_or(0),
    };
    if !net.naive && reachable > 0 {
        settle(net, reachable, state.lists);
    }
    net.publish(state.revision + 1, &valid_catalogue(state.revision + 1));
    settle(net, state.revision + 1, state.lists);
    net.assert_no_step_back();
    let bounds = Bounds {
        in_force: Duration::from_secs(3_600),
        ..Bounds::default()
    };
    let violations = check(&net.history, &bounds);
    assert!(violations.is_empty(), "{violations:?}");
    let held = net.running().map(|node| {
        let snapshot = node.snapshot.as_ref().unwrap();
        (snapshot.catalogue(), snapshot.instances())
    });
    held.collect()
}

fn settle(net: &mut Net, revision: u64, lists: u64) {
    net.run_until(Duration::from_secs(120), |net| {
        let newest = (revision, lists);
        net.running()
            .all(|node| node.applied.last() == Some(&newest))
    });
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a node that steps back, or that holds another snapshot than the
    // naive nodes do after all faults ended.
    #[test]
    fn dissemination_leads_to_the_same_snapshot_as_naive_reads(sequential 1..40 => Fleets);
}
