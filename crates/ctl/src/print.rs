//! Printing what a verb found, for people or for programs.

use std::fmt;
use std::io;
use std::io::Write;

use serde::Serialize;

use crate::Verdict;

/// What a verb found.
pub(crate) trait Finding: Serialize + fmt::Display {
    /// What the exit code tells of it.
    fn verdict(&self) -> Verdict;
}

/// Writes `found` as one JSON object on one line, or as text.
pub(crate) fn print(out: &mut dyn Write, json: bool, found: &impl Finding) -> io::Result<Verdict> {
    if json {
        serde_json::to_writer(&mut *out, found)?;
        writeln!(out)?;
    } else {
        write!(out, "{found}")?;
    }
    Ok(found.verdict())
}
