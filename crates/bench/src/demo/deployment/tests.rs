use std::path::Path;

use rstest::rstest;
use sassafrasspool_core::catalogue;

use super::Deployment;

const GOOD: &str = "regions: {north: [a, b]}
services:
  desk: {workers: 2, slots: 6, connections: 130}
requests:
  - {path: /desk, share: 5, service_ms: 4, answer_bytes: 90}
";

#[derive(Debug)]
struct Bad {
    from: &'static str,
    to: &'static str,
    faults: &'static [&'static str],
}

#[rstest]
#[case(Bad { from: "workers: 2", to: "workers: 0", faults: &["3:19: desk: workers: must be 1 to 40, is 0"] })]
#[case(Bad { from: "slots: 6, ", to: "", faults: &["3:9: desk: slots: is missing"] })]
#[case(Bad { from: "[a, b]", to: "[]", faults: &["1:1: regions: names no failure domain"] })]
#[case(Bad { from: "[a, b]", to: "[a, 7]", faults: &["1:22: regions: must be text, is a number"] })]
#[case(Bad { from: "path: /desk", to: "path: desk", faults: &["5:12: requests[0]: path: check: path \"desk\" must begin with /"] })]
#[case(Bad { from: "share: 5", to: "share: 5, rate: 1", faults: &["5:29: requests[0]: rate: is unknown"] })]
#[case(Bad { from: GOOD, to: "{}", faults: &[
    "1:1: regions: is missing",
    "1:1: services: is missing",
    "1:1: requests: has no entry",
] })]
fn a_bad_deployment_reports_all_its_faults(#[case] case: Bad) {
    let faults = Deployment::parse(&GOOD.replacen(case.from, case.to, 1)).unwrap_err();
    let reported: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(reported, case.faults);
}

#[derive(Debug)]
struct Example {
    name: &'static str,
    domains: usize,
    workers: &'static [(&'static str, u32, u32, u32)],
}

#[rstest]
#[case(Example { name: "khangai", domains: 3, workers: &[
    ("workshop-desk", 5, 10, 120),
    ("adjuster-desk", 5, 10, 120),
] })]
#[case(Example { name: "thekkady", domains: 3, workers: &[
    ("report-desk", 7, 6, 130),
    ("evidence-store", 4, 6, 130),
] })]
fn examples_have_the_expected_sizes_and_a_route_for_each_call(#[case] case: Example) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let dir = dir.join(case.name);
    let found = Deployment::load(&dir.join("deployment.yaml")).unwrap();
    assert_eq!(found.domains.len(), case.domains);
    let sizes = found.services.iter().map(|service| {
        let name = service.service.as_str();
        (name, service.workers, service.slots, service.connections)
    });
    assert_eq!(sizes.collect::<Vec<_>>(), case.workers);

    let text = std::fs::read_to_string(dir.join("catalogue.yaml")).unwrap();
    let items = catalogue::parse(&text).unwrap();
    let routes = crate::demo::bind_routes(items).unwrap();
    for call in &found.calls {
        assert!(
            routes.match_route(None, call.path.as_str()).is_some(),
            "{call:?}"
        );
    }
}
