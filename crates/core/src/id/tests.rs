use rstest::rstest;

use super::ServiceName;

#[derive(Debug)]
struct Case {
    name: &'static str,
    taken: bool,
}

#[rstest]
#[case(Case { name: "workshop-desk", taken: true })]
#[case(Case { name: "0", taken: true })]
#[case(Case { name: "a.b_c-9", taken: true })]
#[case(Case { name: "", taken: false })]
#[case(Case { name: "-desk", taken: false })]
#[case(Case { name: "Desk", taken: false })]
#[case(Case { name: "desk\r\nx: y", taken: false })]
#[case(Case { name: "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", taken: false })]
fn names_are_checked(#[case] case: Case) {
    assert_eq!(ServiceName::new(case.name).is_ok(), case.taken, "{case:?}");
    let json = serde_json::to_string(case.name).unwrap();
    let read = serde_json::from_str::<ServiceName>(&json);
    assert_eq!(read.is_ok(), case.taken, "{case:?}");
}
