use rstest::rstest;

use super::Difference;
use crate::catalogue::judge;

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
    told: &'static [&'static str],
}

#[rstest]
#[case(Case { from: "2", to: "2", told: &["no difference"] })]
#[case(Case { from: "weight: 2", to: "weight: 3", told: &["~ kind review", "    weight: 2 -> 3"] })]
#[case(Case { from: "ms: 900", to: "ms: 800", told: &["~ service desk", "    limits.deadline_ms: 900 -> 800"] })]
#[case(Case { from: "kinds: {", to: "kinds: {sign-off: {weight: 9}, ", told: &["+ kind sign-off", "    weight: 9"] })]
#[case(Case { from: "path: /desk,", to: "path: /table,", told: &[
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
fn a_change_is_told_by_entry_and_field(#[case] case: Case) {
    let old = judge(BASE).unwrap();
    let new = judge(&BASE.replacen(case.from, case.to, 1)).unwrap();
    let told = Difference::between(&old, &new).to_string();
    let lines: Vec<&str> = told.lines().collect();
    assert!(lines[0].starts_with(case.told[0]), "{told}");
    assert_eq!(&lines[..case.told.len()][1..], &case.told[1..], "{told}");
    let ends = lines.last().unwrap();
    assert!(ends.contains("digest"), "{told}");
}

#[test]
fn an_entry_that_goes_is_told_with_what_it_held() {
    let new = judge(BASE).unwrap();
    let old = judge(&BASE.replacen("{review", "{spare: {weight: 7}, review", 1)).unwrap();
    let told = Difference::between(&old, &new).to_string();
    assert!(
        told.starts_with("- kind spare\n    weight: was 7\n"),
        "{told}"
    );
}
