use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use sassafrasspool_core::EndpointState;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Tick;

use super::Routing;
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
    routes: [{path: /, kind: lookup, idempotent: true}]
";

fn configured_routing() -> Routing {
    let routing = Routing::default();
    let (locality, dedup) = locality_and_window("wd-0");
    routing.configure(locality, dedup);
    routing
}

/// A snapshot whose list names these instances.
fn snapshot(revision: u64, listed: &[&str]) -> Arc<Snapshot> {
    let listed = listed.iter().map(|id| instance(id));
    snapshot_of(revision, listed.collect())
}

fn snapshot_of(revision: u64, listed: Vec<Instance>) -> Arc<Snapshot> {
    testing::snapshot(CATALOGUE, revision, listed)
}

/// A view of a snapshot in which wd-1 has announced this phase, if any.
fn view(snapshot: &Arc<Snapshot>, announced: Option<Phase>) -> Arc<View> {
    let states = announced.map(|phase| EndpointState {
        instance: name("wd-1"),
        incarnation: 1,
        sequence: u64::from(phase as u8),
        phase,
    });
    let states: HashMap<_, _> = states
        .map(|it| (it.instance.clone(), it))
        .into_iter()
        .collect();
    Arc::new(View {
        snapshot: Arc::clone(snapshot),
        states: Arc::new(states),
    })
}

/// Whether the picker finds an endpoint for a request.
fn finds_endpoint(routing: &Routing) -> bool {
    let routes = routing.routes().expect("routes");
    let route = routes
        .view
        .snapshot
        .match_route(None, "/")
        .expect("a route");
    let mut rng = SmallRng::seed_from_u64(1);
    let homes = &route.route.homes;
    let picked = routes
        .picker
        .pick(route.service, homes, Tick::ZERO, &[], &mut rng);
    picked.is_ok()
}

/// Guards against requests to a node that announced that it isn't ready before the list
/// named it.
#[rstest]
#[case::starting(Phase::Starting, false)]
#[case::ready(Phase::Ready, true)]
#[case::draining(Phase::Draining, false)]
fn phase_announced_before_the_listing_applies(#[case] announced: Phase, #[case] picked: bool) {
    let routing = configured_routing();
    let now = Tick::from_millis(1);
    let before = snapshot(1, &[]);
    routing.bind(&view(&before, Some(announced)), now);
    routing.bind(&view(&snapshot(2, &[]), Some(announced)), now);
    routing.bind(&view(&snapshot(3, &["wd-1"]), Some(announced)), now);
    assert_eq!(finds_endpoint(&routing), picked);
}

/// Guards against a picker that is rebuilt, or keeps stale phases, when states change.
#[test]
fn phase_change_keeps_the_picker() {
    let routing = configured_routing();
    let now = Tick::from_millis(1);
    let snapshot = snapshot(1, &["wd-1"]);
    routing.bind(&view(&snapshot, Some(Phase::Ready)), now);
    assert!(finds_endpoint(&routing));
    let before = routing.routes().expect("routes");
    routing.bind(&view(&snapshot, Some(Phase::Draining)), now);
    assert!(!finds_endpoint(&routing));
    let after = routing.routes().expect("routes");
    assert!(Arc::ptr_eq(&before.picker, &after.picker));
}

/// The states of the local endpoint in consecutive lists; `None` if it isn't listed.
#[derive(Debug)]
struct Departure {
    lists: &'static [Option<InstanceState>],
    /// Whether it has departed 0.5 s after the last list.
    soon: bool,
    /// Whether it has departed 2 s after the last list.
    late: bool,
}

/// Guards against requests that are handed to a departed target and cut off by its end.
#[rstest]
#[case::live(Departure {
    lists: &[Some(InstanceState::Live)],
    soon: false,
    late: false,
})]
#[case::leaving(Departure {
    lists: &[Some(InstanceState::Live), Some(InstanceState::Leaving)],
    soon: false,
    late: true,
})]
#[case::vanished(Departure {
    lists: &[Some(InstanceState::Live), None],
    soon: false,
    late: true,
})]
#[case::leaving_and_vanished(Departure {
    lists: &[Some(InstanceState::Live), Some(InstanceState::Leaving), None],
    soon: true,
    late: true,
})]
#[case::back(Departure {
    lists: &[Some(InstanceState::Live), None, Some(InstanceState::Live)],
    soon: false,
    late: false,
})]
#[case::never_listed(Departure {
    lists: &[None, None],
    soon: false,
    late: false,
})]
fn endpoint_departs_after_the_grace_period(#[case] case: Departure) {
    let routing = configured_routing();
    let mut now = Tick::from_millis(1);
    for (revision, state) in (1..).zip(case.lists) {
        now = now + Duration::from_millis(600);
        let local = state.map(|state| Instance {
            state,
            ..instance("wd-0")
        });
        let listed = snapshot_of(revision, local.into_iter().collect());
        routing.bind(&view(&listed, None), now);
    }
    let routes = routing.routes().expect("routes");
    let after = |millis| routes.has_departed(now + Duration::from_millis(millis));
    assert_eq!((after(500), after(2_000)), (case.soon, case.late));
}
