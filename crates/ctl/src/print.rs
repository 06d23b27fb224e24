//! Printing what a verb found, for people or for programs.

use std::fmt;
use std::io;
use std::io::Write;

use serde::Serialize;

/// Writes `found` as one JSON object on one line, or as text.
pub(crate) fn print(
    out: &mut dyn Write,
    json: bool,
    found: &(impl Serialize + fmt::Display),
) -> io::Result<()> {
    if json {
        serde_json::to_writer(&mut *out, found)?;
        return writeln!(out);
    }
    write!(out, "{found}")
}
