//! The platform's names on the wire, from the data file beside this crate.

const NAMES: &str = include_str!("../wire.txt");

/// A value to substitute for `$name` in a text of the data file.
pub type Var<'a> = (&'a str, String);

/// The text under a key of the data file.
///
/// # Panics
///
/// Panics if the file has no such key.
pub fn name(key: &str) -> &'static str {
    find(key).unwrap_or_else(|| panic!("no name for {key}"))
}

/// The text under a key, if the file has it.
pub fn find(key: &str) -> Option<&'static str> {
    let mut lines = NAMES.lines().filter_map(|line| line.split_once(' '));
    lines.find(|(found, _)| *found == key).map(|(_, text)| text)
}

/// The text under a key with its variables replaced.
pub fn fill(key: &str, vars: &[Var<'_>]) -> String {
    substitute(name(key), vars)
}

/// Replaces the variables of a text.
pub fn substitute(text: &str, vars: &[Var<'_>]) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(at) = rest.find('$') {
        out.push_str(&rest[..at]);
        let tail = &rest[at + 1..];
        let len = tail
            .find(|c: char| !c.is_ascii_alphanumeric() && c != '_')
            .unwrap_or(tail.len());
        let (var, after) = tail.split_at(len);
        let value = vars.iter().find(|(name, _)| *name == var);
        out.push_str(&value.unwrap_or_else(|| panic!("no value for {var}")).1);
        rest = after;
    }
    out.push_str(rest);
    out
}
