use rstest::rstest;

use crate::BoundService;
use crate::Catalogue;
use crate::InstanceId;
use crate::InstanceList;
use crate::Revision;
use crate::Snapshot;
use crate::catalogue;
use crate::testing;

const GOOD: &str = "
kinds: {lookup: {weight: 1}, approval: {weight: 10}}
services:
  workshop-desk:
    owner: fitting
    class: standard
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 1000}
    routes:
      - {path: /, kind: lookup, idempotent: true}
      - {path: /claims/approve, kind: approval, service: adjuster-desk}
  adjuster-desk:
    owner: review
    class: critical
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 1000}
";

fn build(text: &str) -> Result<Snapshot, crate::Faults> {
    let revision = Revision::new(1).unwrap();
    let catalogue = Catalogue::new(revision, catalogue::parse(text)?).unwrap();
    let instances = InstanceList::new(revision, []).unwrap();
    Snapshot::build(&catalogue, &instances)
}

#[derive(Debug)]
struct Matched {
    path: &'static str,
    service: &'static str,
}

#[rstest]
#[case(Matched { path: "/", service: "workshop-desk" })]
#[case(Matched { path: "/claims", service: "workshop-desk" })]
#[case(Matched { path: "/claims/approve", service: "adjuster-desk" })]
#[case(Matched { path: "/claims/approve/7/", service: "adjuster-desk" })]
#[case(Matched { path: "/claims/approved", service: "workshop-desk" })]
fn the_longest_path_that_matches_whole_segments_is_chosen(#[case] case: Matched) {
    let snapshot = build(GOOD).unwrap();
    let found = snapshot.match_route(None, case.path).unwrap();
    let service = snapshot.service(found.service).unwrap();
    assert_eq!(service.entry.name.as_str(), case.service, "{case:?}");
}

#[derive(Debug)]
struct Broken {
    from: &'static str,
    to: &'static str,
    expected: &'static str,
}

/// Guards against a version that is applied although a route names a missing service or kind.
#[rstest]
#[case(Broken { from: "service: adjuster-desk}", to: "service: appeals}",
    expected: "workshop-desk.routes[1]: service: there is no service appeals" })]
#[case(Broken { from: "kind: approval", to: "kind: payout",
    expected: "workshop-desk.routes[1]: kind: there is no kind payout" })]
#[case(Broken { from: "path: /claims/approve", to: "path: /",
    expected: "workshop-desk.routes[1]: path: / is already taken by workshop-desk" })]
fn a_version_with_a_fault_in_a_route_is_rejected(#[case] case: Broken) {
    let faults = build(&GOOD.replace(case.from, case.to)).unwrap_err();
    assert_eq!(faults.to_string(), case.expected);
}

/// The service and instance of each endpoint of a snapshot, sorted.
fn endpoints(snapshot: &Snapshot) -> Vec<(String, String)> {
    let of_service = |service: &BoundService| {
        let endpoints = snapshot.endpoints_of(service);
        let name = service.entry.name.to_string();
        let pairs = endpoints.map(move |(_, it)| (name.clone(), it.instance.id.to_string()));
        pairs.collect::<Vec<_>>()
    };
    let mut all: Vec<_> = snapshot
        .services()
        .flat_map(|(_, it)| of_service(it))
        .collect();
    all.sort_unstable();
    all
}

fn list(revision: u64, ids: &[(&str, &str)]) -> InstanceList {
    let instances = ids
        .iter()
        .map(|(id, service)| testing::instance(id, service, "north"));
    InstanceList::new(Revision::new(revision).unwrap(), instances).unwrap()
}

/// Guards against endpoints of an old list that stay in the snapshot with a new list.
#[test]
fn replacing_the_list_equals_building_from_scratch() {
    let revision = Revision::new(1).unwrap();
    let catalogue = Catalogue::new(revision, catalogue::parse(GOOD).unwrap()).unwrap();
    let lists = [
        list(1, &[("a", "workshop-desk"), ("b", "adjuster-desk")]),
        list(
            2,
            &[
                ("b", "adjuster-desk"),
                ("c", "workshop-desk"),
                ("d", "gone-desk"),
            ],
        ),
        list(3, &[]),
        list(4, &[("b", "workshop-desk")]),
    ];
    let mut bound = Snapshot::build(&catalogue, &lists[0]).unwrap();
    for list in &lists {
        bound = bound.with_instances(list);
        let rebuilt = Snapshot::build(&catalogue, list).unwrap();
        assert_eq!(endpoints(&bound), endpoints(&rebuilt));
        assert_eq!(bound.instances(), rebuilt.instances());
        for id in ["a", "b", "c", "d"] {
            let id = InstanceId::new(id).unwrap();
            let found = bound.find_endpoint(&id).and_then(|key| bound.endpoint(key));
            let listed = endpoints(&rebuilt)
                .iter()
                .any(|(_, it)| *it == id.to_string());
            assert_eq!(found.map(|it| &it.instance.id), listed.then_some(&id));
        }
        let routed = bound.match_route(None, "/claims/approve").unwrap();
        let service = bound.service(routed.service).unwrap();
        assert_eq!(service.entry.name.as_str(), "adjuster-desk");
    }
}
