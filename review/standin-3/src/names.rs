//! The names on the wire, from a data file.

/// Lines of a key, a tab and a value.
const TEXT: &str = include_str!("../names.txt");

/// The name with that key.
///
/// # Panics
///
/// Panics if the data file has no such key.
pub fn name(key: &str) -> &'static str {
    let lines = TEXT.lines().filter_map(|line| line.split_once('\t'));
    let mut found = lines.filter(|(k, _)| *k == key).map(|(_, value)| value);
    found
        .next()
        .unwrap_or_else(|| panic!("names.txt has no {key}"))
}
