//! Random runs of what goes wrong, with both ways of spreading side by side.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use super::net::Net;
use super::net::good;
use super::node::Node;
use super::versions::WITHOUT_SERVICE;
use crate::SpreadConfig;
use crate::Version;
use crate::history::Bounds;
use crate::history::check;

/// Nodes of each fleet.
const NODES: usize = 8;

#[derive(Debug, Clone)]
enum Turn {
    Publish,
    PublishBad,
    ChangeList,
    Loss(u32),
    Doubling(u32),
    Pause(usize),
    Resume(usize),
    Partition(u8),
    CutOff,
    Heal,
    Restart(usize),
    HerdRestart,
    Stale { hands_out_old: bool },
    Fresh,
    Outage,
    Return,
    Run(u64),
}

/// What was published.
#[derive(Debug, Clone)]
struct Published {
    revision: u64,
    newest_good: u64,
    lists: u64,
}

impl ReferenceStateMachine for Published {
    type State = Published;
    type Transition = Turn;

    fn init_state() -> BoxedStrategy<Published> {
        let start = Published {
            revision: 1,
            newest_good: 1,
            lists: 1,
        };
        Just(start).boxed()
    }

    fn transitions(_state: &Published) -> BoxedStrategy<Turn> {
        let node = 0..NODES;
        prop_oneof![
            6 => Just(Turn::Publish),
            2 => Just(Turn::PublishBad),
            1 => Just(Turn::ChangeList),
            1 => (0..60_u32).prop_map(Turn::Loss),
            1 => (0..60_u32).prop_map(Turn::Doubling),
            2 => node.clone().prop_map(Turn::Pause),
            2 => node.clone().prop_map(Turn::Resume),
            2 => any::<u8>().prop_map(Turn::Partition),
            1 => Just(Turn::CutOff),
            2 => Just(Turn::Heal),
            2 => node.prop_map(Turn::Restart),
            1 => Just(Turn::HerdRestart),
            2 => any::<bool>().prop_map(|hands_out_old| Turn::Stale { hands_out_old }),
            1 => Just(Turn::Fresh),
            1 => Just(Turn::Outage),
            1 => Just(Turn::Return),
            6 => (1..2_000_u64).prop_map(Turn::Run),
            2 => (2_000..60_000_u64).prop_map(Turn::Run),
        ]
        .boxed()
    }

    fn apply(mut state: Published, turn: &Turn) -> Published {
        match turn {
            Turn::Publish => {
                state.revision += 1;
                state.newest_good = state.revision;
            }
            Turn::PublishBad => state.revision += 1,
            Turn::ChangeList => state.lists += 1,
            _ => {}
        }
        state
    }
}

/// Two fleets that meet the same, one spreading and one naive.
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
            let mut net = Net::idle(NODES, 11, cfg.clone());
            net.naive = naive;
            for node in 0..NODES {
                net.start(node);
            }
            net
        };
        Fleets([fleet(false), fleet(true)])
    }

    fn apply(mut fleets: Fleets, state: &Published, turn: Turn) -> Fleets {
        for net in &mut fleets.0 {
            meet(net, state, &turn);
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

fn meet(net: &mut Net, state: &Published, turn: &Turn) {
    match turn {
        Turn::Publish => net.publish(state.revision, &good(state.revision)),
        Turn::PublishBad => net.publish(state.revision, WITHOUT_SERVICE),
        Turn::ChangeList => {
            let mut list = net.platform.newest_list();
            list[0].slots += 1;
            net.list(list);
        }
        Turn::Loss(percent) => net.loss_percent = *percent,
        Turn::Doubling(percent) => net.double_percent = *percent,
        Turn::Pause(n) => net.pause(*n),
        Turn::Resume(n) => net.resume(*n),
        Turn::Partition(bits) => {
            for (n, group) in net.group.iter_mut().enumerate() {
                *group = u32::from(bits >> n & 1);
            }
        }
        Turn::CutOff => net.cut_off = vec![1],
        Turn::Heal => heal(net),
        Turn::Restart(n) => net.start(*n),
        Turn::HerdRestart => (0..NODES).for_each(|n| net.start(n)),
        Turn::Stale { hands_out_old } => {
            net.platform.stale = Some(1);
            net.platform.hands_out_old = *hands_out_old;
        }
        Turn::Fresh => net.platform.stale = None,
        Turn::Outage => net.set_outage(true),
        Turn::Return => net.set_outage(false),
        Turn::Run(ms) => net.run_for(Duration::from_millis(*ms)),
    }
}

fn heal(net: &mut Net) {
    net.group.fill(0);
    net.cut_off.clear();
    net.loss_percent = 0;
    net.double_percent = 0;
}

/// Ends all that is wrong, and returns the versions that all nodes then hold.
///
/// The platform only gives its newest version. Where that is a bad one, a
/// naive node that restarts has nothing, and a spreading one has what its
/// peers hold; the fleets can only be compared after one more good version.
fn heal_and_settle(net: &mut Net, state: &Published) -> Vec<(Version, Version)> {
    heal(net);
    net.platform.stale = None;
    net.platform.hands_out_old = false;
    net.set_outage(false);
    (0..NODES).for_each(|n| net.resume(n));
    // What is still under way arrives.
    net.run_for(Duration::from_secs(5));
    let reachable = match state.newest_good == state.revision {
        true => state.newest_good,
        false => net.up().map(Node::revision).max().unwrap_or(0),
    };
    if !net.naive && reachable > 0 {
        settle(net, reachable, state.lists);
    }
    net.publish(state.revision + 1, &good(state.revision + 1));
    settle(net, state.revision + 1, state.lists);
    net.assert_no_step_back();
    let bounds = Bounds {
        in_force: Duration::from_secs(3_600),
        ..Bounds::default()
    };
    let found = check(&net.history, &bounds);
    assert!(found.is_empty(), "{found:?}");
    let held = net.up().map(|node| {
        let snapshot = node.snapshot.as_ref().unwrap();
        (snapshot.catalogue(), snapshot.instances())
    });
    held.collect()
}

fn settle(net: &mut Net, revision: u64, lists: u64) {
    net.run_until(Duration::from_secs(120), |net| {
        let newest = (revision, lists);
        net.up().all(|node| node.applied.last() == Some(&newest))
    });
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Whatever a fleet meets, in whichever order: no node goes back, and once
    // it is over, all nodes hold what naive ones hold.
    #[test]
    fn both_ways_lead_to_the_same_snapshot(sequential 1..40 => Fleets);
}
