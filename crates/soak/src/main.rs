//! The soak's command line. One JSON object a run goes to standard output; it
//! ends with 1 if a promise was broken.

mod flags;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use miette::IntoDiagnostic;
use sassafrasspool_bench::output;
use sassafrasspool_soak::callers;
use sassafrasspool_soak::child;
use sassafrasspool_soak::options::Options;
use sassafrasspool_soak::regression;
use sassafrasspool_soak::run;

use crate::flags::Run;
use crate::flags::Soak;
use crate::flags::SoakCmd;

/// Instances unless the command line says otherwise.
const NODES: usize = 8;

/// Seconds of calls unless the command line says otherwise.
const SECONDS: u64 = 10;

/// Calls a second for each instance, unless the command line says otherwise: a
/// fifth of what its target could run.
const RATE: f64 = 50.0;

/// Processes that make calls, unless the command line says otherwise.
const CALLERS: usize = 2;

fn main() -> miette::Result<ExitCode> {
    match Soak::from_env_or_exit().subcommand {
        SoakCmd::Run(cmd) => soak(&cmd),
        SoakCmd::Regressions(cmd) => regressions(&cmd.file),
        SoakCmd::Call(cmd) => {
            on_this_thread()?.block_on(callers::call(&cmd.file))?;
            Ok(ExitCode::SUCCESS)
        }
        SoakCmd::Under(cmd) => {
            let err = child::become_program(cmd.parent, &cmd.program, &cmd.args);
            Err(err).into_diagnostic()
        }
    }
}

/// Runs one seed after the other.
fn soak(cmd: &Run) -> miette::Result<ExitCode> {
    let first = cmd.replay.or(cmd.seed).unwrap_or_else(rand::random);
    let runs = 0..cmd.runs.unwrap_or(1);
    let opts = runs.map(|n| Options {
        nodes: cmd.nodes.unwrap_or(NODES),
        length: Duration::from_secs(cmd.seconds.unwrap_or(SECONDS)),
        seed: first.wrapping_add(n),
        rate_per_node: cmd.rate.unwrap_or(RATE),
        callers: cmd.callers.unwrap_or(CALLERS),
        keep_logs: cmd.keep_logs || cmd.replay.is_some(),
    });
    run_all(opts)
}

/// Runs the seeds that a file keeps.
fn regressions(file: &Path) -> miette::Result<ExitCode> {
    let text = std::fs::read_to_string(file).into_diagnostic()?;
    let kept = regression::parse(&text)?;
    let opts = kept.iter().map(|kept| Options {
        nodes: kept.nodes,
        length: Duration::from_secs(kept.seconds),
        seed: kept.seed,
        rate_per_node: RATE,
        callers: CALLERS,
        keep_logs: false,
    });
    run_all(opts)
}

fn run_all(all: impl Iterator<Item = Options>) -> miette::Result<ExitCode> {
    let mut code = ExitCode::SUCCESS;
    for opts in all {
        let report = on_this_thread()?.block_on(run::run(opts.checked()?))?;
        if !report.kept {
            code = ExitCode::FAILURE;
        }
        output::print(&report)?;
    }
    Ok(code)
}

/// Processes are started on the main thread, with which they end.
fn on_this_thread() -> miette::Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().into_diagnostic()
}
