//! Tests that requests that may not be repeated run at most once: random runs of
//! callers, first hops and owners, whose history is checked.

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use self::fault::Fault;
use self::step::Step;
use self::world::World;

mod fault;
mod node;
mod step;
mod world;

/// The number of steps of a random walk.
const STEPS_PER_WALK: usize = 120;
/// The number of random walks of a test.
const WALKS: u64 = 400;

/// The reference state machine only generates the steps. All state is in the
/// world.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        any::<u64>().prop_map(Step::from_bits).boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new(Fault::None)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }

    fn teardown(world: World, (): ()) {
        assert_eq!(world.finish(), Vec::<String>::new());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against a payment that is made twice under random faults.
    #[test]
    fn a_key_runs_at_most_once(sequential 1..150 => Fleet);
}

fn walk(seed: u64, fault: Fault) -> World {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(fault);
    for _ in 0..STEPS_PER_WALK {
        world.apply(Step::from_bits(rng.next_u64()));
    }
    world
}

/// Guards against a test that passes although a rule is omitted.
#[rstest]
#[case(Fault::LeaseIgnored)]
#[case(Fault::OwnershipIgnored)]
#[case(Fault::UnknownOutcomeForgotten)]
#[case(Fault::HoldTooShort)]
#[case(Fault::EveryAttemptFirst)]
#[case(Fault::RepeatReportedNotRun)]
fn an_omitted_rule_is_detected(#[case] fault: Fault) {
    let broken = |seed: &u64| !walk(*seed, fault).finish().is_empty();
    let found = (0..20 * WALKS).find(broken);
    assert!(found.is_some(), "{fault:?} is not detected");
}

// Guards against a test that passes because no operation ever runs.
#[test]
fn every_operation_runs_without_faults() {
    let mut world = World::new(Fault::None);
    for i in 0..40 {
        world.apply(Step::NewOperation(i));
        world.apply(Step::Deliver(0));
        world.apply(Step::HandOver(0));
        world.apply(Step::Answer(0, true));
    }
    assert_eq!((world.operations(), world.runs()), (40, 40));
    assert_eq!(world.finish(), Vec::<String>::new());
}

// Longer than the random runs above, and the same ones at every commit.
#[test]
fn fixed_walks_have_no_violation() {
    for seed in (0..WALKS).chain([5_314]) {
        assert_eq!(walk(seed, Fault::None).finish(), Vec::<String>::new());
    }
}
