//! The demo program: rejected inputs, and children of a demo that has ended.

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
    error: &'static str,
}

#[rstest]
#[case::no_catalogue(Case { catalogue: None, from: "", to: "", args: &[], error: "catalogue.yaml can't be read" })]
#[case::bad_catalogue(Case { catalogue: Some("kinds: 1"), from: "", to: "", args: &[], error: "parse: 1:8: kinds: must be a table" })]
#[case::nothing_routed(Case { catalogue: Some("kinds: {}"), from: "", to: "", args: &[], error: "no route for /desk" })]
#[case::bad_deployment(Case { catalogue: Some(CATALOGUE), from: "workers: 2", to: "workers: 99", args: &[], error: "4:19: desk: workers: must be 1 to 40" })]
#[case::no_route(Case { catalogue: Some(CATALOGUE), from: "path: /desk", to: "path: /table", args: &[], error: "no route for /table" })]
#[case::bad_rate(Case { catalogue: Some(CATALOGUE), from: "", to: "", args: &["--rate", "0"], error: "--rate must be 1 to 2000, is 0" })]
fn invalid_input_is_rejected_before_any_process_starts(#[case] case: Case) {
    let dir = tempfile::tempdir().unwrap();
    if let Some(catalogue) = case.catalogue {
        fs::write(dir.path().join("catalogue.yaml"), catalogue).unwrap();
    }
    let deployment = DEPLOYMENT.replacen(case.from, case.to, 1);
    fs::write(dir.path().join("deployment.yaml"), deployment).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_sassafrasspool-demo"))
        .arg(dir.path())
        .args(case.args)
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(stderr.contains(case.error), "{stderr}");
    assert!(output.stdout.is_empty());
}

/// Guards against child processes that outlive a killed demo: their standard input
/// closes, and nothing else stops them.
#[test]
fn a_child_exits_when_its_standard_input_closes() {
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
    let deadline = Instant::now() + Duration::from_secs(60);
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        if Instant::now() > deadline {
            child.kill().unwrap();
        }
        sleep(Duration::from_millis(10));
    };
    assert_eq!(status.code(), Some(9));
}
