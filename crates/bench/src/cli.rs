//! The command line: one verb per measurement.

use std::future::Future;
use std::time::Duration;

use miette::IntoDiagnostic;

use self::flags::SassafrasspoolBench;
use self::flags::SassafrasspoolBenchCmd;
use crate::calls;
use crate::chaos;
use crate::generate::GeneratedCatalogue;
use crate::generate::Shape;
use crate::output;
use crate::overload;

mod flags;

/// Reads the command line and runs the verb that it names.
///
/// # Errors
///
/// Fails if the run itself fails; what it measured is never an error.
pub fn run() -> miette::Result<()> {
    match SassafrasspoolBench::from_env_or_exit().subcommand {
        SassafrasspoolBenchCmd::Generate(opts) => generate(&opts),
        SassafrasspoolBenchCmd::Overload(opts) => overload(&opts),
        SassafrasspoolBenchCmd::Calls(opts) => calls(&opts),
        SassafrasspoolBenchCmd::Chaos(opts) => chaos(&opts),
    }
}

fn generate(opts: &flags::Generate) -> miette::Result<()> {
    let target = Shape::target(opts.seed.unwrap_or(1));
    let shape = Shape {
        services: opts.services.unwrap_or(target.services),
        ..target
    };
    let catalogue = GeneratedCatalogue::new(shape).into_diagnostic()?;
    print!("{}", catalogue.text());
    Ok(())
}

fn overload(opts: &flags::Overload) -> miette::Result<()> {
    let opts = overload::Options {
        nodes: opts.nodes.unwrap_or(4),
        factor: opts.factor.unwrap_or(2.0),
        length: Duration::from_secs_f64(opts.seconds.unwrap_or(8.0)),
        seed: opts.seed.unwrap_or(1),
    };
    output::print(&block_on(overload::run(opts))??)
}

fn calls(opts: &flags::Calls) -> miette::Result<()> {
    let opts = calls::Options {
        nodes: opts.nodes.unwrap_or(4),
        rate_per_node: opts.rate.unwrap_or(210.0),
        length: Duration::from_secs_f64(opts.seconds.unwrap_or(10.0)),
        seed: opts.seed.unwrap_or(1),
        answer_bytes: opts.answer_bytes.unwrap_or(1_000),
    };
    output::print(&block_on(calls::run(opts))??)
}

fn chaos(opts: &flags::Chaos) -> miette::Result<()> {
    let opts = chaos::Options {
        nodes: opts.nodes.unwrap_or(8),
        length: Duration::from_secs_f64(opts.seconds.unwrap_or(10.0)),
        seed: opts.seed.unwrap_or(1),
        rate_per_node: opts.rate.unwrap_or(50.0),
        naive: opts.naive,
        keep_logs: opts.keep_logs,
    };
    output::print(&block_on(chaos::run(opts))??)
}

/// Runs a measurement on all cores.
fn block_on<F: Future>(run: F) -> miette::Result<F::Output> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    Ok(runtime.block_on(run))
}
