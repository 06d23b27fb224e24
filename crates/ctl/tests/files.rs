//! The verbs that read files, run as an operator runs them.

#[path = "support/ran.rs"]
mod ran;

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use rstest::rstest;
use sassafrasspool_ctl::Verdict;

use crate::ran::Ran;
use crate::ran::ran;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

const DESK: &str = "kinds: {review: {weight: 2}}
services:
  desk:
    owner: claims
    class: standard
    limits: {rate_per_s: 10, concurrency: 4, deadline_ms: 900}
    routes:
      - {path: /desk, kind: review, service: desk}
";

#[derive(Debug)]
struct BadFile {
    from: &'static str,
    to: &'static str,
    line: u64,
    column: u64,
    told: &'static str,
}

#[rstest]
#[case(BadFile { from: "weight: 2", to: "weight: -1", line: 1, column: 26, told: "must be a whole number" })]
#[case(BadFile { from: "rate_per_s: 10", to: "rate_per_s: 0", line: 6, column: 26, told: "must be 1 to 1000000, is 0" })]
#[case(BadFile { from: "owner: claims", to: "owner: Claims", line: 4, column: 12, told: "owner" })]
#[case(BadFile { from: "service: desk", to: "service: gone", line: 8, column: 46, told: "there is no service gone" })]
#[case(BadFile { from: "kind: review", to: "kind: other", line: 8, column: 29, told: "there is no kind other" })]
#[case(BadFile { from: "routes:\n", to: "routes:\n      - {path: /desk, kind: review}\n", line: 9, column: 16, told: "/desk is already taken" })]
#[case(BadFile { from: "class: standard", to: "class: standard\n    extra: 1", line: 6, column: 5, told: "is unknown" })]
fn check_tells_a_fault_with_its_place(#[case] case: BadFile) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("bad.yaml");
    fs::write(&file, DESK.replacen(case.from, case.to, 1)).unwrap();
    let file = file.to_str().unwrap();

    let json = ran(&["check", file, "--json"]);
    assert_eq!(json.verdict, Verdict::No, "{json:?}");
    let found: serde_json::Value = serde_json::from_str(&json.out).unwrap();
    let fault = &found["faults"][0];
    assert_eq!(fault["line"], case.line, "{found}");
    assert_eq!(fault["column"], case.column, "{found}");
    assert!(
        fault["reason"].as_str().unwrap().contains(case.told),
        "{found}"
    );

    let text = ran(&["check", file]);
    assert_eq!(text.verdict, Verdict::No);
    let place = format!("{file}:{}:{}", case.line, case.column);
    assert!(text.out.contains(&place), "{}", text.out);
    assert!(text.out.contains("refused, 1 faults"), "{}", text.out);
}

// An operator mends the one fault that was told, checks again, and is told the
// next: faults across entries were only looked for once each entry was well.
#[test]
fn check_tells_faults_within_and_across_entries_together() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("bad.yaml");
    let more = "  yard:
    owner: Yard
    class: standard
    limits: {rate_per_s: 10, concurrency: 4, deadline_ms: 900}
";
    let text = DESK.replace(
        "service: desk}",
        "service: gone}\n      - {path: /y, kind: review, service: yard}",
    );
    fs::write(&file, text + more).unwrap();
    let ran = ran(&["check", file.to_str().unwrap(), "--json"]);
    let found: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
    let faults = found["faults"].as_array().unwrap();
    assert_eq!(faults.len(), 2, "{found}");
    assert_eq!(faults[0]["entry"], "yard", "{found}");
    assert_eq!(faults[1]["reason"], "there is no service gone", "{found}");
    assert_eq!(faults[1]["line"], 8, "{found}");
}

#[rstest]
#[case("khangai")]
#[case("thekkady")]
fn every_example_is_valid_and_equals_itself(#[case] name: &str) {
    let file = examples().join(name).join("catalogue.yaml");
    let file = file.to_str().unwrap();
    let checked = ran(&["check", file]);
    assert_eq!(checked.verdict, Verdict::Yes, "{checked:?}");
    let same = ran(&["diff", file, file]);
    assert_eq!(same.verdict, Verdict::Yes);
    assert!(same.out.starts_with("no difference"), "{}", same.out);
}

#[derive(Debug)]
struct BadArgs {
    args: &'static [&'static str],
    told: &'static str,
}

#[rstest]
#[case(BadArgs { args: &[], told: "subcommand is required" })]
#[case(BadArgs { args: &["publish"], told: "unexpected argument: \"publish\"" })]
#[case(BadArgs { args: &["check"], told: "flag is required: `file`" })]
#[case(BadArgs { args: &["check", "a", "--verbose"], told: "--verbose" })]
#[case(BadArgs { args: &["check", "/nowhere/at-all.yaml"], told: "parse: /nowhere/at-all.yaml can't be read" })]
fn bad_arguments_are_told_and_unanswered(#[case] case: BadArgs) {
    let ran = ran(case.args);
    assert_eq!(ran.verdict, Verdict::Unanswered, "{ran:?}");
    assert!(ran.err.contains(case.told), "{ran:?}");
    assert!(ran.out.is_empty(), "{ran:?}");
}

#[test]
fn diff_refuses_a_catalogue_with_faults() {
    let dir = tempfile::tempdir().unwrap();
    let good = dir.path().join("good.yaml");
    let bad = dir.path().join("bad.yaml");
    fs::write(&good, DESK).unwrap();
    fs::write(&bad, DESK.replace("service: desk", "service: gone")).unwrap();
    let ran = ran(&["diff", good.to_str().unwrap(), bad.to_str().unwrap()]);
    assert_eq!(ran.verdict, Verdict::Unanswered);
    assert!(ran.err.contains("there is no service gone"), "{}", ran.err);
    assert!(ran.err.contains("bad.yaml has 1 faults"), "{}", ran.err);
}

/// The logs of two nodes that one request came to: the first it found full.
const FIRST_NODE: &str = r#"{"timestamp":"2026-01-01T00:00:00Z","level":"INFO","fields":{"message":"started"}}
{"unix_ms":5,"node":"wd-1","event":"ended","request":"r-7","instance":"wd-3","try_number":2,"load_percent":90,"outcome":"answered","status":200,"took_us":130000,"left_us":800000,"catalogue":4,"list":9}
{"unix_ms":9,"node":"wd-1","event":"tried","request":"r-7","instance":"wd-2","try_number":1,"load_percent":104,"outcome":"not-run","step":"admission","reason":"queue-full","took_us":2400,"left_us":990000,"catalogue":4,"list":9}
{"unix_ms":9,"node":"wd-1","event":"tried","request":"r-77","instance":"wd-2","try_number":1,"outcome":"not-run","took_us":1,"left_us":1}
{"event":"lines-left-out","states":0,"failures":0,"successes":3}
"#;
const SECOND_NODE: &str = r#"{"unix_ms":9000,"node":"wd-2","event":"beside","request":"r-7","outcome":"not-run","step":"admission","reason":"queue-full","took_us":6,"load":[6,6,9],"left_us":985000}
"#;

// A caller says that its request took long. Two of the three logs are at hand;
// the clocks of the nodes are nine seconds apart.
#[test]
fn request_tells_the_way_and_what_is_missing() {
    let dir = tempfile::tempdir().unwrap();
    let logs = [("a.log", FIRST_NODE), ("b.log", SECOND_NODE)].map(|(name, text)| {
        let file = dir.path().join(name);
        fs::write(&file, text).unwrap();
        file.to_str().unwrap().to_owned()
    });
    let Ran { verdict, out, .. } = ran(&["request", "r-7", "--log", &logs[0], "--log", &logs[1]]);
    assert_eq!(verdict, Verdict::Yes);
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 5, "{out}");
    assert!(lines[1].contains("tried try 1 at wd-2 (load 104%): not-run at admission, queue-full"));
    assert!(
        lines[2].contains("wd-2 beside: not-run") && lines[2].contains("6 of 6 slots, 9 waiting")
    );
    assert!(lines[3].contains("ended try 2 at wd-3 (load 90%): answered 200 after 130.0 ms"));
    assert!(lines[4].contains("no line of wd-3") && lines[4].contains("(3 were)"));
    let Ran { verdict, out, .. } = ran(&["request", "r-8", "--log", &logs[0]]);
    assert_eq!(verdict, Verdict::No, "{out}");
    let Ran { verdict, err, .. } = ran(&["request", "r-7"]);
    assert_eq!(verdict, Verdict::Unanswered, "{err}");
}
