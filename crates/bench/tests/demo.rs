//! The demo's program, as far as it refuses what it can't show.

use std::fs;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

const CATALOGUE: &str = "
kinds: {review: {weight: 2}}
services:
  desk:
    owner: claims
    class: standard
    limits: {rate_per_s: 10, concurrency: 4, deadline_ms: 900}
    routes: [{path: /desk, kind: review}]
";

const DEPLOYMENT: &str = "
regions: {north: [a]}
services:
  desk: {workers: 2, slots: 6, connections: 130}
requests:
  - {path: /desk, share: 5, service_ms: 4, answer_bytes: 90}
";

#[derive(Debug)]
struct Case {
    catalogue: Option<&'static str>,
    from: &'static str,
    to: &'static str,
    args: &'static [&'static str],
    told: &'static str,
}

#[rstest]
#[case::no_catalogue(Case { catalogue: None, from: "", to: "", args: &[], told: "catalogue.yaml can't be read" })]
#[case::bad_catalogue(Case { catalogue: Some("kinds: 1"), from: "", to: "", args: &[], told: "parse: 1:8: kinds: must be a table" })]
#[case::nothing_routed(Case { catalogue: Some("kinds: {}"), from: "", to: "", args: &[], told: "no route for /desk" })]
#[case::bad_deployment(Case { catalogue: Some(CATALOGUE), from: "workers: 2", to: "workers: 99", args: &[], told: "4:19: desk: workers: must be 1 to 40" })]
#[case::no_route(Case { catalogue: Some(CATALOGUE), from: "path: /desk", to: "path: /table", args: &[], told: "no route for /table" })]
#[case::bad_rate(Case { catalogue: Some(CATALOGUE), from: "", to: "", args: &["--rate", "0"], told: "--rate must be 1 to 2000, is 0" })]
fn what_cant_be_shown_is_refused_before_anything_starts(#[case] case: Case) {
    let dir = tempfile::tempdir().unwrap();
    if let Some(catalogue) = case.catalogue {
        fs::write(dir.path().join("catalogue.yaml"), catalogue).unwrap();
    }
    let deployment = DEPLOYMENT.replacen(case.from, case.to, 1);
    fs::write(dir.path().join("deployment.yaml"), deployment).unwrap();
    let ran = Command::new(env!("CARGO_BIN_EXE_sassafrasspool-demo"))
        .arg(dir.path())
        .args(case.args)
        .output()
        .unwrap();
    let told = String::from_utf8_lossy(&ran.stderr);
    assert!(!ran.status.success());
    assert!(told.contains(case.told), "{told}");
    assert!(ran.stdout.is_empty());
}

/// Guards against children that outlive a killed demo.
#[test]
fn a_child_ends_when_its_demo_is_gone() {
    let dir = tempfile::tempdir().unwrap();
    let settings = dir.path().join("platform.yaml");
    fs::write(&settings, "{}").unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_sassafrasspool-demo"))
        .args(["platform", "--settings"])
        .arg(&settings)
        .stdin(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdin.take());
    let bound = Instant::now() + Duration::from_secs(60);
    let ended = loop {
        if let Some(ended) = child.try_wait().unwrap() {
            break ended;
        }
        if Instant::now() > bound {
            child.kill().unwrap();
        }
        sleep(Duration::from_millis(10));
    };
    assert_eq!(ended.code(), Some(9));
}
