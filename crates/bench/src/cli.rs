//! The command line: one verb per measurement.

use miette::IntoDiagnostic;

use self::flags::SassafrasspoolBench;
use self::flags::SassafrasspoolBenchCmd;
use crate::generate::GeneratedCatalogue;
use crate::generate::Shape;

mod flags;

/// Reads the command line and runs the verb that it names.
///
/// # Errors
///
/// Fails if the run itself fails; what it measured is never an error.
pub fn run() -> miette::Result<()> {
    match SassafrasspoolBench::from_env_or_exit().subcommand {
        SassafrasspoolBenchCmd::Generate(opts) => generate(&opts),
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
