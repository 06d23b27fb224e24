//! Texts of library errors whose cause is only in their sources.

use std::error::Error;

/// Formats an error with all its sources, joined by colons. A source whose text already
/// ends the result is left out.
pub fn error_chain(err: &(dyn Error + 'static)) -> String {
    let mut text = err.to_string();
    let mut next = err.source();
    while let Some(cause) = next {
        let cause_text = cause.to_string();
        if !text.ends_with(&cause_text) {
            text.push_str(": ");
            text.push_str(&cause_text);
        }
        next = cause.source();
    }
    text
}
