//! The verbs that ask nodes, against fake admin addresses.

#[path = "support/fake.rs"]
mod fake;
#[path = "support/ran.rs"]
mod ran;

use std::collections::HashSet;
use std::net::SocketAddr;

use rstest::rstest;
use sassafrasspool_ctl::Verdict;

use crate::fake::Fake;
use crate::fake::Fleet;
use crate::ran::ran;

/// Fakes and a verb, with what an operator then sees.
#[derive(Debug)]
struct Case {
    verb: &'static [&'static str],
    fakes: &'static [Fake],
    verdict: Verdict,
    told: &'static [&'static str],
}

const NEW: Fake = Fake::holding("wd-1", 7, "aa");
const ALSO_NEW: Fake = Fake::holding("wd-2", 7, "aa");
const NEWER: Fake = Fake::holding("wd-3", 8, "cc");
const OLD: Fake = Fake::holding("wd-4", 6, "dd");
const OTHER: Fake = Fake::holding("wd-5", 7, "bb");
const EMPTY: Fake = Fake::holding("wd-6", 0, "");
const SICK: Fake = Fake::sick("wd-7");
const GONE: Fake = Fake::gone("wd-8");
const MUTE: Fake = Fake::mute("wd-9");
const GARBLED: Fake = Fake::garbled("wd-10");

const R7: &[&str] = &["converged", "--revision", "7", "--within", "1"];

#[rstest]
#[case::status(Case { verb: &["status"], fakes: &[NEW, OLD], verdict: Verdict::Yes, told: &["wd-1", "wd-4", "ready"] })]
#[case::status_of_all_sorts(Case { verb: &["status"], fakes: &[SICK, NEW, GONE, GARBLED], verdict: Verdict::Unanswered,
    told: &["wd-1", "UNREACHABLE  admin with", "500 Internal Server Error out of order", "no answer", "unexpected answer"] })]
#[case::versions(Case { verb: &["versions"], fakes: &[NEW, ALSO_NEW, NEWER], verdict: Verdict::Yes,
    told: &["newest catalogue: 8-cc", "LAGS catalogue (heard of 9-ee)"] })]
#[case::versions_with_a_silent_node(Case { verb: &["versions"], fakes: &[NEW, MUTE], verdict: Verdict::Unanswered,
    told: &["newest catalogue: 7-aa", "no answer within 2000 ms"] })]
#[case::converged(Case { verb: R7, fakes: &[NEW, ALSO_NEW, NEWER], verdict: Verdict::Yes, told: &["3 of 3 nodes have catalogue 7"] })]
#[case::one_lags(Case { verb: R7, fakes: &[NEW, OLD], verdict: Verdict::No, told: &["1 of 2 nodes", "lags: holds 6-dd"] })]
#[case::one_holds_nothing(Case { verb: R7, fakes: &[NEW, EMPTY], verdict: Verdict::No, told: &["lags: holds nothing"] })]
#[case::one_conflicts(Case { verb: R7, fakes: &[NEW, OTHER], verdict: Verdict::No, told: &["conflict: 7-aa", "conflict: 7-bb"] })]
#[case::one_is_gone(Case { verb: R7, fakes: &[NEW, GONE], verdict: Verdict::Unanswered, told: &["1 of 2 nodes", "UNREACHABLE"] })]
#[case::other_stream(Case { verb: &["converged", "--revision", "3", "--within", "1", "--stream", "instances"], fakes: &[OLD],
    verdict: Verdict::Yes, told: &["1 of 1 nodes have instances 3"] })]
#[case::explain(Case { verb: &["route", "explain", "adjuster-desk", "/adjuster/a&b?c=d e"], fakes: &[NEW, GONE], verdict: Verdict::Unanswered,
    told: &["adjuster-desk /adjuster/a&b?c=d e", "wd-9  bayanzurkh", "listed live  phase not heard", "UNREACHABLE"] })]
#[case::explain_a_service(Case { verb: &["route", "explain", "adjuster-desk"], fakes: &[NEW], verdict: Verdict::Yes, told: &["adjuster-desk -"] })]
#[case::audit(Case { verb: &["audit", "--after", "4"], fakes: &[NEW, GONE], verdict: Verdict::Unanswered,
    told: &["1.500  wd-1  #5  applied  stream=catalogue  version=7-aa", "no longer keeps 2 older records", "UNREACHABLE"] })]
#[case::quarantine(Case { verb: &["quarantine", "list"], fakes: &[NEW, EMPTY, GONE], verdict: Verdict::Unanswered,
    told: &["wd-1  00000000000000aa  for 7 ms", "wd-6  nothing", "UNREACHABLE"] })]
#[case::release(Case { verb: &["quarantine", "release", "00000000000000aa"], fakes: &[GONE, NEW], verdict: Verdict::Yes,
    told: &["wd-1  00000000000000aa  released"] })]
#[case::release_of_another(Case { verb: &["quarantine", "release", "00000000000000ab-00000000000000ac"], fakes: &[NEW], verdict: Verdict::Yes,
    told: &["00000000000000ab-00000000000000ac  was not in quarantine there"] })]
#[case::drain(Case { verb: &["drain", "wd-1"], fakes: &[NEW, GONE], verdict: Verdict::Yes, told: &["wd-1  draining, 3 in flight"] })]
fn a_verb_tells_of_every_node(#[case] case: Case) {
    let fleet = Fleet::start(case.fakes);
    let mut args = case.verb.to_vec();
    let nodes = fleet.nodes();
    let mute = case.fakes.iter().any(Fake::is_mute);
    let timeout_ms = if mute { "2000" } else { "30000" };
    args.extend(["--nodes", &nodes, "--timeout-ms", timeout_ms]);
    let text = ran(&args);
    assert_eq!(text.verdict, case.verdict, "{text:?}");
    for told in case.told {
        assert!(text.out.contains(told), "{told:?} isn't in {}", text.out);
    }

    args.push("--json");
    let json = ran(&args);
    assert_eq!(json.verdict, case.verdict, "{json:?}");
    assert!(serde_json::from_str::<serde_json::Value>(&json.out).is_ok());
    assert_eq!(json.out.lines().count(), 1);
}

#[test]
fn every_node_of_a_file_is_asked_once_and_listed() {
    let fleet = Fleet::start(&[NEW, OLD, SICK, GONE]);
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("nodes");
    std::fs::write(&file, fleet.nodes().replace(',', "\n")).unwrap();
    let told = ran(&["status", "--json", "--nodes-file", file.to_str().unwrap()]);
    let told: serde_json::Value = serde_json::from_str(&told.out).unwrap();
    let listed = ["answered", "unreachable"].map(|list| told[list].as_array().unwrap().clone());
    let listed = listed
        .iter()
        .flatten()
        .map(|entry| entry["node"].as_str().unwrap());
    let listed: Vec<SocketAddr> = listed.map(|node| node.parse().unwrap()).collect();
    let named: HashSet<SocketAddr> = fleet
        .nodes()
        .split(',')
        .map(|node| node.parse().unwrap())
        .collect();
    assert_eq!(listed.len(), named.len());
    assert_eq!(listed.into_iter().collect::<HashSet<_>>(), named);
}

#[derive(Debug)]
struct Refused {
    args: &'static [&'static str],
    told: &'static str,
}

#[rstest]
#[case(Refused { args: &["status"], told: "check: name nodes by --nodes or --nodes-file" })]
#[case(Refused { args: &["status", "--nodes", "localhost"], told: "isn't an address" })]
#[case(Refused { args: &["status", "--nodes", "127.0.0.1:1", "--timeout-ms", "0"], told: "--timeout-ms must be 1 to 60000, is 0" })]
#[case(Refused { args: &["converged", "--within", "1"], told: "flag is required: `--revision`" })]
#[case(Refused { args: &["converged", "--nodes", "127.0.0.1:1", "--revision", "0", "--within", "1"], told: "--revision must be 1" })]
#[case(Refused { args: &["converged", "--nodes", "127.0.0.1:1", "--revision", "1", "--within", "9999"], told: "--within must be 1 to 3600" })]
#[case(Refused { args: &["converged", "--nodes", "127.0.0.1:1", "--revision", "1", "--within", "1", "--stream", "x"], told: "--stream must be" })]
#[case(Refused { args: &["route", "explain", "Desk!", "--nodes", "127.0.0.1:1"], told: "check: service name" })]
#[case(Refused { args: &["quarantine", "release", "aa", "--nodes", "127.0.0.1:1"], told: "is no request's content" })]
#[case(Refused { args: &["quarantine", "release", "00000000000000aa", "--nodes", "127.0.0.1:1"], told: "no node took the order" })]
#[case(Refused { args: &["drain", "wd-1"], told: "name nodes by" })]
#[case(Refused { args: &["drain", "127.0.0.1:1"], told: "admin with 127.0.0.1:1: no answer" })]
fn what_cant_be_asked_is_told_with_its_step_and_peer(#[case] case: Refused) {
    let ran = ran(case.args);
    assert_eq!(ran.verdict, Verdict::Unanswered, "{ran:?}");
    assert!(ran.err.contains(case.told), "{ran:?}");
    assert!(ran.out.is_empty(), "{ran:?}");
}

#[test]
fn drain_names_the_nodes_that_it_couldnt_ask() {
    let fleet = Fleet::start(&[NEW, GONE]);
    let ran = ran(&["drain", "wd-99", "--nodes", &fleet.nodes()]);
    assert_eq!(ran.verdict, Verdict::Unanswered);
    assert!(
        ran.err.contains("admin with wd-99: 0 nodes run beside it"),
        "{}",
        ran.err
    );
    assert!(ran.err.contains("UNREACHABLE"), "{}", ran.err);
}

/// An operator publishes and waits. Nodes apply the revision one after the
/// other while the verb waits, so that its first rounds see nodes that lag.
#[test]
fn converged_waits_for_the_last_node() {
    let fleet = Fleet::start(&[NEW, OLD.turning_new_after(3)]);
    let mut args = R7.to_vec();
    let nodes = fleet.nodes();
    args.extend(["--nodes", &nodes, "--within", "60"]);
    args.drain(3..5);
    let ran = ran(&args);
    assert_eq!(ran.verdict, Verdict::Yes, "{ran:?}");
}
