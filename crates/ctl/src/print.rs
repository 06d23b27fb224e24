//! Prints the result of a verb as text or as JSON.

use std::fmt;
use std::io;
use std::io::Write;

use serde::Serialize;

use crate::Verdict;

/// The result of a verb, printable as text and as JSON.
pub(crate) trait VerbResult: Serialize + fmt::Display {
    /// The verdict that decides the exit code.
    fn verdict(&self) -> Verdict;
}

/// Writes `result` as one JSON object on one line, or as text.
pub(crate) fn print(
    out: &mut dyn Write,
    json: bool,
    result: &impl VerbResult,
) -> io::Result<Verdict> {
    if json {
        serde_json::to_writer(&mut *out, result)?;
        writeln!(out)?;
    } else {
        write!(out, "{result}")?;
    }
    Ok(result.verdict())
}
