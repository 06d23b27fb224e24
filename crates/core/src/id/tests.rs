use rstest::rstest;

use super::ServiceName;

#[derive(Debug)]
struct Case {
    name: &'static str,
    valid: bool,
}

#[rstest]
#[case(Case { name: "workshop-desk", valid: true })]
#[case(Case { name: "0", valid: true })]
#[case(Case { name: "a.b_c-9", valid: true })]
#[case(Case { name: "", valid: false })]
#[case(Case { name: "-desk", valid: false })]
#[case(Case { name: "Desk", valid: false })]
#[case(Case { name: "desk\r\nx: y", valid: false })]
#[case(Case { name: "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", valid: false })]
fn only_valid_names_are_accepted(#[case] case: Case) {
    assert_eq!(ServiceName::new(case.name).is_ok(), case.valid, "{case:?}");
    let json = serde_json::to_string(case.name).unwrap();
    let decoded = serde_json::from_str::<ServiceName>(&json);
    assert_eq!(decoded.is_ok(), case.valid, "{case:?}");
}
