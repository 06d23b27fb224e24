//! The fault cases on a small fleet, checked by the history checker.

use rstest::rstest;
use sassafrasspool_bench::control_fleet::FleetOptions;
use sassafrasspool_bench::control_fleet::Tuning;
use sassafrasspool_bench::fault;
use sassafrasspool_bench::fault::Case;
use sassafrasspool_bench::generate::Shape;

/// Nodes of the small fleet: two in each failure domain.
const NODES: usize = 8;

#[rstest]
#[case::herd_restart(Case::HerdRestart)]
#[case::stale(Case::Stale)]
#[case::reader_loss(Case::ReaderLoss)]
#[case::bad_version(Case::BadVersion)]
fn a_fault_case_violates_no_guarantee(#[case] case: Case) {
    let fleet = FleetOptions {
        nodes: NODES,
        shape: Shape {
            services: 6,
            endpoints: NODES,
            seed: 7,
        },
        naive: false,
        compress: false,
        tuning: Tuning::default(),
    };
    let cases = vec![case];
    let report = fault::run(&fault::Options { cases, fleet }).unwrap();
    assert_eq!(report.violations, 0, "{report:?}");
    assert!(report.cases[0].applied > NODES, "{report:?}");
}
