//! From the command line to the verb and its verdict.

use std::ffi::OsString;
use std::io;
use std::io::Write;
use std::path::Path;

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Error;
use sassafrasspool_core::Step;

use crate::Verdict;
use crate::args::Sassafrasspoolctl;
use crate::args::SassafrasspoolctlCmd;
use crate::catalogue;
use crate::check::Checked;
use crate::diff::Difference;
use crate::print::print;
use crate::report;

/// Runs one verb; `args` are the arguments after the program's name.
///
/// Findings go to `out`, errors to `err`.
///
/// # Errors
///
/// Fails if `out` or `err` can't be written to.
pub fn run(args: Vec<OsString>, out: &mut dyn Write, err: &mut dyn Write) -> io::Result<Verdict> {
    let flags = match Sassafrasspoolctl::from_vec(args) {
        Ok(flags) => flags,
        Err(told) if told.is_help() => {
            writeln!(out, "{told}")?;
            return Ok(Verdict::Yes);
        }
        Err(told) => {
            writeln!(err, "{told}")?;
            return Ok(Verdict::Unanswered);
        }
    };
    match verb(&flags, out, err) {
        Ok(verdict) => verdict,
        Err(told) => {
            writeln!(err, "error: {told}")?;
            Ok(Verdict::Unanswered)
        }
    }
}

fn verb(
    flags: &Sassafrasspoolctl,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<io::Result<Verdict>, Error> {
    match &flags.subcommand {
        SassafrasspoolctlCmd::Check(given) => {
            let checked = Checked::file(&given.file)?;
            let printed = print(out, flags.json, &checked);
            Ok(printed.map(|()| checked.verdict()))
        }
        SassafrasspoolctlCmd::Diff(given) => {
            let old = whole(&given.old, err)?;
            let new = whole(&given.new, err)?;
            let printed = print(out, flags.json, &Difference::between(&old, &new));
            Ok(printed.map(|()| Verdict::Yes))
        }
    }
}

/// Reads a catalogue that must be valid to be compared.
fn whole(path: &Path, err: &mut dyn Write) -> Result<Catalogue, Error> {
    let text = catalogue::read_text(path)?;
    catalogue::judge(&text).map_err(|faults| {
        let rendered = report::render(path, &text, &faults).unwrap_or_default();
        // The error below is told as well, so a failure to write the details
        // loses nothing that the exit code doesn't tell.
        let _ = err.write_all(rendered.as_bytes());
        let reason = format!("{} has {} faults", path.display(), faults.iter().count());
        Error::new(Step::Parse, reason)
    })
}
