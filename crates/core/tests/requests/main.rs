//! Routing, admission and retries together, driven by a small simulation on
//! injected time, beside a naive version: any endpoint, no queue, no retry.

use std::time::Duration;

use rstest::rstest;
use sassafrasspool_core::Class;
use sassafrasspool_core::history::Promise;

use self::load::Load;
use self::policy::Policy;
use self::sim::Fault;
use self::sim::FaultKind;
use self::sim::Sim;
use self::tally::Tally;

mod endpoint;
mod load;
mod policy;
mod sim;
mod tally;

/// The slots of all endpoints over the time that a request takes on average.
const CAPACITY_PER_S: f64 = 1_000.0;

fn run(policy: Policy, load: Load, faults: &[Fault], seed: u64) -> Tally {
    let mut sim = Sim::new(policy, seed);
    for fault in faults {
        sim.plan(*fault);
    }
    sim.offer(&load);
    sim.run()
}

fn at(ms: u64, kind: FaultKind) -> Fault {
    Fault { ms, kind }
}

/// Guards against requests that are lost, doubled or falsely refused under random faults.
#[test]
fn neither_version_breaks_a_promise_and_ours_serves_more() {
    let mut served = [0, 0];
    for seed in 1..=20 {
        let load = Load::mixed(0.6 * CAPACITY_PER_S, Duration::from_secs(10));
        let faults = Fault::draw(seed);
        let ours = run(Policy::Full, load, &faults, seed);
        let naive = run(Policy::Naive, load, &faults, seed);
        assert_eq!(ours.violations, [], "seed {seed}");
        assert_eq!(naive.violations, [], "seed {seed}");
        assert_eq!(ours.offered, naive.offered, "the load is the same");
        served[0] += ours.served();
        served[1] += naive.served();
    }
    assert!(served[0] > served[1], "{served:?}");
}

#[derive(Debug)]
struct LeftOut {
    policy: Policy,
    breaks: Promise,
}

/// Guards against a check that passes with a rule left out.
#[rstest]
#[case(LeftOut { policy: Policy::RetryUnknown, breaks: Promise::AtMostOnce })]
#[case(LeftOut { policy: Policy::UnknownAsNotRun, breaks: Promise::TrueRefusal })]
#[case(LeftOut { policy: Policy::DrainTakesWork, breaks: Promise::LeavingRests })]
#[case(LeftOut { policy: Policy::StopAtOnce, breaks: Promise::GracefulStop })]
#[case(LeftOut { policy: Policy::RefusalDropped, breaks: Promise::WholeAnswer })]
fn a_rule_left_out_is_found(#[case] case: LeftOut) {
    let found = (1..=20).any(|seed| {
        let load = Load::mixed(CAPACITY_PER_S, Duration::from_secs(10));
        let tally = run(case.policy, load, &Fault::draw(seed), seed);
        tally.violations.iter().any(|v| v.promise() == case.breaks)
    });
    assert!(found, "{case:?} goes unseen");
}

/// Guards against critical work that is crowded out under overload.
#[test]
fn at_twice_the_capacity_critical_work_gets_through() {
    let load = Load::mixed(2.0 * CAPACITY_PER_S, Duration::from_secs(10));
    let tally = run(Policy::Full, load, &[], 1);
    let critical = tally.share_served(Class::Critical);
    assert!(critical >= 0.95, "{critical}");
    let rate = tally.served() as f64 / 10.0;
    assert!(rate >= 0.9 * CAPACITY_PER_S, "{rate}");
    assert_eq!(tally.violations, []);
}

/// Guards against background work that holds interactive work up, or stops for good.
#[test]
fn background_work_yields_and_goes_on() {
    let load = Load {
        per_s: [200.0, 300.0, 2_000.0],
        time: Duration::from_secs(10),
    };
    let tally = run(Policy::Full, load, &[], 1);
    assert!(tally.share_served(Class::Critical) > 0.99);
    assert!(tally.share_served(Class::Standard) > 0.97);
    assert!(tally.share_served(Class::Background) > 0.15);
}

/// Guards against requests that fail at an endpoint which nobody could connect to.
#[test]
fn a_crashed_endpoint_costs_only_what_it_ran() {
    let load = Load::mixed(0.5 * CAPACITY_PER_S, Duration::from_secs(5));
    let faults = [at(1_000, FaultKind::Crash(0))];
    let tally = run(Policy::Full, load, &faults, 3);
    assert_eq!(tally.refused(), 0, "{tally:?}");
    assert!(tally.unknown() <= 10, "at most what its slots held");
}

/// Guards against requests that fail while instances drain, one of them unheard.
#[test]
fn a_drain_is_not_noticed() {
    let load = Load::mixed(0.5 * CAPACITY_PER_S, Duration::from_secs(5));
    let drains = [
        FaultKind::Drain(0),
        FaultKind::Drain(1),
        FaultKind::Drain(0),
    ];
    let faults = [1_000, 1_000, 1_010].into_iter().zip(drains);
    let faults: Vec<_> = faults.map(|(ms, kind)| at(ms, kind)).collect();
    let tally = run(Policy::Full, load, &faults, 4);
    assert_eq!((tally.refused(), tally.unknown()), (0, 0), "{tally:?}");
    assert_eq!(tally.violations, []);
}

/// Guards against an endpoint that draws all requests by claiming to be idle.
#[test]
fn a_lying_load_report_starves_nobody() {
    let load = Load::mixed(0.7 * CAPACITY_PER_S, Duration::from_secs(5));
    let lie = [at(0, FaultKind::Lie(0))];
    let honest = run(Policy::Full, load, &[], 5);
    let lied = run(Policy::Full, load, &lie, 5);
    let share = |tally: &Tally| tally.served() as f64 / tally.offered as f64;
    assert!(
        share(&lied) > share(&honest) - 0.02,
        "{} {}",
        share(&lied),
        share(&honest)
    );
}

/// Guards against a slow endpoint that slows all requests down.
#[test]
fn a_slow_endpoint_is_left_out() {
    let load = Load::mixed(0.5 * CAPACITY_PER_S, Duration::from_secs(10));
    let slow = [at(1_000, FaultKind::Slow(0, 20))];
    let tally = run(Policy::Full, load, &slow, 6);
    assert!(tally.runs_at(0) * 12 < tally.served() as usize, "{tally:?}");
}

/// Guards against a retry that fails at an endpoint which has begun to drain.
#[test]
fn a_drain_during_a_retry_is_not_noticed() {
    let load = Load::mixed(0.25 * CAPACITY_PER_S, Duration::from_secs(3));
    let kinds = [
        FaultKind::Crash(0),
        FaultKind::Drain(1),
        FaultKind::DrainUnheard(2),
    ];
    let faults = kinds.map(|kind| at(1_000, kind));
    let tally = run(Policy::Full, load, &faults, 7);
    assert_eq!(tally.refused(), 0, "{tally:?}");
    assert!(tally.unknown() <= 10, "at most what the crash cut off");
    assert_eq!(tally.violations, []);
}
