//! Errors of libraries that keep the reason in the errors behind them.

use std::error::Error;

/// An error's text with those of all errors behind it, each once.
pub fn error_chain(err: &(dyn Error + 'static)) -> String {
    let mut text = err.to_string();
    let mut next = err.source();
    while let Some(cause) = next {
        let more = cause.to_string();
        if !text.ends_with(&more) {
            text.push_str(": ");
            text.push_str(&more);
        }
        next = cause.source();
    }
    text
}
