use super::Table;
use crate::Faults;
use crate::Place;

const DOCUMENT_START: Place = Place { line: 1, column: 1 };

#[test]
fn every_fault_is_reported_with_its_place() {
    let tree = super::parse("size: 900\nname: 3\nextra: yes\n").unwrap();
    let mut faults = Faults::new();
    let mut table = Table::open("", &tree, DOCUMENT_START, &mut faults).unwrap();
    table.number("size", 1..=10, &mut faults);
    table.text("name", &mut faults, |text| Ok::<_, String>(text.to_owned()));
    table.flag_or("missing", false, &mut faults);
    table.required("wanted", &mut faults);
    table.finish(&mut faults);
    let reported: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        reported,
        [
            "1:7: size: must be 1 to 10, is 900",
            "2:7: name: must be text, is a number",
            "1:1: wanted: is missing",
            "3:1: extra: is unknown",
        ]
    );
}

#[test]
fn a_duplicate_key_is_a_fault() {
    let faults = super::parse("a: 1\na: 2\n").unwrap_err();
    let fault = faults.iter().next().unwrap();
    assert_eq!(fault.place.map(|at| at.line), Some(2), "{fault}");
}
