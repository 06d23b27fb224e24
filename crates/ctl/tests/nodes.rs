//! Tests of the verbs that send requests to nodes, run against fake nodes.

#[path = "support/fake_nodes.rs"]
mod fake_nodes;
#[path = "support/runner.rs"]
mod runner;

use std::collections::HashSet;
use std::net::SocketAddr;

use rstest::rstest;
use sassafrasspool_ctl::Verdict;

use crate::fake_nodes::FakeFleet;
use crate::fake_nodes::FakeNode;
use crate::runner::run_client;

/// Fake nodes and a verb, with the expected verdict and parts of the output.
#[derive(Debug)]
struct Case {
    verb: &'static [&'static str],
    fakes: &'static [FakeNode],
    verdict: Verdict,
    output: &'static [&'static str],
}

const NEW: FakeNode = FakeNode::with_version("wd-1", 7, "aa");
const ALSO_NEW: FakeNode = FakeNode::with_version("wd-2", 7, "aa");
const NEWER: FakeNode = FakeNode::with_version("wd-3", 8, "cc");
const OLD: FakeNode = FakeNode::with_version("wd-4", 6, "dd");
const OTHER: FakeNode = FakeNode::with_version("wd-5", 7, "bb");
const RESTORED: FakeNode = FakeNode::with_version("wd-11", 7, "ee").in_epoch(1);
const EMPTY: FakeNode = FakeNode::with_version("wd-6", 0, "");
const FAILING: FakeNode = FakeNode::failing("wd-7");
const REFUSING: FakeNode = FakeNode::refusing("wd-8");
const UNRESPONSIVE: FakeNode = FakeNode::unresponsive("wd-9");
const CODED: FakeNode = FakeNode::coded("wd-12");
const GARBLED: FakeNode = FakeNode::garbled("wd-10");

const R7: &[&str] = &["converged", "--revision", "7", "--within", "1"];

#[rstest]
#[case::status(Case { verb: &["status"], fakes: &[NEW, OLD], verdict: Verdict::Yes, output: &["wd-1", "wd-4", "ready"] })]
#[case::status_of_faulty_nodes(Case { verb: &["status"], fakes: &[FAILING, NEW, REFUSING, GARBLED], verdict: Verdict::Unanswered,
    output: &["wd-1", "UNREACHABLE  admin with", "500 Internal Server Error out of order", "no answer", "unexpected answer"] })]
#[case::status_in_an_unknown_coding(Case { verb: &["status"], fakes: &[CODED, NEW], verdict: Verdict::Unanswered,
    output: &["wd-1", "malformed answer", "the transfer coding is not supported"] })]
#[case::versions(Case { verb: &["versions"], fakes: &[NEW, ALSO_NEW, NEWER], verdict: Verdict::Yes,
    output: &["newest catalogue: 8-cc", "LAGS catalogue (heard of 9-ee)"] })]
#[case::versions_with_an_unresponsive_node(Case { verb: &["versions"], fakes: &[NEW, UNRESPONSIVE], verdict: Verdict::Unanswered,
    output: &["newest catalogue: 7-aa", "no answer within 2000 ms"] })]
#[case::converged(Case { verb: R7, fakes: &[NEW, ALSO_NEW, NEWER], verdict: Verdict::Yes, output: &["3 of 3 nodes have catalogue 7"] })]
#[case::one_lags(Case { verb: R7, fakes: &[NEW, OLD], verdict: Verdict::No, output: &["1 of 2 nodes", "lags: holds 6-dd"] })]
#[case::one_holds_a_former_epoch(Case { verb: R7, fakes: &[NEWER, RESTORED], verdict: Verdict::No, output: &["1 of 2 nodes", "lags: holds 8-cc"] })]
#[case::status_in_an_epoch(Case { verb: &["status"], fakes: &[RESTORED], verdict: Verdict::Yes, output: &["1:7"] })]
#[case::versions_in_two_epochs(Case { verb: &["versions"], fakes: &[NEWER, RESTORED], verdict: Verdict::Yes, output: &["newest catalogue: 1:7-ee"] })]
#[case::one_holds_nothing(Case { verb: R7, fakes: &[NEW, EMPTY], verdict: Verdict::No, output: &["lags: holds nothing"] })]
#[case::one_conflicts(Case { verb: R7, fakes: &[NEW, OTHER], verdict: Verdict::No, output: &["conflict: 7-aa", "conflict: 7-bb"] })]
#[case::one_is_unreachable(Case { verb: R7, fakes: &[NEW, REFUSING], verdict: Verdict::Unanswered, output: &["1 of 2 nodes", "UNREACHABLE"] })]
#[case::other_stream(Case { verb: &["converged", "--revision", "3", "--within", "1", "--stream", "instances"], fakes: &[OLD],
    verdict: Verdict::Yes, output: &["1 of 1 nodes have instances 3"] })]
#[case::explain(Case { verb: &["route", "explain", "adjuster-desk", "/adjuster/a&b?c=d e"], fakes: &[NEW, REFUSING], verdict: Verdict::Unanswered,
    output: &["adjuster-desk /adjuster/a&b?c=d e", "wd-9  bayanzurkh", "listed live  phase not heard", "UNREACHABLE"] })]
#[case::explain_a_service(Case { verb: &["route", "explain", "adjuster-desk"], fakes: &[NEW], verdict: Verdict::Yes, output: &["adjuster-desk -"] })]
#[case::audit(Case { verb: &["audit", "--after", "4"], fakes: &[NEW, REFUSING], verdict: Verdict::Unanswered,
    output: &["1.500  wd-1  #5  applied  stream=catalogue  version=7-aa", "no longer keeps 2 older records", "UNREACHABLE"] })]
#[case::quarantine(Case { verb: &["quarantine", "list"], fakes: &[NEW, EMPTY, REFUSING], verdict: Verdict::Unanswered,
    output: &["wd-1  00000000000000aa  for 7 ms", "wd-6  nothing", "UNREACHABLE"] })]
#[case::release(Case { verb: &["quarantine", "release", "00000000000000aa"], fakes: &[REFUSING, NEW], verdict: Verdict::Yes,
    output: &["wd-1  00000000000000aa  released"] })]
#[case::release_of_another(Case { verb: &["quarantine", "release", "00000000000000ab-00000000000000ac"], fakes: &[NEW], verdict: Verdict::Yes,
    output: &["00000000000000ab-00000000000000ac  was not in quarantine there"] })]
#[case::drain(Case { verb: &["drain", "wd-1"], fakes: &[NEW, REFUSING], verdict: Verdict::Yes, output: &["wd-1  draining, 3 in flight"] })]
fn verb_reports_every_node(#[case] case: Case) {
    let fleet = FakeFleet::start(case.fakes);
    let mut args = case.verb.to_vec();
    let nodes = fleet.nodes();
    let unresponsive = case.fakes.iter().any(FakeNode::is_unresponsive);
    let timeout_ms = if unresponsive { "2000" } else { "30000" };
    args.extend(["--nodes", &nodes, "--timeout-ms", timeout_ms]);
    let text = run_client(&args);
    assert_eq!(text.verdict, case.verdict, "{text:?}");
    for part in case.output {
        assert!(text.out.contains(part), "{part:?} isn't in {}", text.out);
    }

    args.push("--json");
    let json = run_client(&args);
    assert_eq!(json.verdict, case.verdict, "{json:?}");
    assert!(serde_json::from_str::<serde_json::Value>(&json.out).is_ok());
    assert_eq!(json.out.lines().count(), 1);
}

#[test]
fn nodes_of_a_file_are_each_listed_once() {
    let fleet = FakeFleet::start(&[NEW, OLD, FAILING, REFUSING]);
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("nodes");
    std::fs::write(&file, fleet.nodes().replace(',', "\n")).unwrap();
    let status = run_client(&["status", "--json", "--nodes-file", file.to_str().unwrap()]);
    let status: serde_json::Value = serde_json::from_str(&status.out).unwrap();
    let listed = ["answered", "unreachable"].map(|list| status[list].as_array().unwrap().clone());
    let listed = listed
        .iter()
        .flatten()
        .map(|entry| entry["node"].as_str().unwrap());
    let listed: Vec<SocketAddr> = listed.map(|node| node.parse().unwrap()).collect();
    let expected: HashSet<SocketAddr> = fleet
        .nodes()
        .split(',')
        .map(|node| node.parse().unwrap())
        .collect();
    assert_eq!(listed.len(), expected.len());
    assert_eq!(listed.into_iter().collect::<HashSet<_>>(), expected);
}

#[derive(Debug)]
struct FailedVerb {
    args: &'static [&'static str],
    error: &'static str,
}

#[rstest]
#[case(FailedVerb { args: &["status"], error: "check: name nodes by --nodes or --nodes-file" })]
#[case(FailedVerb { args: &["status", "--nodes", "localhost"], error: "isn't an address" })]
#[case(FailedVerb { args: &["status", "--nodes", "127.0.0.1:1", "--timeout-ms", "0"], error: "--timeout-ms must be 1 to 60000, is 0" })]
#[case(FailedVerb { args: &["converged", "--within", "1"], error: "flag is required: `--revision`" })]
#[case(FailedVerb { args: &["converged", "--nodes", "127.0.0.1:1", "--revision", "0", "--within", "1"], error: "--revision must be 1" })]
#[case(FailedVerb { args: &["converged", "--nodes", "127.0.0.1:1", "--revision", "1", "--within", "9999"], error: "--within must be 1 to 3600" })]
#[case(FailedVerb { args: &["converged", "--nodes", "127.0.0.1:1", "--revision", "1", "--within", "1", "--stream", "x"], error: "--stream must be" })]
#[case(FailedVerb { args: &["route", "explain", "Desk!", "--nodes", "127.0.0.1:1"], error: "check: service name" })]
#[case(FailedVerb { args: &["quarantine", "release", "aa", "--nodes", "127.0.0.1:1"], error: "is no request's content" })]
#[case(FailedVerb { args: &["quarantine", "release", "00000000000000aa", "--nodes", "127.0.0.1:1"], error: "no node accepted the release" })]
#[case(FailedVerb { args: &["drain", "wd-1"], error: "name nodes by" })]
#[case(FailedVerb { args: &["drain", "127.0.0.1:1"], error: "admin with 127.0.0.1:1: no answer" })]
fn failed_verb_reports_step_and_peer(#[case] case: FailedVerb) {
    let run = run_client(case.args);
    assert_eq!(run.verdict, Verdict::Unanswered, "{run:?}");
    assert!(run.err.contains(case.error), "{run:?}");
    assert!(run.out.is_empty(), "{run:?}");
}

#[test]
fn drain_lists_the_unreachable_nodes() {
    let fleet = FakeFleet::start(&[NEW, REFUSING]);
    let run = run_client(&["drain", "wd-99", "--nodes", &fleet.nodes()]);
    assert_eq!(run.verdict, Verdict::Unanswered);
    assert!(
        run.err
            .contains("admin with wd-99: 0 nodes report this instance as their own"),
        "{}",
        run.err
    );
    assert!(run.err.contains("UNREACHABLE"), "{}", run.err);
}

/// Guards against a verdict after the first round: nodes apply a revision one
/// after the other while the verb waits, so that its first rounds find nodes
/// that lag.
#[test]
fn converged_waits_for_the_last_node() {
    let fleet = FakeFleet::start(&[NEW, OLD.upgraded_after(3)]);
    let mut args = R7.to_vec();
    let nodes = fleet.nodes();
    args.extend(["--nodes", &nodes, "--within", "60"]);
    args.drain(3..5);
    let run = run_client(&args);
    assert_eq!(run.verdict, Verdict::Yes, "{run:?}");
}
