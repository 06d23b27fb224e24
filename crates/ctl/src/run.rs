//! Parses the command line, runs the verb and returns its verdict.

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
use crate::check::CheckResult;
use crate::diff::Difference;
use crate::fault_report;
use crate::print::print;
use crate::request_trace::RequestTrace;

mod node_verbs;

/// The result of running a verb: the outer error is the verb's own, the inner
/// one is of writing its output.
type VerbOutcome = Result<io::Result<Verdict>, Error>;

/// Runs one verb; `args` are the arguments after the program's name.
///
/// Results are written to `out`, errors to `err`.
///
/// # Errors
///
/// Fails if `out` or `err` can't be written to.
pub fn run(args: Vec<OsString>, out: &mut dyn Write, err: &mut dyn Write) -> io::Result<Verdict> {
    let flags = match Sassafrasspoolctl::from_vec(args) {
        Ok(flags) => flags,
        Err(flags_err) if flags_err.is_help() => {
            writeln!(out, "{flags_err}")?;
            return Ok(Verdict::Yes);
        }
        Err(flags_err) => {
            writeln!(err, "{flags_err}")?;
            return Ok(Verdict::Unanswered);
        }
    };
    match run_verb(&flags, out, err) {
        Ok(verdict) => verdict,
        Err(verb_err) => {
            writeln!(err, "error: {verb_err}")?;
            Ok(Verdict::Unanswered)
        }
    }
}

fn run_verb(flags: &Sassafrasspoolctl, out: &mut dyn Write, err: &mut dyn Write) -> VerbOutcome {
    match &flags.subcommand {
        SassafrasspoolctlCmd::Check(given) => {
            let result = CheckResult::read_file(&given.file)?;
            Ok(print(out, flags.json, &result))
        }
        SassafrasspoolctlCmd::Diff(given) => {
            let old = read_valid(&given.old, err)?;
            let new = read_valid(&given.new, err)?;
            Ok(print(out, flags.json, &Difference::between(&old, &new)))
        }
        SassafrasspoolctlCmd::Request(given) => {
            let trace = RequestTrace::read(&given.id, &given.log)?;
            Ok(print(out, flags.json, &trace))
        }
        _ => block_on(node_verbs::run(flags, out)),
    }
}

/// Runs a verb that queries nodes on a single-threaded runtime, since the verb
/// only waits for responses.
fn block_on(verb: impl Future<Output = VerbOutcome>) -> VerbOutcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|cause| {
        Error::new(Step::Admin, "can't start the async runtime").with_cause(cause)
    })?;
    let outcome = runtime.block_on(verb);
    runtime.shutdown_timeout(Duration::ZERO);
    outcome
}

/// Reads a catalogue and fails if it has faults: only valid ones are compared.
fn read_valid(path: &Path, err: &mut dyn Write) -> Result<Catalogue, Error> {
    let text = catalogue::read_text(path)?;
    catalogue::validate(&text).map_err(|faults| {
        let rendered = fault_report::render(path, &text, &faults).unwrap_or_default();
        // A failure to write the details is ignored: the error below is reported
        // as well, and it decides the exit code.
        let _ = err.write_all(rendered.as_bytes());
        let reason = format!("{} has {} faults", path.display(), faults.iter().count());
        Error::new(Step::Parse, reason)
    })
}
