use rstest::rstest;

use crate::Catalogue;
use crate::InstanceList;
use crate::Revision;
use crate::Snapshot;
use crate::catalogue;

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
fn the_longest_path_by_whole_segments_wins(#[case] case: Matched) {
    let snapshot = build(GOOD).unwrap();
    let found = snapshot.match_route(None, case.path).unwrap();
    let service = snapshot.service(found.service).unwrap();
    assert_eq!(service.entry.name.as_str(), case.service, "{case:?}");
}

#[derive(Debug)]
struct Broken {
    from: &'static str,
    to: &'static str,
    told: &'static str,
}

// An operator removes a service, or a kind, that a route still names. Were the
// version applied, callers of the route would meet a dead end; it is refused
// whole, and the fault names the route.
#[rstest]
#[case(Broken { from: "service: adjuster-desk}", to: "service: appeals}",
    told: "workshop-desk.routes[1]: service: there is no service appeals" })]
#[case(Broken { from: "kind: approval", to: "kind: payout",
    told: "workshop-desk.routes[1]: kind: there is no kind payout" })]
#[case(Broken { from: "path: /claims/approve", to: "path: /",
    told: "workshop-desk.routes[1]: path: / is already taken by workshop-desk" })]
fn a_route_without_what_it_names_refuses_the_whole_version(#[case] case: Broken) {
    let faults = build(&GOOD.replace(case.from, case.to)).unwrap_err();
    assert_eq!(faults.to_string(), case.told);
}
