//! Names on the users' wire, read from a data file.

const NAMES: &str = include_str!("../data/names.txt");

/// The name on the wire for `key`.
pub(crate) fn name(key: &str) -> &'static str {
    let pairs = NAMES.lines().filter_map(|line| line.split_once(" = "));
    let found = pairs
        .into_iter()
        .find_map(|(found, value)| (found == key).then_some(value.trim()));
    found.expect("the name is in the data file")
}

/// `template` with each `{KEY}` replaced by its value.
pub(crate) fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.trim().to_owned();
    for (key, value) in values {
        text = text.replace(&format!("{{{key}}}"), value);
    }
    text
}
