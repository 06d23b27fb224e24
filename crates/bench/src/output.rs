//! Output of a run: one JSON object on one line.

use std::io;
use std::io::Write;

use miette::IntoDiagnostic;
use serde::Serialize;

/// Prints `report` as one line of JSON on standard output.
///
/// # Errors
///
/// Fails if the report can't be encoded or standard output is closed.
pub fn print(report: &impl Serialize) -> miette::Result<()> {
    let line = serde_json::to_string(report).into_diagnostic()?;
    let mut out = io::stdout().lock();
    writeln!(out, "{line}").into_diagnostic()
}
