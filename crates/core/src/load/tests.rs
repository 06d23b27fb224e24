use rstest::rstest;

use crate::LoadReport;

#[test]
fn a_report_survives_a_round_trip_through_text() {
    let load = LoadReport {
        in_flight: 7,
        slots: 10,
        queued: 65_535,
    };
    assert_eq!(load.to_string(), "7/10/65535");
    assert_eq!(LoadReport::parse("7/10/65535").unwrap(), load);
}

#[rstest]
#[case("")]
#[case("7/10")]
#[case("7/10/0/1")]
#[case("7/10/65536")]
#[case("-1/10/0")]
#[case("7/10/x")]
fn a_malformed_report_is_rejected(#[case] text: &str) {
    assert!(LoadReport::parse(text).is_err());
}
