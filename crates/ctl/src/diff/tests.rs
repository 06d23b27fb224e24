use rstest::rstest;

use super::Difference;
use crate::catalogue::validate;

const BASE: &str = "
kinds: {review: {weight: 2}}
services:
  desk:
    owner: claims
    class: standard
    limits: {rate_per_s: 10, concurrency: 4, deadline_ms: 900}
    routes: [{path: /desk, kind: review}]
";

#[derive(Debug)]
struct Case {
    from: &'static str,
    to: &'static str,
    expected: &'static [&'static str],
}

#[rstest]
#[case(Case { from: "2", to: "2", expected: &["no difference"] })]
#[case(Case { from: "weight: 2", to: "weight: 3", expected: &["~ kind review", "    weight: 2 -> 3"] })]
#[case(Case { from: "ms: 900", to: "ms: 800", expected: &["~ service desk", "    limits.deadline_ms: 900 -> 800"] })]
#[case(Case { from: "kinds: {", to: "kinds: {sign-off: {weight: 9}, ", expected: &["+ kind sign-off", "    weight: 9"] })]
#[case(Case { from: "path: /desk,", to: "path: /table,", expected: &[
    "~ service desk",
    "    routes[/desk].class: was standard",
    "    routes[/desk].idempotent: was false",
    "    routes[/desk].kind: was review",
    "    routes[/desk].service: was desk",
    "    routes[/table].class: standard",
    "    routes[/table].idempotent: false",
    "    routes[/table].kind: review",
    "    routes[/table].service: desk",
] })]
fn difference_lists_changed_fields_by_entry(#[case] case: Case) {
    let old = validate(BASE).unwrap();
    let new = validate(&BASE.replacen(case.from, case.to, 1)).unwrap();
    let text = Difference::between(&old, &new).to_string();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].starts_with(case.expected[0]), "{text}");
    assert_eq!(
        &lines[..case.expected.len()][1..],
        &case.expected[1..],
        "{text}"
    );
    let last = lines.last().unwrap();
    assert!(last.contains("digest"), "{text}");
}

#[test]
fn removed_entry_is_listed_with_its_old_fields() {
    let new = validate(BASE).unwrap();
    let old = validate(&BASE.replacen("{review", "{spare: {weight: 7}, review", 1)).unwrap();
    let text = Difference::between(&old, &new).to_string();
    assert!(
        text.starts_with("- kind spare\n    weight: was 7\n"),
        "{text}"
    );
}
