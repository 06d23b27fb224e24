//! Simulation of routing, admission and retries together, on injected time. Runs are
//! compared with those of a naive policy: any endpoint, no queue, no retry.

use std::time::Duration;

use rstest::rstest;
use sassafrasspool_core::Class;
use sassafrasspool_core::history::Guarantee;

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

/// The slots of all endpoints divided by the mean service time of a request.
const CAPACITY_PER_S: f64 = 1_000.0;

fn run(policy: Policy, load: Load, faults: &[Fault], seed: u64) -> Tally {
    let mut sim = Sim::new(policy, seed);
    for fault in faults {
        sim.schedule_fault(*fault);
    }
    sim.schedule_load(&load);
    sim.run()
}

fn fault_at(ms: u64, kind: FaultKind) -> Fault {
    Fault { ms, kind }
}

/// Guards against requests that are lost, run twice or falsely refused under random faults.
#[test]
fn no_policy_violates_a_promise_and_the_full_one_serves_more() {
    let mut served = [0, 0];
    for seed in 1..=20 {
        let load = Load::mixed(0.6 * CAPACITY_PER_S, Duration::from_secs(10));
        let faults = Fault::draw(seed);
        let full = run(Policy::Full, load, &faults, seed);
        let naive = run(Policy::Naive, load, &faults, seed);
        assert_eq!(full.violations, [], "seed {seed}");
        assert_eq!(naive.violations, [], "seed {seed}");
        assert_eq!(
            full.offered, naive.offered,
            "both policies get the same load"
        );
        served[0] += full.served();
        served[1] += naive.served();
    }
    assert!(served[0] > served[1], "{served:?}");
}

#[derive(Debug)]
struct BrokenRule {
    policy: Policy,
    violated: Guarantee,
}

/// Guards against a checker that finds no violation when a rule is not followed.
#[rstest]
#[case(BrokenRule { policy: Policy::RetryUnknown, violated: Guarantee::AtMostOnce })]
#[case(BrokenRule { policy: Policy::UnknownAsNotRun, violated: Guarantee::TrueRefusal })]
#[case(BrokenRule { policy: Policy::AdmitWhileDraining, violated: Guarantee::NoWorkWhileLeaving })]
#[case(BrokenRule { policy: Policy::StopWithoutWaiting, violated: Guarantee::GracefulStop })]
#[case(BrokenRule { policy: Policy::DropRefusals, violated: Guarantee::WholeAnswer })]
fn a_policy_without_a_rule_is_detected(#[case] case: BrokenRule) {
    let found = (1..=20).any(|seed| {
        let load = Load::mixed(CAPACITY_PER_S, Duration::from_secs(10));
        let tally = run(case.policy, load, &Fault::draw(seed), seed);
        tally
            .violations
            .iter()
            .any(|v| v.guarantee() == case.violated)
    });
    assert!(found, "{case:?} is not detected");
}

/// Guards against critical requests that are displaced by others under overload.
#[test]
fn at_twice_the_capacity_critical_requests_are_served() {
    let load = Load::mixed(2.0 * CAPACITY_PER_S, Duration::from_secs(10));
    let tally = run(Policy::Full, load, &[], 1);
    let critical = tally.share_served(Class::Critical);
    assert!(critical >= 0.95, "{critical}");
    let rate = tally.served() as f64 / 10.0;
    assert!(rate >= 0.9 * CAPACITY_PER_S, "{rate}");
    assert_eq!(tally.violations, []);
}

/// Guards against background requests that delay interactive ones, or that starve.
#[test]
fn background_requests_yield_without_starving() {
    let load = Load {
        per_s: [200.0, 300.0, 2_000.0],
        duration: Duration::from_secs(10),
    };
    let tally = run(Policy::Full, load, &[], 1);
    assert!(tally.share_served(Class::Critical) > 0.99);
    assert!(tally.share_served(Class::Standard) > 0.97);
    assert!(tally.share_served(Class::Background) > 0.15);
}

/// Guards against requests that fail because an endpoint crashed, although a failed
/// connection permits a retry at another endpoint.
#[test]
fn a_crash_loses_only_the_requests_that_the_endpoint_ran() {
    let load = Load::mixed(0.5 * CAPACITY_PER_S, Duration::from_secs(5));
    let faults = [fault_at(1_000, FaultKind::Crash(0))];
    let tally = run(Policy::Full, load, &faults, 3);
    assert_eq!(tally.refused(), 0, "{tally:?}");
    assert!(tally.unknown() <= 10, "at most the requests in its slots");
}

/// Guards against requests that fail while two instances drain, one of which gets the
/// order twice.
#[test]
fn a_drain_fails_no_request() {
    let load = Load::mixed(0.5 * CAPACITY_PER_S, Duration::from_secs(5));
    let drains = [
        FaultKind::Drain(0),
        FaultKind::Drain(1),
        FaultKind::Drain(0),
    ];
    let faults = [1_000, 1_000, 1_010].into_iter().zip(drains);
    let faults: Vec<_> = faults.map(|(ms, kind)| fault_at(ms, kind)).collect();
    let tally = run(Policy::Full, load, &faults, 4);
    assert_eq!((tally.refused(), tally.unknown()), (0, 0), "{tally:?}");
    assert_eq!(tally.violations, []);
}

/// Guards against an endpoint that attracts all requests by reporting that it is idle.
#[test]
fn a_false_load_report_costs_few_requests() {
    let load = Load::mixed(0.7 * CAPACITY_PER_S, Duration::from_secs(5));
    let false_report = [fault_at(0, FaultKind::ReportIdle(0))];
    let without = run(Policy::Full, load, &[], 5);
    let with = run(Policy::Full, load, &false_report, 5);
    let share = |tally: &Tally| tally.served() as f64 / tally.offered as f64;
    assert!(
        share(&with) > share(&without) - 0.02,
        "{} {}",
        share(&with),
        share(&without)
    );
}

/// Guards against a slow endpoint that slows down all requests.
#[test]
fn a_slow_endpoint_gets_few_requests() {
    let load = Load::mixed(0.5 * CAPACITY_PER_S, Duration::from_secs(10));
    let slow = [fault_at(1_000, FaultKind::Slow(0, 20))];
    let tally = run(Policy::Full, load, &slow, 6);
    assert!(tally.runs_at(0) * 12 < tally.served() as usize, "{tally:?}");
}

/// Guards against a retry that fails at an endpoint that has begun to drain.
#[test]
fn a_drain_during_a_retry_fails_no_request() {
    let load = Load::mixed(0.25 * CAPACITY_PER_S, Duration::from_secs(3));
    let kinds = [
        FaultKind::Crash(0),
        FaultKind::Drain(1),
        FaultKind::DrainUnannounced(2),
    ];
    let faults = kinds.map(|kind| fault_at(1_000, kind));
    let tally = run(Policy::Full, load, &faults, 7);
    assert_eq!(tally.refused(), 0, "{tally:?}");
    assert!(
        tally.unknown() <= 10,
        "at most the requests that ran at the crash"
    );
    assert_eq!(tally.violations, []);
}
