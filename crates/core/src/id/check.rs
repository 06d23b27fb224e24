//! The rule that all names follow.

use crate::Error;
use crate::Result;
use crate::Step;

/// The longest name in bytes.
pub(super) const MAX_NAME_BYTES: usize = 64;

/// Checks that a name is 1 to 64 bytes of `a-z`, `0-9`, `-`, `_` and `.`, and
/// begins with a letter or digit.
///
/// Names are written to metrics labels, header values and log lines, so only
/// bytes that are safe in all of them are allowed.
pub(super) fn check_name(what: &str, name: &str) -> Result<()> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(Error::new(
            Step::Check,
            format!(
                "{what} must have 1 to {MAX_NAME_BYTES} bytes, has {}",
                name.len()
            ),
        ));
    }
    let first_is_allowed = name.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    if !first_is_allowed || !name.bytes().all(is_name_byte) {
        return Err(Error::new(
            Step::Check,
            format!(
                "{what} {name:?} may only have a-z, 0-9, '-', '_' and '.', and begins with a letter or digit"
            ),
        ));
    }
    Ok(())
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
}
