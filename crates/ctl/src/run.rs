//! From the command line to the verb and its verdict.

use std::ffi::OsString;
use std::io;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

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
use crate::way::Way;

mod ask;

/// What a verb came to: an error of its own, or of the output.
type Ended = Result<io::Result<Verdict>, Error>;

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

fn verb(flags: &Sassafrasspoolctl, out: &mut dyn Write, err: &mut dyn Write) -> Ended {
    match &flags.subcommand {
        SassafrasspoolctlCmd::Check(given) => {
            let checked = Checked::file(&given.file)?;
            Ok(print(out, flags.json, &checked))
        }
        SassafrasspoolctlCmd::Diff(given) => {
            let old = whole(&given.old, err)?;
            let new = whole(&given.new, err)?;
            Ok(print(out, flags.json, &Difference::between(&old, &new)))
        }
        SassafrasspoolctlCmd::Request(given) => {
            Ok(print(out, flags.json, &Way::read(&given.id, &given.log)?))
        }
        _ => on_runtime(ask::ask(flags, out)),
    }
}

/// Runs a verb that asks nodes; one thread is enough for waiting.
fn on_runtime(asking: impl Future<Output = Ended>) -> Ended {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime
        .map_err(|cause| Error::new(Step::Admin, "no runtime can be started").with_cause(cause))?;
    let ended = runtime.block_on(asking);
    runtime.shutdown_timeout(Duration::ZERO);
    ended
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
