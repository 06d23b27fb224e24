//! The command line of the soak. It prints one JSON object per run to standard output, and
//! exits with code 1 if a run violated a guarantee.

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

/// The default number of instances.
const DEFAULT_NODES: usize = 8;

/// The default duration of the calls, in seconds.
const DEFAULT_SECONDS: u64 = 10;

/// The default rate of calls per instance, in calls per second: a fifth of what its target
/// could run.
const DEFAULT_RATE_PER_NODE: f64 = 50.0;

/// The default number of caller processes.
const DEFAULT_CALLERS: usize = 2;

fn main() -> miette::Result<ExitCode> {
    match Soak::from_env_or_exit().subcommand {
        SoakCmd::Run(cmd) => run_seeds(&cmd),
        SoakCmd::Regressions(cmd) => run_regressions(&cmd.file),
        SoakCmd::Call(cmd) => {
            build_runtime()?.block_on(callers::run_job(&cmd.file))?;
            Ok(ExitCode::SUCCESS)
        }
        SoakCmd::Under(cmd) => {
            let err = child::exec_program(cmd.parent, &cmd.program, &cmd.args);
            Err(err).into_diagnostic()
        }
    }
}

/// Runs consecutive seeds, one after another.
fn run_seeds(cmd: &Run) -> miette::Result<ExitCode> {
    let first = cmd.replay.or(cmd.seed).unwrap_or_else(rand::random);
    let runs = 0..cmd.runs.unwrap_or(1);
    let opts = runs.map(|n| Options {
        nodes: cmd.nodes.unwrap_or(DEFAULT_NODES),
        length: Duration::from_secs(cmd.seconds.unwrap_or(DEFAULT_SECONDS)),
        seed: first.wrapping_add(n),
        rate_per_node: cmd.rate.unwrap_or(DEFAULT_RATE_PER_NODE),
        callers: cmd.callers.unwrap_or(DEFAULT_CALLERS),
        keep_logs: cmd.keep_logs || cmd.replay.is_some(),
    });
    run_all(opts)
}

/// Runs the seeds in a file of regressions.
fn run_regressions(file: &Path) -> miette::Result<ExitCode> {
    let text = std::fs::read_to_string(file).into_diagnostic()?;
    let regressions = regression::parse(&text)?;
    let opts = regressions.iter().map(|regression| Options {
        nodes: regression.nodes,
        length: Duration::from_secs(regression.seconds),
        seed: regression.seed,
        rate_per_node: DEFAULT_RATE_PER_NODE,
        callers: DEFAULT_CALLERS,
        keep_logs: false,
    });
    run_all(opts)
}

fn run_all(all: impl Iterator<Item = Options>) -> miette::Result<ExitCode> {
    let mut code = ExitCode::SUCCESS;
    for opts in all {
        let report = build_runtime()?.block_on(run::run(opts.checked()?))?;
        if !report.passed {
            code = ExitCode::FAILURE;
        }
        output::print(&report)?;
    }
    Ok(code)
}

/// Builds a runtime on the main thread: child processes are killed when the thread that
/// started them ends.
fn build_runtime() -> miette::Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().into_diagnostic()
}
