//! Command line with one verb per measurement.

use std::future::Future;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;

use self::flags::SassafrasspoolBench;
use self::flags::SassafrasspoolBenchCmd;
use crate::calls;
use crate::chaos;
use crate::control_fleet::FleetOptions;
use crate::control_fleet::Tuning;
use crate::core_cost;
use crate::fault;
use crate::fault::Case;
use crate::generate::GeneratedCatalogue;
use crate::generate::Shape;
use crate::output;
use crate::overload;
use crate::slopes;
use crate::slopes::Axis;
use crate::spread;

mod flags;

/// Parses the command line and runs its verb.
///
/// # Errors
///
/// Fails if the run itself fails. Its results are never an error.
pub fn run() -> miette::Result<()> {
    match SassafrasspoolBench::from_env_or_exit().subcommand {
        SassafrasspoolBenchCmd::Generate(opts) => generate(&opts),
        SassafrasspoolBenchCmd::Spread(opts) => spread(&opts),
        SassafrasspoolBenchCmd::Fault(opts) => fault(&opts),
        SassafrasspoolBenchCmd::CoreCost(opts) => core_cost(&opts),
        SassafrasspoolBenchCmd::Slopes(opts) => slopes(&opts),
        SassafrasspoolBenchCmd::Overload(opts) => overload(&opts),
        SassafrasspoolBenchCmd::Calls(opts) => calls(&opts),
        SassafrasspoolBenchCmd::Chaos(opts) => chaos(&opts),
    }
}

fn generate(opts: &flags::Generate) -> miette::Result<()> {
    let design_size = Shape::design_size(opts.seed.unwrap_or(1));
    let shape = Shape {
        services: opts.services.unwrap_or(design_size.services),
        ..design_size
    };
    let catalogue = GeneratedCatalogue::new(shape).into_diagnostic()?;
    print!("{}", catalogue.text());
    Ok(())
}

fn spread(opts: &flags::Spread) -> miette::Result<()> {
    let design_size = Shape::design_size(opts.seed.unwrap_or(1));
    let fleet = FleetOptions {
        nodes: opts.nodes.unwrap_or(50),
        shape: Shape {
            services: opts.services.unwrap_or(design_size.services),
            endpoints: opts.endpoints.unwrap_or(design_size.endpoints),
            ..design_size
        },
        naive: opts.naive,
        compress: opts.compress,
        tuning: Tuning {
            fanout: opts.fanout,
            interval_ms: opts.interval_ms,
            linger_ms: opts.linger_ms,
            eager_bytes: opts.eager_bytes,
            readers: opts.readers,
            cross_domain_percent: opts.cross_percent,
            watch_ms: opts.watch_ms,
        },
    };
    let opts = spread::Options {
        fleet,
        changes: opts.changes.unwrap_or(10),
        change_interval: Duration::from_millis(opts.pace_ms.unwrap_or(1_000)),
        idle_time: Duration::from_secs_f64(opts.idle_s.unwrap_or(6.0)),
    };
    output::print(&spread::run(&opts)?)
}

fn fault(opts: &flags::Fault) -> miette::Result<()> {
    let name = opts.case.as_deref().unwrap_or("all");
    let cases = Case::select(name).ok_or_else(|| miette!("unknown case {name}"))?;
    let fleet = FleetOptions {
        nodes: opts.nodes.unwrap_or(24),
        shape: Shape {
            services: opts.services.unwrap_or(40),
            endpoints: opts.endpoints.unwrap_or(60),
            seed: opts.seed.unwrap_or(1),
        },
        naive: opts.naive,
        compress: false,
        tuning: Tuning::default(),
    };
    output::print(&fault::run(&fault::Options { cases, fleet })?)
}

fn core_cost(opts: &flags::CoreCost) -> miette::Result<()> {
    let design_size = Shape::design_size(opts.seed.unwrap_or(1));
    let shape = Shape {
        services: opts.services.unwrap_or(design_size.services),
        endpoints: opts.members.unwrap_or(design_size.endpoints),
        ..design_size
    };
    output::print(&core_cost::run(shape)?)
}

fn slopes(opts: &flags::Slopes) -> miette::Result<()> {
    let name = opts.axis.as_deref().unwrap_or("all");
    let axes = Axis::select(name).ok_or_else(|| miette!("unknown axis {name}"))?;
    let report = slopes::run(&axes, opts.seed.unwrap_or(1))?;
    if opts.markdown {
        eprint!("{}", report.markdown());
    }
    output::print(&report)
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

/// Runs a measurement on a runtime with one thread per core.
fn block_on<F: Future>(run: F) -> miette::Result<F::Output> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    Ok(runtime.block_on(run))
}
