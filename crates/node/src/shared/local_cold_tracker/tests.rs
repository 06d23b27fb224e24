use std::collections::HashMap;
use std::sync::Arc;

use rstest::rstest;
use sassafrasspool_core::ColdStart;
use sassafrasspool_core::ColdTolerance;
use sassafrasspool_core::Incarnation;

use crate::Shared;
use crate::View;
use crate::testing;
use crate::testing::instance;
use crate::testing::locality_and_window;
use crate::testing::name;

const CATALOGUE: &str = "
kinds: {lookup: {weight: 1}}
services:
  workshop-desk:
    owner: fitters
    class: standard
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 2000}
    cold_start: {lasts_ms: 3000, per_s: 20}
    routes: [{path: /, kind: lookup, idempotent: true}]
";

const EVACUATION: &str = "evacuated: [bayanzurkh]\n";

/// Whether the instance list names the local target.
#[derive(Debug)]
struct Listing {
    during_evacuation: bool,
    at_its_end: bool,
}

/// Guards against a target that gets the load of a warm one after an evacuation, because the
/// list didn't name it while the evacuation was in force or ended.
#[rstest]
#[case::all_the_time(Listing { during_evacuation: true, at_its_end: true })]
#[case::after_the_evacuation(Listing { during_evacuation: false, at_its_end: true })]
#[case::before_the_end(Listing { during_evacuation: true, at_its_end: false })]
#[case::never(Listing { during_evacuation: false, at_its_end: false })]
fn target_is_cold_after_an_evacuation(#[case] listing: Listing) {
    let shared = starting_node();
    let evacuated = format!("{CATALOGUE}{EVACUATION}");
    put_in_force(&shared, 1, &evacuated, listing.during_evacuation);
    put_in_force(&shared, 2, CATALOGUE, listing.at_its_end);
    assert!(limits_requests(&shared), "{listing:?}");
}

/// Guards against a process that applies the load of a warm target to a cold one, since it
/// started after the evacuation that made the target cold.
#[rstest]
#[case::listed(true)]
#[case::not_listed(false)]
fn target_is_cold_to_a_process_that_has_just_started(#[case] listed: bool) {
    let shared = starting_node();
    put_in_force(&shared, 2, CATALOGUE, listed);
    assert!(limits_requests(&shared));
}

/// The state of a node before its first view.
fn starting_node() -> Shared {
    let shared = Shared::new(name("wd-1"), Incarnation::from_start_millis(1));
    let (locality, dedup) = locality_and_window("wd-1");
    shared.configure_routing(locality, dedup);
    shared.set_service(name("workshop-desk"));
    shared
}

/// Puts a catalogue in force, with a list that names the local target or is empty.
fn put_in_force(shared: &Shared, revision: u64, text: &str, listed: bool) {
    let listed = listed.then(|| instance("wd-1"));
    shared.set_view(View {
        snapshot: testing::snapshot(text, revision, listed.into_iter().collect()),
        states: Arc::new(HashMap::new()),
    });
}

/// Whether requests to the local target are limited because it is cold.
fn limits_requests(shared: &Shared) -> bool {
    let routes = shared.routes().expect("routes");
    let service = routes.view.snapshot.find_service(&name("workshop-desk"));
    let start: Option<&ColdStart> = service.and_then(|(_, found)| found.entry.cold_start.as_ref());
    let now = shared.clock().now();
    let tolerance = ColdTolerance::default();
    let limit = shared
        .cold_tracker()
        .cold_limit(now, start, tolerance, None);
    limit.is_some()
}
