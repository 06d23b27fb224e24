//! Tests of the verbs that read files.

#[path = "support/runner.rs"]
mod runner;

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use rstest::rstest;
use sassafrasspool_ctl::Verdict;

use crate::runner::RunOutput;
use crate::runner::run_client;

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
    reason: &'static str,
}

#[rstest]
#[case(BadFile { from: "weight: 2", to: "weight: -1", line: 1, column: 26, reason: "must be a whole number" })]
#[case(BadFile { from: "rate_per_s: 10", to: "rate_per_s: 0", line: 6, column: 26, reason: "must be 1 to 1000000, is 0" })]
#[case(BadFile { from: "owner: claims", to: "owner: Claims", line: 4, column: 12, reason: "owner" })]
#[case(BadFile { from: "service: desk", to: "service: gone", line: 8, column: 46, reason: "there is no service gone" })]
#[case(BadFile { from: "kind: review", to: "kind: other", line: 8, column: 29, reason: "there is no kind other" })]
#[case(BadFile { from: "routes:\n", to: "routes:\n      - {path: /desk, kind: review}\n", line: 9, column: 16, reason: "/desk is already taken" })]
#[case(BadFile { from: "class: standard", to: "class: standard\n    extra: 1", line: 6, column: 5, reason: "is unknown" })]
fn check_reports_a_fault_with_its_place(#[case] case: BadFile) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("bad.yaml");
    fs::write(&file, DESK.replacen(case.from, case.to, 1)).unwrap();
    let file = file.to_str().unwrap();

    let json = run_client(&["check", file, "--json"]);
    assert_eq!(json.verdict, Verdict::No, "{json:?}");
    let found: serde_json::Value = serde_json::from_str(&json.out).unwrap();
    let fault = &found["faults"][0];
    assert_eq!(fault["line"], case.line, "{found}");
    assert_eq!(fault["column"], case.column, "{found}");
    assert!(
        fault["reason"].as_str().unwrap().contains(case.reason),
        "{found}"
    );

    let text = run_client(&["check", file]);
    assert_eq!(text.verdict, Verdict::No);
    let place = format!("{file}:{}:{}", case.line, case.column);
    assert!(text.out.contains(&place), "{}", text.out);
    assert!(text.out.contains("refused, 1 faults"), "{}", text.out);
}

// Guards against faults that appear only after others are corrected: references
// across entries were checked only if each entry was valid by itself.
#[test]
fn check_reports_faults_within_and_across_entries_together() {
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
    let run = run_client(&["check", file.to_str().unwrap(), "--json"]);
    let found: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    let faults = found["faults"].as_array().unwrap();
    assert_eq!(faults.len(), 2, "{found}");
    assert_eq!(faults[0]["entry"], "yard", "{found}");
    assert_eq!(faults[1]["reason"], "there is no service gone", "{found}");
    assert_eq!(faults[1]["line"], 8, "{found}");
}

#[rstest]
#[case("khangai")]
#[case("thekkady")]
fn example_is_valid_and_has_no_difference_to_itself(#[case] name: &str) {
    let file = examples().join(name).join("catalogue.yaml");
    let file = file.to_str().unwrap();
    let checked = run_client(&["check", file]);
    assert_eq!(checked.verdict, Verdict::Yes, "{checked:?}");
    let diff = run_client(&["diff", file, file]);
    assert_eq!(diff.verdict, Verdict::Yes);
    assert!(diff.out.starts_with("no difference"), "{}", diff.out);
}

#[derive(Debug)]
struct BadArgs {
    args: &'static [&'static str],
    error: &'static str,
}

#[rstest]
#[case(BadArgs { args: &[], error: "subcommand is required" })]
#[case(BadArgs { args: &["publish"], error: "unexpected argument: \"publish\"" })]
#[case(BadArgs { args: &["check"], error: "flag is required: `file`" })]
#[case(BadArgs { args: &["check", "a", "--verbose"], error: "--verbose" })]
#[case(BadArgs { args: &["check", "/nowhere/at-all.yaml"], error: "parse: /nowhere/at-all.yaml can't be read" })]
fn bad_arguments_are_reported_as_unanswered(#[case] case: BadArgs) {
    let run = run_client(case.args);
    assert_eq!(run.verdict, Verdict::Unanswered, "{run:?}");
    assert!(run.err.contains(case.error), "{run:?}");
    assert!(run.out.is_empty(), "{run:?}");
}

#[test]
fn diff_rejects_a_catalogue_with_faults() {
    let dir = tempfile::tempdir().unwrap();
    let good = dir.path().join("good.yaml");
    let bad = dir.path().join("bad.yaml");
    fs::write(&good, DESK).unwrap();
    fs::write(&bad, DESK.replace("service: desk", "service: gone")).unwrap();
    let run = run_client(&["diff", good.to_str().unwrap(), bad.to_str().unwrap()]);
    assert_eq!(run.verdict, Verdict::Unanswered);
    assert!(run.err.contains("there is no service gone"), "{}", run.err);
    assert!(run.err.contains("bad.yaml has 1 faults"), "{}", run.err);
}

/// The log of the caller's node: the queue of the target of the first attempt
/// was full, and the second attempt was answered.
const CALLER_NODE_LOG: &str = r#"{"timestamp":"2026-01-01T00:00:00Z","level":"INFO","fields":{"message":"started"}}
{"unix_ms":5,"node":"wd-1","event":"ended","request":"r-7","instance":"wd-3","try_number":2,"load_percent":90,"outcome":"answered","status":200,"took_us":130000,"left_us":800000,"catalogue":4,"list":9}
{"unix_ms":9,"node":"wd-1","event":"tried","request":"r-7","instance":"wd-2","try_number":1,"load_percent":104,"outcome":"not-run","step":"admission","reason":"queue-full","took_us":2400,"left_us":990000,"catalogue":4,"list":9}
{"unix_ms":9,"node":"wd-1","event":"tried","request":"r-77","instance":"wd-2","try_number":1,"outcome":"not-run","took_us":1,"left_us":1}
{"event":"lines-left-out","states":0,"failures":0,"successes":3}
"#;
/// The log of the node of the first attempt's target.
const TARGET_NODE_LOG: &str = r#"{"unix_ms":9000,"node":"wd-2","event":"beside","request":"r-7","outcome":"not-run","step":"admission","reason":"queue-full","took_us":6,"load":[6,6,9],"left_us":985000}
"#;

// Two of the three logs are given, and the clocks of the nodes are nine seconds
// apart: the trace must be in order and name the missing log.
#[test]
fn request_prints_the_trace_and_the_missing_lines() {
    let dir = tempfile::tempdir().unwrap();
    let logs = [("a.log", CALLER_NODE_LOG), ("b.log", TARGET_NODE_LOG)].map(|(name, text)| {
        let file = dir.path().join(name);
        fs::write(&file, text).unwrap();
        file.to_str().unwrap().to_owned()
    });
    let RunOutput { verdict, out, .. } =
        run_client(&["request", "r-7", "--log", &logs[0], "--log", &logs[1]]);
    assert_eq!(verdict, Verdict::Yes);
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 5, "{out}");
    assert!(lines[1].contains("tried try 1 at wd-2 (load 104%): not-run at admission, queue-full"));
    assert!(
        lines[2].contains("wd-2 beside: not-run") && lines[2].contains("6 of 6 slots, 9 waiting")
    );
    assert!(lines[3].contains("ended try 2 at wd-3 (load 90%): answered 200 after 130.0 ms"));
    assert!(lines[4].contains("no line of wd-3") && lines[4].contains("(3 were)"));
    let RunOutput { verdict, out, .. } = run_client(&["request", "r-8", "--log", &logs[0]]);
    assert_eq!(verdict, Verdict::No, "{out}");
    let RunOutput { verdict, err, .. } = run_client(&["request", "r-7"]);
    assert_eq!(verdict, Verdict::Unanswered, "{err}");
}
